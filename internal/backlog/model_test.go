package backlog

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
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
