package backlog

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var damageStepBytes = flag.Int("backlog.step", 29, "distance in bytes between the positions that are truncated at or flipped")

// churnedFolder returns a folder with messages of two destinations in several segments, some of which were removed in order
// and some out of order; gone has the ids of these.
func churnedFolder(t testing.TB) (dir string, m queueModel, gone map[string]bool) {
	dir, m, gone = tempDir(t), queueModel{}, map[string]bool{}
	s := mustOpen(t, dir, smallOptions(&killSwitch{}))
	defer s.Close()
	for i := range 60 {
		h := Message{ID: fmt.Sprint("m", i), Dest: 1 + i%2, Due: int64(i), Data: bytes.Repeat([]byte{byte(i)}, 20+i*3)}
		if i%3 == 0 {
			h.OrderKey = fmt.Sprint("k", h.Dest)
		}
		if err := s.Put(h); err != nil {
			t.Fatal(err)
		}
		m[h.Dest] = append(m[h.Dest], StoredMessage{Message: h})
	}
	checkEqual(t, s, m)
	for dest, q := range m {
		var out []uint64
		for i, h := range q {
			if i < 3 || i%7 == 5 || i > 25 && i < 28 {
				out, gone[h.ID] = append(out, h.Sequence), true
			}
		}
		if err := s.Remove(dest, out...); err != nil {
			t.Fatal(err)
		}
		m.remove(dest, out...)
	}
	checkEqual(t, s, m)
	return dir, m, gone
}

// checkSurvives checks a folder after damage: at most that many messages are missing and each is reported, removed messages
// stay removed or come back in doubt, the order is preserved, and all messages can be removed.
func checkSurvives(t testing.TB, what, dir string, m queueModel, gone map[string]bool, most int) {
	t.Helper()
	s, err := Open(dir, smallOptions(&killSwitch{}))
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	defer s.Close()
	got := storedMessages(t, s)
	lost, doubt, table := 0, 0, false
	for _, err := range s.TakeDamageReports() {
		var d *DamageError
		if !errors.As(err, &d) || d.Remedy() == "" {
			t.Fatalf("%s: %v", what, err)
		}
		lost, doubt, table = lost+d.Lost, doubt+d.InDoubt, table || d.Segment == tableFileName
	}
	missing := 0
	for dest, q := range m {
		g := got[dest]
		for _, h := range q {
			i := slices.IndexFunc(g, func(x StoredMessage) bool { return x.ID == h.ID })
			if i < 0 {
				missing++
				continue
			}
			for _, x := range g[:i] {
				if !x.InDoubt || !gone[x.ID] {
					t.Fatalf("%s: %s precedes %s", what, x.ID, h.ID)
				}
			}
			x := g[i]
			if x.InDoubt {
				doubt--
			}
			if x.InDoubt = false; !sameMessage(x, h) || x.Sequence != h.Sequence {
				t.Fatalf("%s: message %+v was read as %+v", what, h, x)
			}
			if f, ok, err := s.Find(dest, h.ID); err != nil || !ok || f.Sequence != h.Sequence {
				t.Fatalf("%s: Find of %s returned %v %v %v", what, h.ID, f, ok, err)
			}
			g = g[i+1:]
		}
		for _, x := range g {
			if !x.InDoubt || !gone[x.ID] {
				t.Fatalf("%s: removed message %s is back without being in doubt", what, x.ID)
			}
		}
	}
	if missing > most || missing > lost || doubt < 0 {
		t.Fatalf("%s: %d messages missing (at most %d), %d reported as lost; %d in doubt not reported", what, missing, most, lost, -doubt)
	}
	for dest, q := range got {
		for _, h := range q {
			if err := s.Remove(dest, h.Sequence); err != nil {
				t.Fatalf("%s: %v", what, err)
			}
		}
	}
	if err := s.Put(Message{ID: "new", Dest: 1}); err != nil || s.Len() != 1 {
		t.Fatalf("%s: %d left: %v", what, s.Len(), err)
	}
}

func forEachFile(t testing.TB, dir string, f func(name string, b []byte)) {
	all, err := os.ReadDir(dir)
	if err != nil || len(all) < 8 {
		t.Fatalf("%d files: %v", len(all), err)
	}
	for _, e := range all {
		b, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		f(e.Name(), b)
	}
}

// copyWithFile returns a copy of a folder in which one file has other content, or is deleted if b is nil.
func copyWithFile(t testing.TB, dir, name string, b []byte) string {
	to := copyDir(t, dir)
	err := os.Remove(filepath.Join(to, name))
	if b != nil {
		err = os.WriteFile(filepath.Join(to, name), b, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return to
}

// Guards against a flipped bit that loses more than its record, is not reported, or brings back a removed message.
func TestFlippedBits(t *testing.T) {
	dir, m, gone := churnedFolder(t)
	forEachFile(t, dir, func(name string, b []byte) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := 0; i < len(b); i += *damageStepBytes {
				if name == tableFileName && b[i] == 0 && i%(16*slotSize) != 0 {
					continue // most of the table is free slots
				}
				c := slices.Clone(b)
				c[i] ^= 1 << (i % 8)
				checkSurvives(t, fmt.Sprint("bit flipped at ", i), copyWithFile(t, dir, name, c), m, gone, 1)
			}
		})
	})
}

// Guards against a truncated or deleted file that loses more than the messages in the missing part, or does not report it.
func TestTruncatedFiles(t *testing.T) {
	dir, m, gone := churnedFolder(t)
	forEachFile(t, dir, func(name string, b []byte) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSurvives(t, "deleted", copyWithFile(t, dir, name, nil), m, gone, 30)
			step := *damageStepBytes
			if name == tableFileName {
				step *= 100
			}
			for n := 0; n < len(b); n += step {
				if name == versionFileName && n == 0 {
					continue // covered by TestOtherFormatVersion
				}
				most := 0
				if strings.HasSuffix(name, ".dat") {
					most = 1 + (len(b)-n)/frameHeaderSize
				}
				checkSurvives(t, fmt.Sprint("truncated at ", n), copyWithFile(t, dir, name, b[:n]), m, gone, most)
			}
		})
	})
}
