package backlog

import (
	"errors"
	"time"

	"larchrouter/internal/backlog/state"
)

// Store is a backlog in a folder.
type Store struct {
	folder            *folder
	state             *state.State
	indexes           *indexReader
	table             *table
	dueLists          map[*state.Segment]dueList
	frameSalt         uint32 // of frames
	folderSalt        []byte // of hashes
	lastSequence      uint64 // highest place given
	committedSequence uint64 // highest place that the state knows of
	rewriteHoldOff    int    // calls of Out until a segment is written anew again, after one could not be
	damageReports     []error
	partialWrites     []*segmentWrite // what calls that failed wrote and could not take back
	dueScans          int             // how often a segment's entries were gone through for a run
	now               func() time.Time
}

// part is what a call of Put adds to one segment.
type segmentWrite struct {
	segment *state.Segment
	create  bool
	entries []indexEntry
	index   []byte
	frames  []byte
}

// Put takes messages on, whole or not at all. They are written when it returns.
func (s *Store) Put(ms ...Message) error {
	for len(s.partialWrites) > 0 {
		if err := s.undoWrite(s.partialWrites[0]); err != nil {
			return err
		}
		s.partialWrites = s.partialWrites[1:]
	}
	return s.withRepair(func() error { return s.put(ms) })
}

func (s *Store) put(ms []Message) error {
	parts, err := s.planWrites(ms)
	if err != nil {
		return err
	}
	var need int64
	for _, p := range parts {
		need += state.Growth(p.segment, p.create, uint32(len(p.entries)), int64(len(p.frames)))
	}
	if err := s.checkSpace(need); err != nil {
		return err
	}
	if err := s.addToTable(parts); err != nil {
		return err
	}
	for i, p := range parts {
		if err := s.writeToSegment(p); err != nil {
			err = errors.Join(err, s.releaseKeys(parts))
			for _, p := range parts[:i+1] {
				if s.undoWrite(p) != nil {
					s.partialWrites = append(s.partialWrites, p) // the next call has to, before anything else
				}
			}
			return err
		}
	}
	for _, p := range parts {
		if p.create {
			s.state.AddSegment(p.segment)
		}
		from := p.segment.Entries
		for _, e := range p.entries {
			s.state.AddMessage(p.segment, e.sequence, e.due, int64(e.length))
			s.messageAdded(p.segment, e.due)
		}
		if !p.create {
			s.indexes.updateCache(p.segment, from, p.index)
		}
	}
	s.committedSequence = s.lastSequence
	return nil
}

// plan shares messages out to segments.
func (s *Store) planWrites(ms []Message) ([]*segmentWrite, error) {
	var parts []*segmentWrite
	of := map[int]*segmentWrite{}
	for i := range ms {
		m := &ms[i]
		if err := m.checkSize(); err != nil {
			return nil, err
		}
		s.lastSequence++
		p := of[m.Dest]
		if p == nil || !s.state.Accepts(p.segment, s.lastSequence, int64(len(p.frames))) {
			seg := (*state.Segment)(nil)
			if p == nil {
				seg = s.state.Tail(m.Dest, s.lastSequence, 0)
			}
			p = &segmentWrite{segment: seg, create: seg == nil}
			if p.create {
				p.segment = &state.Segment{Dest: m.Dest, First: s.lastSequence, Last: s.lastSequence, EarliestDue: noDueTime}
				p.index = appendHeader(nil, p.segment, s.folderSalt)
			}
			of[m.Dest] = p
			parts = append(parts, p)
		}
		e := indexEntry{sequence: s.lastSequence, due: m.Due, idHash: saltedHash(s.folderSalt, 'i', m.Dest, m.ID), offset: uint32(p.segment.DataBytes) + uint32(len(p.frames)),
			length: uint32(m.frameSize()), mark: markLive}
		if m.OrderKey != "" {
			e.keyHash = saltedHash(s.folderSalt, 'k', 0, m.OrderKey)
		}
		p.entries = append(p.entries, e)
		p.index = appendEntry(p.index, &e)
		p.frames = appendFrame(p.frames, m, s.lastSequence, s.frameSalt)
	}
	return parts, nil
}

// roomFor tells whether the files may grow by so much.
func (s *Store) checkSpace(bytes int64) error {
	if room := s.state.FreeBytes(); bytes > room {
		wait := time.Second
		if seg := s.state.Earliest(); seg != nil {
			wait = min(max(wait, time.UnixMilli(seg.EarliestDue).Sub(s.now())), time.Minute)
		}
		return &FullError{bytes, max(0, room), wait}
	}
	return nil
}

// index notes in the table where messages are about to be.
func (s *Store) addToTable(parts []*segmentWrite) error {
	for i, p := range parts {
		for j := range p.entries {
			if err := s.table.addMessage(p.segment.Dest, &p.entries[j]); err != nil {
				p.entries = p.entries[:j]
				return errors.Join(err, s.releaseKeys(parts[:i+1]))
			}
		}
	}
	return nil
}

// unkey has messages that are not taken on count for their keys no more.
func (s *Store) releaseKeys(parts []*segmentWrite) (err error) {
	for _, p := range parts {
		for _, e := range p.entries {
			if e.keyHash != 0 {
				err = errors.Join(err, s.table.adjustKeyCount(e.keyHash, p.segment.Dest, e.sequence, false))
			}
		}
	}
	return err
}

// add writes a part: entries first, so that a frame without one is never a kill's work.
func (s *Store) writeToSegment(p *segmentWrite) error {
	at := int64(0)
	if !p.create {
		at = entryOffset(p.segment.Entries)
	}
	if err := s.folder.write(indexFileName(p.segment), p.index, at, p.create); err != nil {
		return err
	}
	return s.folder.write(dataFileName(p.segment), p.frames, p.segment.DataBytes, p.create)
}

// undo takes a part back that may have been written; data first, for the same reason.
func (s *Store) undoWrite(p *segmentWrite) error {
	if p.create {
		return errors.Join(s.folder.remove(dataFileName(p.segment)), s.folder.remove(indexFileName(p.segment)))
	}
	return errors.Join(s.folder.truncate(dataFileName(p.segment), p.segment.DataBytes), s.folder.truncate(indexFileName(p.segment), entryOffset(p.segment.Entries)))
}

// Close gives the files up.
func (s *Store) Close() error {
	s.folder.openFiles.Purge()
	return nil
}
