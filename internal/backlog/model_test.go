package backlog

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// queueModel is a backlog without files: the queue of each destination.
type queueModel map[int][]StoredMessage

func (m queueModel) remove(dest int, places ...uint64) {
	m[dest] = slices.DeleteFunc(m[dest], func(h StoredMessage) bool { return slices.Contains(places, h.Sequence) })
	if len(m[dest]) == 0 {
		delete(m, dest)
	}
}

func (m queueModel) all() (all []StoredMessage) {
	for _, q := range m {
		all = append(all, q...)
	}
	slices.SortFunc(all, func(a, b StoredMessage) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return all
}

func sameMessage(a, b StoredMessage) bool {
	return a.ID == b.ID && a.Dest == b.Dest && a.Due == b.Due && a.OrderKey == b.OrderKey && bytes.Equal(a.Data, b.Data) && a.InDoubt == b.InDoubt
}

// storedMessages returns all messages of a store, as read by Next.
func storedMessages(t testFailer, s *Store) queueModel {
	m := queueModel{}
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

type testFailer interface {
	Fatal(...any)
	Fatalf(string, ...any)
	Helper()
}

// checkEqual checks the answers of all reading methods of a store against the model.
func checkEqual(t testFailer, s *Store, m queueModel) {
	t.Helper()
	n, least := 0, int64(math.MaxInt64)
	for dest, q := range m {
		got, err := s.Next(dest, math.MaxInt, math.MaxInt)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.EqualFunc(got, q, sameMessage) || s.LenOf(dest) != len(q) {
			t.Fatalf("destination %d has %s (%d), want %s", dest, describe(got), s.LenOf(dest), describe(q))
		}
		for i, h := range got {
			if h.Sequence == 0 || i > 0 && h.Sequence <= got[i-1].Sequence {
				t.Fatalf("sequence numbers of destination %d do not increase: %s", dest, describe(got))
			}
			m[dest][i].Sequence = h.Sequence
			least = min(least, h.Due)
			if f, ok, err := s.Find(dest, h.ID); err != nil || !ok || !sameMessage(f, h) || f.Sequence != h.Sequence {
				t.Fatalf("Find of %s of destination %d returned %v %v %v", h.ID, dest, f, ok, err)
			}
			if d, ok := s.DestOfKey(h.OrderKey); h.OrderKey != "" && (!ok || d != dest) {
				t.Fatalf("key %s of destination %d is bound to %d, %v", h.OrderKey, dest, d, ok)
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

func describe(all []StoredMessage) (s string) {
	for _, h := range all {
		s += fmt.Sprintf(" %s@%d", h.ID, h.Sequence)
		if h.InDoubt {
			s += "?"
		}
	}
	return s
}

var errKilled = errors.New("killed")

// killSwitch simulates a kill: once armed it lets a number of bytes and changes through, and then fails all others.
type killSwitch struct {
	budget          int
	armed           bool
	killed          bool
	tearSmallWrites bool // also tears writes of heads, marks and slots, as a disk may
}

func (k *killSwitch) fault(op, name string, n int) (int, error) {
	switch {
	case k.killed:
		return 0, errKilled
	case !k.armed:
		return n, nil
	}
	cost := max(1, n)
	if n >= pageSize {
		cost = 64 // writes of whole table pages are not cut at each byte
	}
	if k.budget -= cost; k.budget >= 0 {
		return n, nil
	}
	k.killed = true
	if op != "write" || n <= slotSize && !k.tearSmallWrites {
		return 0, errKilled // a kill does not tear a write within a memory page; heads, marks and slots are aligned
	}
	return n * (cost + k.budget) / cost, errKilled
}

func smallOptions(k *killSwitch) Options {
	return Options{DiskBytes: 4 << 20, MinSegmentBytes: 1 << 10, MaxSegmentBytes: 4 << 10, MaxOpenFiles: 4, injectFault: k.fault}
}

func mustOpen(t testFailer, dir string, o Options) *Store {
	t.Helper()
	s, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// interruptedCall is what a killed call may have done or not.
type interruptedCall struct {
	put    []StoredMessage
	dest   int
	remove []uint64
}

// adoptAfterKill checks that a store has a state that the killed call may leave, and sets the model to it.
func adoptAfterKill(t testFailer, s *Store, m queueModel, p interruptedCall) {
	t.Helper()
	for _, err := range s.TakeDamageReports() {
		var d *DamageError
		if !errors.As(err, &d) || !d.AtTail || d.InDoubt > 0 || d.Lost > len(p.put) {
			if d == nil || d.Segment != tableFileName {
				t.Fatalf("after a kill: %v (%+v)", err, d)
			}
		}
	}
	got := storedMessages(t, s)
	for dest := range m {
		got[dest] = append([]StoredMessage{}, got[dest]...)
	}
	for dest, q := range got {
		want := m[dest]
		for _, h := range p.put {
			if h.Dest == dest {
				want = append(slices.Clone(want), h)
			}
		}
		// The stored messages must be a subsequence of the possible ones; a missing one was being stored or removed.
		i := 0
		for _, h := range want {
			if i < len(q) && sameMessage(q[i], h) {
				i++
				continue
			}
			if h.Sequence == 0 && slices.ContainsFunc(p.put, func(x StoredMessage) bool { return x.ID == h.ID }) || dest == p.dest && slices.Contains(p.remove, h.Sequence) {
				continue
			}
			t.Fatalf("after a kill destination %d has %s; %s of %s is missing", dest, describe(q), h.ID, describe(want))
		}
		if i < len(q) {
			t.Fatalf("after a kill destination %d has %s, of which %s is unexpected", dest, describe(q), q[i].ID)
		}
		if m[dest] = q; len(q) == 0 {
			delete(m, dest)
		}
	}
}
