package backlog

import (
	"errors"
	"time"

	"larchrouter/internal/backlog/state"
)

// Store is a backlog in a folder.
type Store struct {
	d       *folder
	st      *state.State
	entries *entries
	table   *table
	runs    map[*state.Segment]run
	salt    uint32 // of frames
	saltAll []byte // of hashes
	last    uint64 // highest place given
	told    uint64 // highest place that the state knows of
	hold    int    // calls of Out until a segment is written anew again, after one could not be
	damage  []error
	half    []*part // what calls that failed wrote and could not take back
	scanned int     // how often a segment's entries were gone through for a run
	now     func() time.Time
}

// part is what a call of Put adds to one segment.
type part struct {
	seg     *state.Segment
	fresh   bool
	entries []entry
	index   []byte
	data    []byte
}

// Put takes messages on, whole or not at all. They are written when it returns.
func (s *Store) Put(ms ...Message) error {
	for len(s.half) > 0 {
		if err := s.undo(s.half[0]); err != nil {
			return err
		}
		s.half = s.half[1:]
	}
	return s.mending(func() error { return s.put(ms) })
}

func (s *Store) put(ms []Message) error {
	parts, err := s.plan(ms)
	if err != nil {
		return err
	}
	var need int64
	for _, p := range parts {
		need += state.Growth(p.seg, p.fresh, uint32(len(p.entries)), int64(len(p.data)))
	}
	if err := s.roomFor(need); err != nil {
		return err
	}
	if err := s.index(parts); err != nil {
		return err
	}
	for i, p := range parts {
		if err := s.add(p); err != nil {
			err = errors.Join(err, s.unkey(parts))
			for _, p := range parts[:i+1] {
				if s.undo(p) != nil {
					s.half = append(s.half, p) // the next call has to, before anything else
				}
			}
			return err
		}
	}
	for _, p := range parts {
		if p.fresh {
			s.st.Begin(p.seg)
		}
		from := p.seg.Entries
		for _, e := range p.entries {
			s.st.Grow(p.seg, e.place, e.due, int64(e.len))
			s.joins(p.seg, e.due)
		}
		if !p.fresh {
			s.entries.added(p.seg, from, p.index)
		}
	}
	s.told = s.last
	return nil
}

// plan shares messages out to segments.
func (s *Store) plan(ms []Message) ([]*part, error) {
	var parts []*part
	of := map[int]*part{}
	for i := range ms {
		m := &ms[i]
		if err := m.check(); err != nil {
			return nil, err
		}
		s.last++
		p := of[m.Dest]
		if p == nil || !s.st.Takes(p.seg, s.last, int64(len(p.data))) {
			seg := (*state.Segment)(nil)
			if p == nil {
				seg = s.st.Tail(m.Dest, s.last, 0)
			}
			p = &part{seg: seg, fresh: seg == nil}
			if p.fresh {
				p.seg = &state.Segment{Dest: m.Dest, First: s.last, Last: s.last, Due: later}
				p.index = appendHeader(nil, p.seg, s.saltAll)
			}
			of[m.Dest] = p
			parts = append(parts, p)
		}
		e := entry{place: s.last, due: m.Due, id: hashOf(s.saltAll, 'i', m.Dest, m.ID), off: uint32(p.seg.Data) + uint32(len(p.data)),
			len: uint32(m.frameLen()), mark: markLive}
		if m.Order != "" {
			e.key = hashOf(s.saltAll, 'k', 0, m.Order)
		}
		p.entries = append(p.entries, e)
		p.index = appendEntry(p.index, &e)
		p.data = appendFrame(p.data, m, s.last, s.salt)
	}
	return parts, nil
}

// roomFor tells whether the files may grow by so much.
func (s *Store) roomFor(bytes int64) error {
	if room := s.st.Room(); bytes > room {
		wait := time.Second
		if seg := s.st.Earliest(); seg != nil {
			wait = min(max(wait, time.UnixMilli(seg.Due).Sub(s.now())), time.Minute)
		}
		return &Full{bytes, max(0, room), wait}
	}
	return nil
}

// index notes in the table where messages are about to be.
func (s *Store) index(parts []*part) error {
	for i, p := range parts {
		for j := range p.entries {
			if err := s.table.add(p.seg.Dest, &p.entries[j]); err != nil {
				p.entries = p.entries[:j]
				return errors.Join(err, s.unkey(parts[:i+1]))
			}
		}
	}
	return nil
}

// unkey has messages that are not taken on count for their keys no more.
func (s *Store) unkey(parts []*part) (err error) {
	for _, p := range parts {
		for _, e := range p.entries {
			if e.key != 0 {
				err = errors.Join(err, s.table.count(e.key, p.seg.Dest, e.place, false))
			}
		}
	}
	return err
}

// add writes a part: entries first, so that a frame without one is never a kill's work.
func (s *Store) add(p *part) error {
	at := int64(0)
	if !p.fresh {
		at = entryAt(p.seg.Entries)
	}
	if err := s.d.write(indexName(p.seg), p.index, at, p.fresh); err != nil {
		return err
	}
	return s.d.write(dataName(p.seg), p.data, p.seg.Data, p.fresh)
}

// undo takes a part back that may have been written; data first, for the same reason.
func (s *Store) undo(p *part) error {
	if p.fresh {
		return errors.Join(s.d.remove(dataName(p.seg)), s.d.remove(indexName(p.seg)))
	}
	return errors.Join(s.d.truncate(dataName(p.seg), p.seg.Data), s.d.truncate(indexName(p.seg), entryAt(p.seg.Entries)))
}

// Close gives the files up.
func (s *Store) Close() error {
	s.d.open.Purge()
	return nil
}
