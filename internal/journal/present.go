package journal

import (
	"os"
	"path/filepath"
)

// fileName is the journal's file in the folder that lasts.
const fileName = "journal"

// Present tells whether a folder has a journal: whether a process has used it before.
func Exists(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return err == nil
}
