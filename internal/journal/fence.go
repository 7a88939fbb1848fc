package journal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// fenceName is the file to which versions without a backlog rewrote a journal. They remove it when they start, and do not
// start if they cannot.
const fenceName = "journal.tmp"

// FenceOlderVersions keeps versions of the program that do not know the other files of the folder from starting with it: it
// creates a non-empty directory where they must remove a file. A file in it has the reason; its name has no meaning to any
// version.
func FenceOlderVersions(dir, reason string) error {
	path := filepath.Join(dir, fenceName)
	if err := removeLeftover(path); err != nil {
		return err
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return diskFailure("older versions could not be kept from the folder", err)
	}
	if err := os.WriteFile(filepath.Join(path, "WHY"), []byte(reason+"\n"), 0o644); err != nil {
		return diskFailure("older versions could not be kept from the folder", err)
	}
	return nil
}

// RemoveFence lets older versions start again.
func RemoveFence(dir string) error { return os.RemoveAll(filepath.Join(dir, fenceName)) }

// removeLeftover removes the file that a killed older version left. A fence stays.
func removeLeftover(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.IsDir() {
		return nil
	}
	if err == nil {
		err = os.Remove(path)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return diskFailure("what an older version left could not be removed", err)
	}
	return nil
}
