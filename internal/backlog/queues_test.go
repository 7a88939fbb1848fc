package backlog

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a store that differs from plain queues after any operations, restarts and kills at any byte.
func TestStoreEqualsQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, k := tempDir(t), &killSwitch{}
		s := mustOpen(t, dir, smallOptions(k))
		defer func() { s.Close() }()
		m := queueModel{}
		next, killed := 0, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var p interruptedCall
			var err error
			if rapid.IntRange(0, 7).Draw(t, "kill") == 0 {
				*k = killSwitch{budget: rapid.IntRange(0, 2000).Draw(t, "bytes"), armed: true}
			}
			p.dest = rapid.IntRange(0, 3).Draw(t, "dest")
			q := m[p.dest]
			switch rapid.SampledFrom([]string{"put", "put", "put", "head", "some", "due", "open"}).Draw(t, "do") {
			case "put":
				var ms []Message
				for range rapid.IntRange(1, 12).Draw(t, "n") {
					next++
					h := Message{ID: fmt.Sprint("m", next), Dest: rapid.SampledFrom([]int{p.dest, p.dest, (p.dest + 1) % 4}).Draw(t, "to"),
						Due: rapid.Int64Range(1, 60).Draw(t, "due"), Data: bytes.Repeat([]byte{byte(next)}, rapid.SampledFrom([]int{0, 10, 100, 300, 6000}).Draw(t, "size"))}
					if rapid.Bool().Draw(t, "ordered") {
						h.OrderKey = fmt.Sprint("k", h.Dest, rapid.IntRange(0, 2).Draw(t, "key"))
					}
					ms, p.put = append(ms, h), append(p.put, StoredMessage{Message: h})
				}
				if err = s.Put(ms...); err == nil {
					for _, h := range p.put {
						m[h.Dest] = append(m[h.Dest], h)
					}
				}
			case "head", "some":
				for i, h := range q {
					if i < 5 && rapid.IntRange(0, 4).Draw(t, "head") > 0 || rapid.IntRange(0, 2).Draw(t, "some") == 0 {
						p.remove = append(p.remove, h.Sequence)
					}
				}
				if err = s.Remove(p.dest, append(p.remove, 1<<50)...); err == nil {
					m.remove(p.dest, p.remove...)
				}
			case "due":
				before, n := rapid.Int64Range(0, 60).Draw(t, "before"), rapid.IntRange(1, 100).Draw(t, "most")
				all, e := s.Due(before, n)
				want := slices.DeleteFunc(m.all(), func(h StoredMessage) bool { return h.Due > before })
				slices.SortStableFunc(want, func(a, b StoredMessage) int { return cmp.Compare(a.Due, b.Due) })
				if e != nil || len(all) != min(n, len(want)) {
					t.Fatalf("due before %d are %s, want %s: %v", before, describe(all), describe(want), e)
				}
				for i, h := range all {
					if h.Due != want[i].Due || !slices.ContainsFunc(m[h.Dest], func(x StoredMessage) bool { return sameMessage(x, h) && x.Sequence == h.Sequence }) {
						t.Fatalf("due before %d are %s, want %s", before, describe(all), describe(want))
					}
					if h.Dest == p.dest {
						p.remove = append(p.remove, h.Sequence)
					}
				}
				if err = s.Remove(p.dest, p.remove...); err == nil {
					m.remove(p.dest, p.remove...)
				}
			case "open":
				s.Close()
				var again *Store
				if again, err = Open(dir, smallOptions(k)); err == nil {
					s = again
				}
			}
			if err != nil || k.killed {
				if !k.killed {
					t.Fatal(err)
				}
				s.Close()
				killed = true
				*k = killSwitch{}
				s = mustOpen(t, dir, smallOptions(k))
				adoptAfterKill(t, s, m, p)
			}
			*k = killSwitch{}
			checkEqual(t, s, m)
			for dest := range 4 {
				for i := range 3 {
					key := fmt.Sprint("k", dest, i)
					there := slices.ContainsFunc(m[dest], func(h StoredMessage) bool { return h.OrderKey == key })
					if _, ok := s.DestOfKey(key); ok != there && !(ok && killed && len(m[dest]) > 0) {
						t.Fatalf("key %s is known: %v; it has messages: %v", key, ok, there)
					}
				}
			}
			if used := diskBytes(t, dir); s.Bytes() != used {
				t.Fatalf("the files have %d bytes, Bytes returns %d", used, s.Bytes())
			}
		}
		if d := s.TakeDamageReports(); len(d) > 0 {
			t.Fatal(d)
		}
	})
}

// Guards against a FullError without a useful delay, and against a refused Put that stores some of its messages.
func TestFullBacklogRefusesAtomically(t *testing.T) {
	o := smallOptions(&killSwitch{})
	o.DiskBytes, o.now = 64<<10, func() time.Time { return time.UnixMilli(1000) }
	s := mustOpen(t, t.TempDir(), o)
	defer s.Close()
	m := queueModel{}
	for i := 0; ; i++ {
		ms := []Message{{ID: fmt.Sprint("a", i), Dest: 1, Due: 6000, Data: make([]byte, 900)}, {ID: fmt.Sprint("b", i), Dest: 2, Due: 9000, Data: make([]byte, 900)}}
		err := s.Put(ms...)
		if err == nil {
			m[1], m[2] = append(m[1], StoredMessage{Message: ms[0]}), append(m[2], StoredMessage{Message: ms[1]})
			continue
		}
		var f *FullError
		if !errors.Is(err, ErrFull) || !errors.As(err, &f) || f.RetryAfter != 5*time.Second || f.Remedy() == "" || s.Bytes() > o.DiskBytes || i < 5 {
			t.Fatalf("after %d with %d bytes: %v %+v", i, s.Bytes(), err, f)
		}
		break
	}
	checkEqual(t, s, m)
	if err := s.Remove(1, m[1][0].Sequence); err != nil {
		t.Fatal(err)
	}
	m.remove(1, m[1][0].Sequence)
	checkEqual(t, s, m)
}
