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

func (m queueModel) remove(dest int, sequences ...uint64) {
	m[dest] = slices.DeleteFunc(m[dest], func(h StoredMessage) bool { return slices.Contains(sequences, h.Sequence) })
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
	model := queueModel{}
	for dest := range s.Dests() {
		all, err := s.Next(dest, math.MaxInt, math.MaxInt)
		if err != nil {
			t.Fatal(err)
		}
		if len(all) > 0 {
			model[dest] = all
		}
	}
	return model
}

type testFailer interface {
	Fatal(...any)
	Fatalf(string, ...any)
	Helper()
}

// checkEqual checks the answers of all reading methods of a store against the model.
func checkEqual(t testFailer, store *Store, model queueModel) {
	t.Helper()
	total, earliest := 0, int64(math.MaxInt64)
	for dest, queue := range model {
		got, err := store.Next(dest, math.MaxInt, math.MaxInt)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.EqualFunc(got, queue, sameMessage) || store.LenOf(dest) != len(queue) {
			t.Fatalf("destination %d has %s (%d), want %s", dest, describe(got), store.LenOf(dest), describe(queue))
		}
		for i, message := range got {
			if message.Sequence == 0 || i > 0 && message.Sequence <= got[i-1].Sequence {
				t.Fatalf("sequence numbers of destination %d do not increase: %s", dest, describe(got))
			}
			model[dest][i].Sequence = message.Sequence
			earliest = min(earliest, message.Due)
			if found, ok, err := store.Find(dest, message.ID); err != nil || !ok || !sameMessage(found, message) || found.Sequence != message.Sequence {
				t.Fatalf("Find of %s of destination %d returned %v %v %v", message.ID, dest, found, ok, err)
			}
			if d, ok := store.DestOfKey(message.OrderKey); message.OrderKey != "" && (!ok || d != dest) {
				t.Fatalf("key %s of destination %d is bound to %d, %v", message.OrderKey, dest, d, ok)
			}
		}
		total += len(queue)
	}
	if store.Len() != total || len(slices.Collect(store.Dests())) != len(model) {
		t.Fatalf("%d messages of %d destinations, want %d of %d", store.Len(), len(slices.Collect(store.Dests())), total, len(model))
	}
	if due, ok := store.NextDue(); ok != (total > 0) || ok && due != earliest {
		t.Fatalf("next due %d %v, want %d", due, ok, earliest)
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

func (k *killSwitch) fault(op, name string, size int) (int, error) {
	switch {
	case k.killed:
		return 0, errKilled
	case !k.armed:
		return size, nil
	}
	cost := max(1, size)
	if size >= pageSize {
		cost = 64 // writes of whole table pages are not cut at each byte
	}
	if k.budget -= cost; k.budget >= 0 {
		return size, nil
	}
	k.killed = true
	if op != "write" || size <= slotSize && !k.tearSmallWrites {
		return 0, errKilled // a kill does not tear a write within a memory page; heads, marks and slots are aligned
	}
	return size * (cost + k.budget) / cost, errKilled
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
func adoptAfterKill(t testFailer, store *Store, model queueModel, interrupted interruptedCall) {
	t.Helper()
	for _, err := range store.TakeDamageReports() {
		var d *DamageError
		if !errors.As(err, &d) || !d.AtTail || d.InDoubt > 0 || d.Lost > len(interrupted.put) {
			if d == nil || d.Segment != tableFileName {
				t.Fatalf("after a kill: %v (%+v)", err, d)
			}
		}
	}
	stored := storedMessages(t, store)
	for dest := range model {
		stored[dest] = append([]StoredMessage{}, stored[dest]...)
	}
	for dest, queue := range stored {
		want := model[dest]
		for _, message := range interrupted.put {
			if message.Dest == dest {
				want = append(slices.Clone(want), message)
			}
		}
		// The stored messages must be a subsequence of the possible ones; a missing one was being stored or removed.
		i := 0
		for _, message := range want {
			if i < len(queue) && sameMessage(queue[i], message) {
				i++
				continue
			}
			if message.Sequence == 0 && slices.ContainsFunc(interrupted.put, func(x StoredMessage) bool { return x.ID == message.ID }) || dest == interrupted.dest && slices.Contains(interrupted.remove, message.Sequence) {
				continue
			}
			t.Fatalf("after a kill destination %d has %s; %s of %s is missing", dest, describe(queue), message.ID, describe(want))
		}
		if i < len(queue) {
			t.Fatalf("after a kill destination %d has %s, of which %s is unexpected", dest, describe(queue), queue[i].ID)
		}
		if model[dest] = queue; len(queue) == 0 {
			delete(model, dest)
		}
	}
}
