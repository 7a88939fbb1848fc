package backlog

import (
	"cmp"
	"errors"
	"slices"

	"larchrouter/internal/backlog/state"
)

// run is the first live messages of a segment by their times, so that its entries are looked through once for many of them.
type run []entry

const (
	runLen  = 64
	runMost = 2048 // segments that have one: with 48 bytes a message 6 MiB
)

func byTime(a, b entry) int { return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.place, b.place)) }

// more is the next messages of a segment by time, after one; none before the first.
func (s *Store) more(seg *state.Segment, after *entry) (r run, err error) {
	s.scanned++
	err = s.entries.all(seg, func(_ uint32, x entry) {
		if after != nil && byTime(x, *after) <= 0 || len(r) == runLen && byTime(x, r[runLen-1]) >= 0 {
			return
		}
		i, _ := slices.BinarySearchFunc(r, x, byTime)
		if len(r) == runLen {
			r = r[:runLen-1]
		}
		r = slices.Insert(r, i, x)
	})
	return r, err
}

// runOf is a segment's run; its first is the segment's next.
func (s *Store) runOf(seg *state.Segment) (run, error) {
	if r := s.runs[seg]; len(r) > 0 {
		return r, nil
	}
	r, err := s.more(seg, nil)
	if err != nil {
		return nil, err
	}
	if len(s.runs) >= runMost {
		clear(s.runs)
	}
	s.runs[seg] = r
	return r, nil
}

// joins tells that a message has come to a segment.
func (s *Store) joins(seg *state.Segment, due int64) {
	if r := s.runs[seg]; len(r) > 0 && due < r[len(r)-1].due {
		delete(s.runs, seg)
	}
}

// parts tells which messages have left a segment.
func (s *Store) parts(seg *state.Segment, left []found) {
	r := s.runs[seg]
	if r == nil {
		return
	}
	r = slices.DeleteFunc(r, func(x entry) bool {
		_, gone := slices.BinarySearchFunc(left, x.place, func(f found, place uint64) int { return cmp.Compare(f.place, place) })
		return gone
	})
	if s.runs[seg] = r; len(r) == 0 {
		delete(s.runs, seg)
	}
}

// NextDue is when the first has to have ended.
func (s *Store) NextDue() (due int64, ok bool) {
	err := s.mending(func() error {
		for {
			seg := s.st.Earliest()
			if ok = seg != nil; !ok {
				return nil
			}
			r, err := s.runOf(seg)
			if err != nil {
				return err
			}
			if len(r) == 0 {
				return &brokenSegment{seg}
			}
			if due = r[0].due; due <= seg.Due {
				return nil
			}
			s.st.SetDue(seg, due) // what it was known by had left
		}
	})
	if err != nil {
		s.damaged(err)
		return 0, false
	}
	return due, ok
}

// Due is what has to have ended by then, earliest first: the first n of it. They stay.
func (s *Store) Due(before int64, n int) (all []Held, err error) {
	err = s.mending(func() error {
		all, err = s.due(before, n)
		return err
	})
	return all, err
}

// cursor is how far a call of Due is in a segment.
type cursor struct {
	run
	at int
}

func (s *Store) due(before int64, n int) (all []Held, err error) {
	before = min(before, later-1)
	cursors := map[*state.Segment]*cursor{}
	lost := map[int][]uint64{}
	defer func() {
		for seg, c := range cursors {
			s.st.SetDue(seg, c.run[0].due)
			s.runs[seg] = slices.Clone(c.run[:min(len(c.run), runLen)])
		}
		for dest, places := range lost {
			err = errors.Join(err, s.drop(dest, places))
		}
	}()
	for len(all) < n {
		seg := s.st.Earliest()
		if seg == nil || seg.Due > before {
			return all, nil
		}
		c := cursors[seg]
		if c == nil {
			r, err := s.runOf(seg)
			if err != nil {
				return nil, err
			}
			if len(r) == 0 {
				return nil, &brokenSegment{seg}
			}
			c = &cursor{run: r}
			cursors[seg] = c
		}
		if c.at == len(c.run) {
			r, err := s.more(seg, &c.run[len(c.run)-1])
			if err != nil {
				return nil, err
			}
			c.run = append(c.run, r...)
		}
		if c.at == len(c.run) {
			s.st.SetDue(seg, later)
			continue
		}
		x := c.run[c.at]
		if x.due > seg.Due {
			s.st.SetDue(seg, x.due)
			continue
		}
		c.at++
		h, err := s.message(seg, x)
		if errors.Is(err, errDamaged) {
			s.damaged(&Damage{Segment: dataName(seg), Lost: 1, Why: "a message cannot be read"})
			lost[seg.Dest] = append(lost[seg.Dest], x.place)
			continue
		}
		if err != nil {
			return nil, err
		}
		all = append(all, h)
	}
	return all, nil
}
