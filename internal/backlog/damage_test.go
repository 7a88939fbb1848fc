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

var damageStepBytes = flag.Int("backlog.step", 29, "which bytes are cut and flipped: each so many-th")

// lived is a folder with messages of two destinations in several segments, of which some have left in order and some out of it.
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

// survives checks what is left of a folder after damage: at most so many messages are missing, each is told of, what has left comes back in doubt or not at all, order stays,
// and all can be taken out.
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
					t.Fatalf("%s: %s comes before %s", what, x.ID, h.ID)
				}
			}
			x := g[i]
			if x.InDoubt {
				doubt--
			}
			if x.InDoubt = false; !sameMessage(x, h) || x.Sequence != h.Sequence {
				t.Fatalf("%s: %+v is %+v", what, h, x)
			}
			if f, ok, err := s.Find(dest, h.ID); err != nil || !ok || f.Sequence != h.Sequence {
				t.Fatalf("%s: %s is found as %v %v %v", what, h.ID, f, ok, err)
			}
			g = g[i+1:]
		}
		for _, x := range g {
			if !x.InDoubt || !gone[x.ID] {
				t.Fatalf("%s: %s is there", what, x.ID)
			}
		}
	}
	if missing > most || missing > lost || doubt < 0 {
		t.Fatalf("%s: %d missing (at most %d), %d told of; %d in doubt untold", what, missing, most, lost, -doubt)
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

// with is a copy of a folder with another content of a file; none if nil.
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

// Guards against one flipped bit that loses more than its record, is not told, or has come again what had left.
func TestFlippedBits(t *testing.T) {
	dir, m, gone := churnedFolder(t)
	forEachFile(t, dir, func(name string, b []byte) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i := 0; i < len(b); i += *damageStepBytes {
				if name == tableFileName && b[i] == 0 && i%(16*slotSize) != 0 {
					continue // most of it is free
				}
				c := slices.Clone(b)
				c[i] ^= 1 << (i % 8)
				checkSurvives(t, fmt.Sprint("bit flipped at ", i), copyWithFile(t, dir, name, c), m, gone, 1)
			}
		})
	})
}

// Guards against a file that is cut and takes more than what was in the part that is missing, or is silent about it.
func TestTruncatedFiles(t *testing.T) {
	dir, m, gone := churnedFolder(t)
	forEachFile(t, dir, func(name string, b []byte) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSurvives(t, "gone", copyWithFile(t, dir, name, nil), m, gone, 30)
			step := *damageStepBytes
			if name == tableFileName {
				step *= 100
			}
			for n := 0; n < len(b); n += step {
				if name == versionFileName && n == 0 {
					continue // TestOtherVersion
				}
				most := 0
				if strings.HasSuffix(name, ".dat") {
					most = 1 + (len(b)-n)/frameHeaderSize
				}
				checkSurvives(t, fmt.Sprint("cut at ", n), copyWithFile(t, dir, name, b[:n]), m, gone, most)
			}
		})
	})
}
