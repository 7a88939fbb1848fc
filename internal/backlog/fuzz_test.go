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

// parts are a segment's two files and the salt that they are read with, as written.
func written(f *testing.F) (index, data, table []byte, salt []byte) {
	dir := f.TempDir()
	s := mustOpen(f, dir, small(&killer{}))
	for i := range 5 {
		if err := s.Put(Message{ID: string(rune('a' + i)), Dest: 1, Due: int64(i), Order: "k", Data: make([]byte, i*10)}); err != nil {
			f.Fatal(err)
		}
	}
	if err := s.Out(1, 1, 3); err != nil {
		f.Fatal(err)
	}
	salt = s.saltAll
	s.Close()
	for _, of := range []struct {
		name string
		to   *[]byte
	}{{"1-1.idx", &index}, {"1-1.0.dat", &data}, {tableName, &table}} {
		b, err := os.ReadFile(filepath.Join(dir, of.name))
		if err != nil {
			f.Fatal(err)
		}
		*of.to = b
	}
	return index, data, table, salt
}

// drains opens a folder, asks all that can be asked, and takes all out: nothing panics or comes twice, and nothing is left.
func drains(t *testing.T, dir string) {
	s, err := Open(dir, small(&killer{}))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, _, err := s.Find(1, "a"); err != nil {
		t.Fatal(err)
	}
	s.Key("k")
	s.NextDue()
	if _, err := s.Due(math.MaxInt64, 100); err != nil {
		t.Fatal(err)
	}
	for dest := range s.Dests() {
		all, err := s.Next(dest, math.MaxInt, math.MaxInt)
		if err != nil {
			t.Fatal(err)
		}
		last := uint64(0)
		for _, h := range all {
			if h.Place <= last {
				t.Fatalf("places %d, %d", last, h.Place)
			}
			last = h.Place
			if err := s.Out(dest, h.Place); err != nil {
				t.Fatal(err)
			}
		}
	}
	if s.Len() != 0 {
		t.Fatalf("%d left", s.Len())
	}
	if err := s.Put(Message{ID: "new", Dest: 1}); err != nil || s.Len() != 1 {
		t.Fatal(err)
	}
}

// seal makes checksums right, so that what they guard is read.
func seal(index, data, salt []byte) ([]byte, []byte) {
	index, data = slices.Clone(index), slices.Clone(data)
	sum := func(b []byte, at int) { le.PutUint32(b[at:], crc32.Checksum(b[:at], castagnoli)) }
	if len(index) >= state.Header {
		le.PutUint32(index, indexWord)
		le.PutUint64(index[8:], 1)
		le.PutUint64(index[16:], 1)
		sum(index, 24)
		sum(index[headAt:], 4)
		for b := index[state.Header:]; len(b) >= state.Entry; b = b[state.Entry:] {
			sum(b, 40)
		}
	}
	for b := data; len(b) >= frameHead; {
		n := int(le.Uint32(b))
		if n < frameHead || n > len(b) {
			break
		}
		le.PutUint32(b[4:], crc32.Update(le.Uint32(salt), castagnoli, b[8:n]))
		b = b[n:]
	}
	return index, data
}

// FuzzSegment reads any files for a segment's.
func FuzzSegment(f *testing.F) {
	index, data, table, salt := written(f)
	for _, right := range []bool{false, true} {
		f.Add(index, data, right)
		f.Add(index, []byte{}, right)
		f.Add([]byte{}, data, right)
		f.Add(index[:state.Header+100], data, right)
		f.Add(index, data[:60], right)
	}
	f.Fuzz(func(t *testing.T, index, data []byte, right bool) {
		if right {
			index, data = seal(index, data, salt)
		}
		dir := t.TempDir()
		for name, b := range map[string][]byte{"1-1.idx": index, "1-1.0.dat": data, tableName: table, versionName: versionText(salt)} {
			if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		drains(t, dir)
	})
}

// FuzzIndex reads any file for the table of ids.
func FuzzIndex(f *testing.F) {
	index, data, table, salt := written(f)
	f.Add(table)
	f.Add(table[:100])
	f.Add([]byte{})
	f.Add([]byte(strings.Repeat("x", pageSize)))
	f.Fuzz(func(t *testing.T, table []byte) {
		dir := t.TempDir()
		for name, b := range map[string][]byte{"1-1.idx": index, "1-1.0.dat": data, tableName: table, versionName: versionText(salt)} {
			if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		drains(t, dir)
	})
}
