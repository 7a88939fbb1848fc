package proc

import (
	"bufio"
	"io"
	"os"
)

// cappedFile is a log file of limited size. It keeps the first half of maxBytes, and of the rest only the latest output, up to
// half of maxBytes (a quarter on average): the start and the end of a log tell more than its middle.
type cappedFile struct {
	file           *os.File
	maxBytes, size int64
	firstSaved     bool // the first half has been moved to a file of its own
}

func newCappedFile(path string, maxBytes int64) (*cappedFile, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	if maxBytes <= 0 {
		maxBytes = 8 << 20
	}
	return &cappedFile{file: f, maxBytes: maxBytes}, nil
}

func (c *cappedFile) Write(p []byte) (int, error) {
	if c.size+int64(len(p)) > c.maxBytes/2 && c.size > 0 {
		if err := c.rotate(); err != nil {
			return len(p), nil // a failure of the log must not stop the program
		}
	}
	n := min(int64(len(p)), c.maxBytes/2)
	c.file.Write(p[:n])
	c.size += n
	return len(p), nil
}

// rotate empties the file. The first time, it keeps the old content under the name with ".first" added.
func (c *cappedFile) rotate() error {
	if !c.firstSaved {
		c.firstSaved = true
		if err := os.Rename(c.file.Name(), c.file.Name()+".first"); err != nil {
			return err
		}
		f, err := os.OpenFile(c.file.Name(), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
		if err != nil {
			return err
		}
		c.file.Close()
		c.file, c.size = f, 0
		return nil
	}
	c.size = 0
	if err := c.file.Truncate(0); err != nil {
		return err
	}
	_, err := c.file.Seek(0, io.SeekStart)
	return err
}

func (c *cappedFile) Close() error { return c.file.Close() }

// Tail returns the last lines of a log, at most the given number; nil if it cannot be opened.
func Tail(path string, lines int) []string {
	f, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer f.Close()
	var last []string
	for s := bufio.NewScanner(f); s.Scan(); {
		if last = append(last, s.Text()); len(last) > lines {
			last = last[1:]
		}
	}
	return last
}
