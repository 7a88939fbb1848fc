package backlog

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
)

// openTable returns the table of a folder, loaded as at a start, or a new one.
func openTable(t testing.TB, dir string, kill *killSwitch, isNew bool) *table {
	t.Helper()
	d, err := newFolder(dir, 2, kill.fault)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.openFiles.Purge() })
	tab := &table{folder: d, fileName: tableFileName, needed: func(s slot) bool { return s.sequence%5 > 0 || s.count > 0 },
		checkSpace: func(int64) error { return nil }, sizeChanged: func(int64) {}}
	if isNew {
		err = tab.create()
	} else {
		f, e := os.Stat(filepath.Join(dir, tableFileName))
		if e != nil {
			t.Fatal(e)
		}
		err = tab.load(f.Size())
	}
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func findSlots(t testing.TB, table *table, hash uint64) (n int, sequence, count uint64) {
	t.Helper()
	if err := table.find(hash, func(s slot, _ int64) bool {
		n, sequence, count = n+1, s.sequence, uint64(s.count)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	return n, sequence, count
}

// Guards against a slot that is lost when pages are split, when unneeded slots are dropped, or when the table is loaded.
func TestTableFindsEverySlot(t *testing.T) {
	dir := t.TempDir()
	table := openTable(t, dir, &killSwitch{}, true)
	r := rand.New(rand.NewPCG(1, 2))
	sequences := map[uint64]uint64{}
	for i := range uint64(12_000) {
		hash := max(1, r.Uint64())
		if err := table.insert(slot{hash: hash, sequence: i + 1, dest: 3}); err != nil {
			t.Fatal(err)
		}
		sequences[hash] = i + 1
	}
	keys := map[uint64]uint64{}
	for i := range uint64(3_000) {
		hash, more := 1<<60+i%100, i%3 > 0
		if err := table.adjustKeyCount(hash, 3, i, more); err != nil {
			t.Fatal(err)
		}
		if more {
			keys[hash]++
		} else if keys[hash] > 0 {
			keys[hash]--
		}
	}
	if table.depth < 2 || len(table.freePages) == 0 {
		t.Fatalf("no page was split: depth %d", table.depth)
	}
	for range 2 {
		for hash, sequence := range sequences {
			if n, found, _ := findSlots(t, table, hash); sequence%5 > 0 && (n != 1 || found != sequence) || n > 1 {
				t.Fatalf("sequence number %d is found %d times, as %d", sequence, n, found)
			}
		}
		for hash, n := range keys {
			if _, _, count := findSlots(t, table, hash); count != n+1 {
				t.Fatalf("a key of %d messages has %d", n, int(count)-1)
			}
		}
		table = openTable(t, dir, &killSwitch{}, false)
	}
}

// Guards against a kill between the steps of a split that loses a slot or leaves one that misleads: four pages are written
// and the old one is freed. If most slots are no longer needed, only one page is written.
func TestTableKilledDuringSplit(t *testing.T) {
	t.Run("split", func(t *testing.T) { checkKilledSplits(t, 5, 1, 0) })
	t.Run("rid", func(t *testing.T) { checkKilledSplits(t, 2, 0, 1) })
}

// checkKilledSplits adds slots, of which two in three are stale if remainder is zero, until a page is full for the first
// time after splitsBefore others. If splitsBefore is 1, the page is written where an older one was, so a partial write is
// not at the end of the file.
func checkKilledSplits(t *testing.T, steps, remainder, splitsBefore int) {
	for killStep := range steps + 1 {
		dir := t.TempDir()
		tab := openTable(t, dir, &killSwitch{}, true)
		step, killed, splitsLeft := -1, false, splitsBefore
		tab.folder.injectFault = func(_, _ string, bytes int) (int, error) {
			if step < 0 && bytes == pageSize {
				splitsLeft--
			}
			if splitsLeft >= 0 {
				return bytes, nil
			}
			if step++; step < killStep || step >= steps {
				return bytes, nil
			}
			killed = true
			if bytes == slotSize {
				return 0, errKilled
			}
			return bytes / 2, errKilled
		}
		r := rand.New(rand.NewPCG(3, 4))
		var hashes []uint64
		sequenceOf := func(i int) uint64 {
			if i%3 == 0 {
				return uint64(5*i + 1)
			}
			return uint64(5*i + remainder)
		}
		add := func(tab *table) error {
			hash := max(1, r.Uint64())
			err := tab.insert(slot{hash: hash, sequence: sequenceOf(len(hashes)), dest: 3})
			if err == nil {
				hashes = append(hashes, hash)
			}
			return err
		}
		for step < steps-1 && !killed {
			if err := add(tab); err != nil && !errors.Is(err, errKilled) {
				t.Fatal(err)
			}
		}
		if killed != (killStep < steps) {
			t.Fatalf("step %d was killed: %v", killStep, killed)
		}
		for range 2 {
			tab = openTable(t, dir, &killSwitch{}, false)
			for i, hash := range hashes {
				if step, sequence, _ := findSlots(t, tab, hash); sequenceOf(i)%5 > 0 && step != 1 || step > 1 || step == 1 && sequence != sequenceOf(i) {
					t.Fatalf("killed at step %d: slot %d of %d is found %d times", killStep, i, len(hashes), step)
				}
			}
			for range 3000 {
				if err := add(tab); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}
