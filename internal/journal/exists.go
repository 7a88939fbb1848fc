package journal

import (
	"os"
	"path/filepath"
)

// fileName is the name of the journal in the state folder.
const fileName = "journal"

// Exists reports whether a folder has a journal, that is whether a process has used it before.
func Exists(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return err == nil
}
