package backlog

import (
	"hash/crc32"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"larchrouter/internal/backlog/state"
)

// writtenFiles returns the two files of a segment, the table, and the salt of the folder.
func writtenFiles(f *testing.F) (index, data, table []byte, salt []byte) {
	dir := f.TempDir()
	store := mustOpen(f, dir, smallOptions(&killSwitch{}))
	for i := range 5 {
		if err := store.Put(Message{ID: string(rune('a' + i)), Dest: 1, Due: int64(i), OrderKey: "k", Data: make([]byte, i*10)}); err != nil {
			f.Fatal(err)
		}
	}
	if err := store.Remove(1, 1, 3); err != nil {
		f.Fatal(err)
	}
	salt = store.folderSalt
	store.Close()
	for _, of := range []struct {
		name string
		to   *[]byte
	}{{"1-1.idx", &index}, {"1-1.0.dat", &data}, {tableFileName, &table}} {
		b, err := os.ReadFile(filepath.Join(dir, of.name))
		if err != nil {
			f.Fatal(err)
		}
		*of.to = b
	}
	return index, data, table, salt
}

// checkDrains opens a folder, calls every reading method and removes all messages: nothing may panic, come twice or stay.
func checkDrains(t *testing.T, dir string) {
	store, err := Open(dir, smallOptions(&killSwitch{}))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if _, _, err := store.Find(1, "a"); err != nil {
		t.Fatal(err)
	}
	store.DestOfKey("k")
	store.NextDue()
	if _, err := store.Due(math.MaxInt64, 100); err != nil {
		t.Fatal(err)
	}
	for dest := range store.Dests() {
		all, err := store.Next(dest, math.MaxInt, math.MaxInt)
		if err != nil {
			t.Fatal(err)
		}
		last := uint64(0)
		for _, h := range all {
			if h.Sequence <= last {
				t.Fatalf("sequence numbers %d, %d are out of order", last, h.Sequence)
			}
			last = h.Sequence
			if err := store.Remove(dest, h.Sequence); err != nil {
				t.Fatal(err)
			}
		}
	}
	if store.Len() != 0 {
		t.Fatalf("%d left", store.Len())
	}
	if err := store.Put(Message{ID: "new", Dest: 1}); err != nil || store.Len() != 1 {
		t.Fatal(err)
	}
}

// fixChecksums corrects the checksums, so that the fuzzer reaches the fields that they protect.
func fixChecksums(index, data, salt []byte) ([]byte, []byte) {
	index, data = slices.Clone(index), slices.Clone(data)
	sum := func(rest []byte, at int) {
		littleEndian.PutUint32(rest[at:], crc32.Checksum(rest[:at], castagnoliTable))
	}
	if len(index) >= state.HeaderSize {
		littleEndian.PutUint32(index, indexMagic)
		littleEndian.PutUint64(index[8:], 1)
		littleEndian.PutUint64(index[16:], 1)
		sum(index, 24)
		sum(index[headOffset:], 4)
		for rest := index[state.HeaderSize:]; len(rest) >= state.EntrySize; rest = rest[state.EntrySize:] {
			sum(rest, 40)
		}
	}
	for rest := data; len(rest) >= frameHeaderSize; {
		n := int(littleEndian.Uint32(rest))
		if n < frameHeaderSize || n > len(rest) {
			break
		}
		littleEndian.PutUint32(rest[4:], crc32.Update(littleEndian.Uint32(salt), castagnoliTable, rest[8:n]))
		rest = rest[n:]
	}
	return index, data
}

// FuzzSegment opens a folder with arbitrary files of a segment.
func FuzzSegment(f *testing.F) {
	index, data, table, salt := writtenFiles(f)
	for _, fixSums := range []bool{false, true} {
		f.Add(index, data, fixSums)
		f.Add(index, []byte{}, fixSums)
		f.Add([]byte{}, data, fixSums)
		f.Add(index[:state.HeaderSize+100], data, fixSums)
		f.Add(index, data[:60], fixSums)
	}
	damagedHeader := slices.Clone(index)
	damagedHeader[0]++
	f.Add(damagedHeader, data[:60], false) // a damaged header and truncated data
	damagedEntry := slices.Clone(index)
	damagedEntry[state.HeaderSize+state.EntrySize]++
	f.Add(damagedEntry, data, false) // a damaged entry whose frame is intact
	f.Fuzz(func(t *testing.T, index, data []byte, fixSums bool) {
		if fixSums {
			index, data = fixChecksums(index, data, salt)
		}
		dir := t.TempDir()
		for name, b := range map[string][]byte{"1-1.idx": index, "1-1.0.dat": data, tableFileName: table, versionFileName: versionText(salt)} {
			if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		checkDrains(t, dir)
	})
}

// FuzzIndex opens a folder with an arbitrary table file.
func FuzzIndex(f *testing.F) {
	index, data, table, salt := writtenFiles(f)
	f.Add(table)
	f.Add(table[:100])
	f.Add([]byte{})
	f.Add([]byte(strings.Repeat("x", pageSize)))
	f.Add(append(slices.Clone(table[:slotSize]), strings.Repeat("x", pageSize-slotSize)...)) // a page of invalid slots
	f.Fuzz(func(t *testing.T, table []byte) {
		dir := t.TempDir()
		for name, b := range map[string][]byte{"1-1.idx": index, "1-1.0.dat": data, tableFileName: table, versionFileName: versionText(salt)} {
			if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		checkDrains(t, dir)
	})
}
