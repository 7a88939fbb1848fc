package journal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// oldNext is where versions before the backlog wrote a journal anew. They remove what is there at their start, and do not
// start if they cannot.
const fenceName = "journal.tmp"

// Fence keeps versions of the program that do not know what else is in the folder from starting on it: a directory with a
// file stands where they must remove a file. The file says why; its name stands in nobody's way.
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

// Unfence has older versions start again.
func RemoveFence(dir string) error { return os.RemoveAll(filepath.Join(dir, fenceName)) }

// unfenced removes what an older version left as it was killed; a fence stays.
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
