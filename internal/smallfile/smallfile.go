// Package smallfile stores a small value in a file as JSON. The file is replaced as a whole, so a process that is killed leaves
// the old value or the new one.
package smallfile

import (
	"encoding/json"
	"os"
)

// MaxBytes is the disk space in bytes that a file takes at most, together with the one that is about to replace it, if each fits
// into a block of 512 bytes.
const MaxBytes = 2 * 512

// WriteError reports that a value could not be stored. The file has the previous value, or none.
type WriteError struct {
	Op, Path string
	Err      error
}

func (e *WriteError) Error() string { return e.Op + " " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do about the error.
func (e *WriteError) Remedy() string {
	return "Make the folder that lasts writable, and see that its disk has room."
}

// Read reads the value of a file into value, and reports whether there is one. An absent or damaged file has none.
func Read(path string, value any) (ok bool) {
	data, err := os.ReadFile(path)
	return err == nil && json.Unmarshal(data, value) == nil
}

// Write replaces the value of a file. Its errors are of type *WriteError.
func Write(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return &WriteError{"encode", path, err}
	}
	tempPath := path + ".next"
	if err := os.WriteFile(tempPath, data, 0o644); err != nil {
		os.Remove(tempPath)
		return &WriteError{"write", tempPath, err}
	}
	if err := os.Rename(tempPath, path); err != nil {
		os.Remove(tempPath)
		return &WriteError{"rename", tempPath, err}
	}
	return nil
}
