package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// blockRewrites makes each compaction in a folder fail, as on a failing disk, until the returned function is called.
func blockRewrites(t *testing.T, dir string) (unblock func()) {
	t.Helper()
	path := filepath.Join(dir, "journal.next")
	if err := os.MkdirAll(filepath.Join(path, "x"), 0o755); err != nil {
		t.Fatal(err)
	}
	return func() {
		t.Helper()
		if err := os.RemoveAll(path); err != nil {
			t.Fatal(err)
		}
	}
}

func fillJournal(t *testing.T, dir string, budget int64, messages, size int) {
	t.Helper()
	j := mustOpen(t, dir, budget)
	for n := range messages {
		mustAppend(t, j, acceptedRecord(fmt.Sprint("m", n), size))
	}
	j.Close()
}

// Guards against a start that fails or loses messages because the folder cannot be written for a while: accepted messages
// are still due, and their history is recorded as long as the old file can be written.
func TestOpenUnwritableFolder(t *testing.T) {
	dir := t.TempDir()
	fillJournal(t, dir, 3e6, 200, 100)
	unblock := blockRewrites(t, dir)
	journal := mustOpen(t, dir, 3e6)
	wantEqual(t, "messages after the start", journal.Len(), 200)
	mustAppend(t, journal, Record{Op: OpTry, ID: "m0", At: 5}, Record{Op: OpEnd, ID: "m1"})
	journal.Close()
	journal = mustOpen(t, dir, 3e6) // restarts after a kill, and the folder still cannot be written
	wantEqual(t, "messages after another", journal.Len(), 199)
	wantEqual(t, "tries of the first", journal.Entry("m0").Tries, 1)
	unblock()
	if err := journal.Compact(); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, journal, acceptedRecord("new", 10))
	journal.Close()
	wantEqual(t, "messages at the end", mustOpen(t, dir, 3e6).Len(), 200)
}

// Guards against a partial record, left by a kill, that hides the records written behind it while the journal cannot be
// compacted.
func TestTornTailInUnwritableFolder(t *testing.T) {
	dir := t.TempDir()
	fillJournal(t, dir, 3e6, 3, 100)
	path := filepath.Join(dir, "journal")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(data, appendFrame(nil, acceptedRecord("torn", 50))[:20]...), 0o600); err != nil {
		t.Fatal(err)
	}
	blockRewrites(t, dir)
	j := mustOpen(t, dir, 3e6)
	mustAppend(t, j, acceptedRecord("behind", 10))
	j.Close()
	j = mustOpen(t, dir, 3e6)
	wantEqual(t, "messages", j.Len(), 4)
	wantEqual(t, "damage", j.Damaged(), false)
}

// Guards against messages that are lost because the budget was lowered and the new file cannot be written: the old file may
// be deleted only once there is a new one.
func TestLoweredBudgetLosesNothing(t *testing.T) {
	dir := t.TempDir()
	fillJournal(t, dir, 8e6, 200, 4000)
	unblock := blockRewrites(t, dir)
	j, err := Open(dir, 1e6)
	if err == nil {
		wantEqual(t, "messages while it cannot be written", j.Len(), 200)
		j.Close()
	}
	unblock()
	wantEqual(t, "messages once it can", mustOpen(t, dir, 1e6).Len(), 200)
}

// Guards against a folder without a journal that cannot be written at first: the journal opens, accepts nothing, and does
// so once the folder can be written.
func TestNewUnwritableFolder(t *testing.T) {
	dir := t.TempDir()
	unblock := blockRewrites(t, dir)
	if err := os.Symlink(filepath.Join(dir, "absent", "journal"), filepath.Join(dir, "journal")); err != nil { // the file cannot be created either
		t.Fatal(err)
	}
	journal, err := Open(dir, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	if err := journal.Append(acceptedRecord("a", 10)); err == nil {
		t.Error("a message was accepted without a file")
	}
	unblock()
	if err := os.RemoveAll(filepath.Join(dir, "journal")); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, journal, acceptedRecord("a", 10))
	journal.Close()
	wantEqual(t, "messages", mustOpen(t, dir, 3e6).Len(), 1)
}
