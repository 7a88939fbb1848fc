package backlog

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a backlog without files: the queues.
type model map[int][]Held

func (m model) out(dest int, places ...uint64) {
	m[dest] = slices.DeleteFunc(m[dest], func(h Held) bool { return slices.Contains(places, h.Place) })
	if len(m[dest]) == 0 {
		delete(m, dest)
	}
}

func (m model) all() (all []Held) {
	for _, q := range m {
		all = append(all, q...)
	}
	slices.SortFunc(all, func(a, b Held) int { return cmp.Compare(a.Place, b.Place) })
	return all
}

func alike(a, b Held) bool {
	return a.ID == b.ID && a.Dest == b.Dest && a.Due == b.Due && a.Order == b.Order && bytes.Equal(a.Data, b.Data) && a.Doubt == b.Doubt
}

// has is all that a store has, by Next.
func has(t fataler, s *Store) model {
	m := model{}
	for dest := range s.Dests() {
		all, err := s.Next(dest, math.MaxInt, math.MaxInt)
		if err != nil {
			t.Fatal(err)
		}
		if len(all) > 0 {
			m[dest] = all
		}
	}
	return m
}

type fataler interface {
	Fatal(...any)
	Fatalf(string, ...any)
	Helper()
}

// same checks all that a store says against the model.
func same(t fataler, s *Store, m model) {
	t.Helper()
	n, least := 0, int64(math.MaxInt64)
	for dest, q := range m {
		got, err := s.Next(dest, math.MaxInt, math.MaxInt)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.EqualFunc(got, q, alike) || s.LenOf(dest) != len(q) {
			t.Fatalf("destination %d has %s (%d), want %s", dest, ids(got), s.LenOf(dest), ids(q))
		}
		for i, h := range got {
			if h.Place == 0 || i > 0 && h.Place <= got[i-1].Place {
				t.Fatalf("places of destination %d do not rise: %s", dest, ids(got))
			}
			m[dest][i].Place = h.Place
			least = min(least, h.Due)
			if f, ok, err := s.Find(dest, h.ID); err != nil || !ok || !alike(f, h) || f.Place != h.Place {
				t.Fatalf("%s of destination %d is found as %v %v %v", h.ID, dest, f, ok, err)
			}
			if d, ok := s.Key(h.Order); h.Order != "" && (!ok || d != dest) {
				t.Fatalf("key %s of destination %d is known as of %d, %v", h.Order, dest, d, ok)
			}
		}
		n += len(q)
	}
	if s.Len() != n || len(slices.Collect(s.Dests())) != len(m) {
		t.Fatalf("%d messages of %d destinations, want %d of %d", s.Len(), len(slices.Collect(s.Dests())), n, len(m))
	}
	if due, ok := s.NextDue(); ok != (n > 0) || ok && due != least {
		t.Fatalf("next due %d %v, want %d", due, ok, least)
	}
}

func ids(all []Held) (s string) {
	for _, h := range all {
		s += fmt.Sprintf(" %s@%d", h.ID, h.Place)
		if h.Doubt {
			s += "?"
		}
	}
	return s
}

var errKilled = errors.New("killed")

// killer lets a number of bytes and changes through, and nothing after these.
type killer struct {
	left int
	on   bool
	done bool
	tear bool // heads, marks and slots too, as a disk may
}

func (k *killer) fault(op, name string, n int) (int, error) {
	switch {
	case k.done:
		return 0, errKilled
	case !k.on:
		return n, nil
	}
	cost := max(1, n)
	if n >= pageSize {
		cost = 64 // of the table: not cut at each byte
	}
	if k.left -= cost; k.left >= 0 {
		return n, nil
	}
	k.done = true
	if op != "write" || n <= slotSize && !k.tear {
		return 0, errKilled // a write within a page is not cut by a kill; heads, marks and slots are aligned
	}
	return n * (cost + k.left) / cost, errKilled
}

func small(k *killer) Options {
	return Options{Disk: 4 << 20, SegmentLeast: 1 << 10, SegmentMost: 4 << 10, Files: 4, fault: k.fault}
}

func mustOpen(t fataler, dir string, o Options) *Store {
	t.Helper()
	s, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// pending is what a killed call may or may not have done.
type pending struct {
	put  []Held
	dest int
	out  []uint64
}

// settle takes over what a store has after a kill, if it is what may be.
func settle(t fataler, s *Store, m model, p pending) {
	t.Helper()
	for _, err := range s.Damage() {
		var d *Damage
		if !errors.As(err, &d) || !d.Tail || d.Doubt > 0 || d.Lost > len(p.put) {
			if d == nil || d.Segment != tableName {
				t.Fatalf("after a kill: %v (%+v)", err, d)
			}
		}
	}
	got := has(t, s)
	for dest := range m {
		got[dest] = append([]Held{}, got[dest]...)
	}
	for dest, q := range got {
		want := m[dest]
		for _, h := range p.put {
			if h.Dest == dest {
				want = append(slices.Clone(want), h)
			}
		}
		// What is there is a part of what may be; what is missing was on its way in or out.
		i := 0
		for _, h := range want {
			if i < len(q) && alike(q[i], h) {
				i++
				continue
			}
			if h.Place == 0 && slices.ContainsFunc(p.put, func(x Held) bool { return x.ID == h.ID }) || dest == p.dest && slices.Contains(p.out, h.Place) {
				continue
			}
			t.Fatalf("after a kill destination %d has %s; %s is missing of %s", dest, ids(q), h.ID, ids(want))
		}
		if i < len(q) {
			t.Fatalf("after a kill destination %d has %s, of which %s was not to be", dest, ids(q), q[i].ID)
		}
		if m[dest] = q; len(q) == 0 {
			delete(m, dest)
		}
	}
}

// Guards against a store that differs from plain queues, over any operations, restarts and kills at any byte.
func TestStoreEqualsQueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, k := tempDir(t), &killer{}
		s := mustOpen(t, dir, small(k))
		defer func() { s.Close() }()
		m := model{}
		next := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var p pending
			var err error
			if rapid.IntRange(0, 7).Draw(t, "kill") == 0 {
				*k = killer{left: rapid.IntRange(0, 2000).Draw(t, "bytes"), on: true}
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
						h.Order = fmt.Sprint("k", h.Dest, rapid.IntRange(0, 2).Draw(t, "key"))
					}
					ms, p.put = append(ms, h), append(p.put, Held{Message: h})
				}
				if err = s.Put(ms...); err == nil {
					for _, h := range p.put {
						m[h.Dest] = append(m[h.Dest], h)
					}
				}
			case "head", "some":
				for i, h := range q {
					if i < 5 && rapid.IntRange(0, 4).Draw(t, "head") > 0 || rapid.IntRange(0, 2).Draw(t, "some") == 0 {
						p.out = append(p.out, h.Place)
					}
				}
				if err = s.Out(p.dest, append(p.out, 1<<50)...); err == nil {
					m.out(p.dest, p.out...)
				}
			case "due":
				before, n := rapid.Int64Range(0, 60).Draw(t, "before"), rapid.IntRange(1, 100).Draw(t, "most")
				all, e := s.Due(before, n)
				want := slices.DeleteFunc(m.all(), func(h Held) bool { return h.Due > before })
				slices.SortStableFunc(want, func(a, b Held) int { return cmp.Compare(a.Due, b.Due) })
				if e != nil || len(all) != min(n, len(want)) {
					t.Fatalf("due before %d are %s, want %s: %v", before, ids(all), ids(want), e)
				}
				for i, h := range all {
					if h.Due != want[i].Due || !slices.ContainsFunc(m[h.Dest], func(x Held) bool { return alike(x, h) && x.Place == h.Place }) {
						t.Fatalf("due before %d are %s, want %s", before, ids(all), ids(want))
					}
					if h.Dest == p.dest {
						p.out = append(p.out, h.Place)
					}
				}
				if err = s.Out(p.dest, p.out...); err == nil {
					m.out(p.dest, p.out...)
				}
			case "open":
				s.Close()
				var again *Store
				if again, err = Open(dir, small(k)); err == nil {
					s = again
				}
			}
			if err != nil || k.done {
				if !k.done {
					t.Fatal(err)
				}
				s.Close()
				*k = killer{}
				s = mustOpen(t, dir, small(k))
				settle(t, s, m, p)
			}
			*k = killer{}
			same(t, s, m)
			if used := onDisk(t, dir); s.Bytes() != used {
				t.Fatalf("the files have %d bytes, it says %d", used, s.Bytes())
			}
		}
		if d := s.Damage(); len(d) > 0 {
			t.Fatal(d)
		}
	})
}

// Guards against a wait that is none, and a refusal that keeps something.
func TestFullRefusesWhole(t *testing.T) {
	o := small(&killer{})
	o.Disk, o.now = 64<<10, func() time.Time { return time.UnixMilli(1000) }
	s := mustOpen(t, t.TempDir(), o)
	defer s.Close()
	m := model{}
	for i := 0; ; i++ {
		ms := []Message{{ID: fmt.Sprint("a", i), Dest: 1, Due: 6000, Data: make([]byte, 900)}, {ID: fmt.Sprint("b", i), Dest: 2, Due: 9000, Data: make([]byte, 900)}}
		err := s.Put(ms...)
		if err == nil {
			m[1], m[2] = append(m[1], Held{Message: ms[0]}), append(m[2], Held{Message: ms[1]})
			continue
		}
		var f *Full
		if !errors.Is(err, ErrFull) || !errors.As(err, &f) || f.Wait != 5*time.Second || f.Remedy() == "" || s.Bytes() > o.Disk || i < 5 {
			t.Fatalf("after %d with %d bytes: %v %+v", i, s.Bytes(), err, f)
		}
		break
	}
	same(t, s, m)
	if err := s.Out(1, m[1][0].Place); err != nil {
		t.Fatal(err)
	}
	m.out(1, m[1][0].Place)
	same(t, s, m)
}
