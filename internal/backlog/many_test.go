package backlog

import (
	"fmt"
	"os"
	"testing"
)

// Guards against thousands of destinations with few messages each that use a file descriptor each, or that require a walk
// over all of them.
func TestManySmallDestinations(t *testing.T) {
	const dests = 1000
	dir, openBefore := t.TempDir(), countOpenFiles(t)
	store := mustOpen(t, dir, Options{DiskBytes: 64 << 20, MaxOpenFiles: 8})
	defer store.Close()
	for i := range 2 * dests {
		if err := store.Put(Message{ID: fmt.Sprint(i), Dest: i % dests, Due: int64(5000 - i), Data: make([]byte, 50)}); err != nil {
			t.Fatal(err)
		}
	}
	if opened := countOpenFiles(t) - openBefore; opened > 8 {
		t.Fatalf("%d more files are open", opened)
	}
	all, err := store.Due(5000, 300)
	if err != nil || len(all) != 300 || all[0].Due != 5000-2*dests+1 || all[299].Due != 5000-2*dests+300 {
		t.Fatalf("%d due, %v", len(all), err)
	}
	for dest := range dests {
		all, err := store.Next(dest, 10, 1<<20)
		if err != nil || len(all) != 2 || all[0].ID != fmt.Sprint(dest) {
			t.Fatalf("destination %d has %s: %v", dest, describe(all), err)
		}
		if err := store.Remove(dest, all[0].Sequence, all[1].Sequence); err != nil {
			t.Fatal(err)
		}
	}
	if opened := countOpenFiles(t) - openBefore; opened > 8 || store.Len() > 0 || store.Bytes() > 64<<10 {
		t.Fatalf("%d files are open, %d messages and %d bytes left", opened, store.Len(), store.Bytes())
	}
}

func countOpenFiles(t testing.TB) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	return len(all)
}

// Guards against messages due together that are returned out of order or more than once, or that cost a scan of all entries
// for each call.
func TestManyDueTogether(t *testing.T) {
	const messageCount = 6000
	var calls int
	store := mustOpen(t, t.TempDir(), Options{DiskBytes: 64 << 20, MinSegmentBytes: 64 << 10, MaxSegmentBytes: 64 << 10})
	defer store.Close()
	var messages []Message
	for i := range messageCount {
		messages = append(messages, Message{ID: fmt.Sprint(i), Dest: i % 3, Due: int64(1000 + i*7919%1000), Data: make([]byte, 30)})
	}
	if err := store.Put(messages...); err != nil {
		t.Fatal(err)
	}
	seen, last := map[string]bool{}, int64(0)
	for len(seen) < messageCount {
		all, err := store.Due(2000, 100)
		if err != nil || len(all) == 0 {
			t.Fatalf("after %d: %v", len(seen), err)
		}
		for _, h := range all {
			if seen[h.ID] || h.Due < last {
				t.Fatalf("%s is returned again or too late, after %d messages", h.ID, len(seen))
			}
			seen[h.ID], last = true, h.Due
			if err := store.Remove(h.Dest, h.Sequence); err != nil {
				t.Fatal(err)
			}
		}
		calls++
	}
	if calls != messageCount/100 || store.Len() != 0 {
		t.Fatalf("%d calls, %d left", calls, store.Len())
	}
	if store.dueScans > 2*messageCount/dueListLength {
		t.Fatalf("segments were scanned %d times for %d messages", store.dueScans, messageCount)
	}
}
