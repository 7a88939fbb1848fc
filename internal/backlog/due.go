package backlog

import (
	"cmp"
	"errors"
	"slices"

	"larchrouter/internal/backlog/state"
)

// run is the first live messages of a segment by their times, so that its entries are looked through once for many of them.
type dueList []indexEntry

const (
	dueListLength = 64
	maxDueLists   = 2048 // segments that have one: with 48 bytes a message 6 MiB
)

func compareDue(a, b indexEntry) int {
	return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.sequence, b.sequence))
}

// more is the next messages of a segment by time, after one; none before the first.
func (s *Store) entriesDueAfter(seg *state.Segment, after *indexEntry) (r dueList, err error) {
	s.dueScans++
	err = s.indexes.liveEntries(seg, func(_ uint32, x indexEntry) {
		if after != nil && compareDue(x, *after) <= 0 || len(r) == dueListLength && compareDue(x, r[dueListLength-1]) >= 0 {
			return
		}
		i, _ := slices.BinarySearchFunc(r, x, compareDue)
		if len(r) == dueListLength {
			r = r[:dueListLength-1]
		}
		r = slices.Insert(r, i, x)
	})
	return r, err
}

// runOf is a segment's run; its first is the segment's next.
func (s *Store) dueListOf(seg *state.Segment) (dueList, error) {
	if r := s.dueLists[seg]; len(r) > 0 {
		return r, nil
	}
	r, err := s.entriesDueAfter(seg, nil)
	if err != nil {
		return nil, err
	}
	if len(s.dueLists) >= maxDueLists {
		clear(s.dueLists)
	}
	s.dueLists[seg] = r
	return r, nil
}

// joins tells that a message has come to a segment.
func (s *Store) messageAdded(seg *state.Segment, due int64) {
	if r := s.dueLists[seg]; len(r) > 0 && due < r[len(r)-1].due {
		delete(s.dueLists, seg)
	}
}

// parts tells which messages have left a segment.
func (s *Store) messagesRemoved(seg *state.Segment, left []indexedEntry) {
	r := s.dueLists[seg]
	if r == nil {
		return
	}
	r = slices.DeleteFunc(r, func(x indexEntry) bool {
		_, gone := slices.BinarySearchFunc(left, x.sequence, func(f indexedEntry, place uint64) int { return cmp.Compare(f.sequence, place) })
		return gone
	})
	if s.dueLists[seg] = r; len(r) == 0 {
		delete(s.dueLists, seg)
	}
}

// NextDue is when the first has to have ended.
func (s *Store) NextDue() (due int64, ok bool) {
	err := s.withRepair(func() error {
		for {
			seg := s.state.Earliest()
			if ok = seg != nil; !ok {
				return nil
			}
			r, err := s.dueListOf(seg)
			if err != nil {
				return err
			}
			if len(r) == 0 {
				return &damagedSegmentError{seg}
			}
			if due = r[0].due; due <= seg.EarliestDue {
				return nil
			}
			s.state.SetEarliestDue(seg, due) // what it was known by had left
		}
	})
	if err != nil {
		s.reportDamage(err)
		return 0, false
	}
	return due, ok
}

// Due is what has to have ended by then, earliest first: the first n of it. They stay.
func (s *Store) Due(before int64, n int) (all []StoredMessage, err error) {
	err = s.withRepair(func() error {
		all, err = s.dueMessages(before, n)
		return err
	})
	return all, err
}

// cursor is how far a call of Due is in a segment.
type dueCursor struct {
	dueList
	next int
}

func (s *Store) dueMessages(before int64, n int) (all []StoredMessage, err error) {
	before = min(before, noDueTime-1)
	cursors := map[*state.Segment]*dueCursor{}
	lost := map[int][]uint64{}
	defer func() {
		for seg, c := range cursors {
			s.state.SetEarliestDue(seg, c.dueList[0].due)
			s.dueLists[seg] = slices.Clone(c.dueList[:min(len(c.dueList), dueListLength)])
		}
		for dest, places := range lost {
			err = errors.Join(err, s.removeUnreadable(dest, places))
		}
	}()
	for len(all) < n {
		seg := s.state.Earliest()
		if seg == nil || seg.EarliestDue > before {
			return all, nil
		}
		c := cursors[seg]
		if c == nil {
			r, err := s.dueListOf(seg)
			if err != nil {
				return nil, err
			}
			if len(r) == 0 {
				return nil, &damagedSegmentError{seg}
			}
			c = &dueCursor{dueList: r}
			cursors[seg] = c
		}
		if c.next == len(c.dueList) {
			r, err := s.entriesDueAfter(seg, &c.dueList[len(c.dueList)-1])
			if err != nil {
				return nil, err
			}
			c.dueList = append(c.dueList, r...)
		}
		if c.next == len(c.dueList) {
			s.state.SetEarliestDue(seg, noDueTime)
			continue
		}
		x := c.dueList[c.next]
		if x.due > seg.EarliestDue {
			s.state.SetEarliestDue(seg, x.due)
			continue
		}
		c.next++
		h, err := s.readMessage(seg, x)
		if errors.Is(err, errDamagedFrame) {
			s.reportDamage(&DamageError{Segment: dataFileName(seg), Lost: 1, Reason: "a message cannot be read"})
			lost[seg.Dest] = append(lost[seg.Dest], x.sequence)
			continue
		}
		if err != nil {
			return nil, err
		}
		all = append(all, h)
	}
	return all, nil
}
