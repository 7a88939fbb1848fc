package journal

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a fence that also blocks this version, that does not survive starts and compactions, or that does not block
// older versions, which remove a file of that name before they start.
func TestFenceBlocksOlderVersions(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "journal.tmp"), []byte("half"), 0o600); err != nil { // left by a killed older version
		t.Fatal(err)
	}
	for range 2 {
		if err := FenceOlderVersions(dir, "a later version's"); err != nil {
			t.Fatal(err)
		}
		j := mustOpen(t, dir, 3e6)
		mustAppend(t, j, acceptedRecord("a", 10))
		if err := j.Compact(); err != nil {
			t.Fatal(err)
		}
		if err := os.Remove(filepath.Join(dir, "journal.tmp")); err == nil {
			t.Fatal("an older version could start")
		}
	}
	why, err := os.ReadFile(filepath.Join(dir, "journal.tmp", "WHY"))
	if err != nil || string(why) != "a later version's\n" {
		t.Errorf("WHY has %q, %v", why, err)
	}
	if err := RemoveFence(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(dir, "journal.tmp")); !os.IsNotExist(err) {
		t.Errorf("the fence still exists: %v", err)
	}
}
