package journal

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
)

// fileNumber returns the inode of the journal's file, which each compaction replaces.
func fileNumber(t *testing.T, j *Journal) uint64 {
	t.Helper()
	info, err := os.Stat(j.path)
	if err != nil {
		t.Fatal(err)
	}
	return info.Sys().(*syscall.Stat_t).Ino
}

// Guards against writing the whole journal anew for each message that a full one has no space for, which holds up all
// other messages.
func TestFullJournalIsNotCompactedForEachMessage(t *testing.T) {
	j, err := Open(t.TempDir(), 1_000_000)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	accept := func(i int) error {
		return j.Append(Record{Op: OpAccepted, Entry: &Entry{ID: fmt.Sprint("m", i), Class: "a", Body: make([]byte, 300)}})
	}
	accepted := 0
	for ; accept(accepted) == nil; accepted++ {
	}
	compactions, before := 0, fileNumber(t, j)
	for i := range 500 {
		if err := accept(accepted + i); !errors.Is(err, ErrFull) {
			t.Fatalf("a message is accepted with %v, want no space", err)
		}
		if now := fileNumber(t, j); now != before {
			compactions, before = compactions+1, now
		}
	}
	if compactions > 0 {
		t.Errorf("%d compactions for 500 messages without space, want none", compactions)
	}
	for i := range accepted / 4 { // what ends makes space again
		if err := j.Append(Record{Op: OpEnd, ID: fmt.Sprint("m", i)}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range accepted / 8 {
		if err := accept(accepted + i); err != nil {
			t.Fatalf("message %d of the space of %d that have ended: %v", i, accepted/4, err)
		}
	}
}
