// Package smallfile keeps a small value in a file as JSON, replaced as a whole: a kill leaves the old value or the new one.
package smallfile

import (
	"encoding/json"
	"os"
)

// Most is how many bytes of a disk a file takes at the most, with the one that is about to replace it, as long as its value
// takes a block of 512 bytes.
const MaxBytes = 2 * 512

// Failure says that a value could not be kept. The file has the value of before, or none.
type WriteError struct {
	Op, Path string
	Err      error
}

func (e *WriteError) Error() string { return e.Op + " " + e.Path + ": " + e.Err.Error() }

// Unwrap is the cause.
func (e *WriteError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *WriteError) Remedy() string {
	return "Make the folder that lasts writable, and see that its disk has room."
}

// Read reads the value of a file; a file that is absent or damaged has none.
func Read(path string, value any) (ok bool) {
	data, err := os.ReadFile(path)
	return err == nil && json.Unmarshal(data, value) == nil
}

// Write replaces the value of a file.
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
