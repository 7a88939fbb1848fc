package backlog

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// folder gives access to the files of a backlog and keeps only a few of them open.
type folder struct {
	dir       string
	openFiles *simplelru.LRU[string, *os.File]
	// injectFault is called before each change and returns how many of its bytes may be written. If it returns an error,
	// the change fails with it afterwards. Only tests set it.
	injectFault func(op, name string, bytes int) (int, error)
}

func newFolder(dir string, maxOpenFiles int, injectFault func(string, string, int) (int, error)) (*folder, error) {
	open, err := simplelru.NewLRU(maxOpenFiles, func(_ string, f *os.File) { f.Close() })
	if err != nil {
		return nil, err
	}
	return &folder{dir, open, injectFault}, nil
}

func (d *folder) fileError(problem, name string, err error) error {
	return &FileError{problem, filepath.Join(d.dir, name), err}
}

// allowedBytes returns how many bytes of a change may be written.
func (d *folder) allowedBytes(op, name string, bytes int) (int, error) {
	if d.injectFault == nil {
		return bytes, nil
	}
	return d.injectFault(op, name, bytes)
}

// file returns an open file. One without write permission is opened for reading, and writes to it fail.
func (d *folder) file(name string, flags int) (*os.File, error) {
	if f, ok := d.openFiles.Get(name); ok {
		return f, nil
	}
	path := filepath.Join(d.dir, name)
	f, err := os.OpenFile(path, os.O_RDWR|flags, 0o600)
	if err != nil && flags == 0 && !errors.Is(err, fs.ErrNotExist) {
		f, err = os.Open(path)
	}
	if err == nil {
		d.openFiles.Add(name, f)
	}
	return f, err
}

// write writes b at an offset of a file; with create it creates the file or truncates an existing one.
func (d *folder) write(name string, b []byte, offset int64, create bool) error {
	allowed, fault := d.allowedBytes("write", name, len(b))
	if fault != nil && allowed == 0 {
		return d.fileError("cannot be written", name, fault)
	}
	flags := 0
	if create {
		flags = os.O_CREATE | os.O_TRUNC
		d.openFiles.Remove(name)
	}
	f, err := d.file(name, flags)
	if err == nil {
		_, err = f.WriteAt(b[:allowed], offset)
	}
	if err = errors.Join(err, fault); err != nil {
		return d.fileError("cannot be written", name, err)
	}
	return nil
}

// read fills b and returns the number of bytes read, which is less than len(b) at the end of the file.
func (d *folder) read(name string, b []byte, offset int64) (int, error) {
	f, err := d.file(name, 0)
	if err != nil {
		return 0, d.fileError("cannot be read", name, err)
	}
	n, err := f.ReadAt(b, offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, d.fileError("cannot be read", name, err)
	}
	return n, nil
}

// readFile returns the content of a file.
func (d *folder) readFile(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(d.dir, name))
	if err != nil {
		return nil, d.fileError("cannot be read", name, err)
	}
	return b, nil
}

func (d *folder) truncate(name string, size int64) error {
	_, err := d.allowedBytes("truncate", name, 0)
	var f *os.File
	if err == nil {
		f, err = d.file(name, 0)
	}
	if err == nil {
		err = f.Truncate(size)
	}
	if err != nil {
		return d.fileError("cannot be truncated", name, err)
	}
	return nil
}

// remove deletes a file; a missing file is no error.
func (d *folder) remove(name string) error {
	_, err := d.allowedBytes("remove", name, 0)
	if err == nil {
		d.openFiles.Remove(name)
		err = os.Remove(filepath.Join(d.dir, name))
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return d.fileError("cannot be deleted", name, err)
	}
	return nil
}

func (d *folder) rename(from, to string) error {
	_, err := d.allowedBytes("rename", to, 0)
	if err == nil {
		d.openFiles.Remove(from)
		d.openFiles.Remove(to)
		err = os.Rename(filepath.Join(d.dir, from), filepath.Join(d.dir, to))
	}
	if err != nil {
		return d.fileError("cannot be renamed", to, err)
	}
	return nil
}

// replace replaces a file atomically: it writes a temporary file and renames it.
func (d *folder) replace(name string, b []byte) error {
	tmp := name + ".tmp"
	err := d.write(tmp, b, 0, true)
	if err == nil {
		err = d.rename(tmp, name)
	}
	if err != nil {
		return errors.Join(err, d.remove(tmp))
	}
	return nil
}
