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
func (s *Store) Put(messages ...Message) error {
	for len(s.partialWrites) > 0 {
		if err := s.undoWrite(s.partialWrites[0]); err != nil {
			return err
		}
		s.partialWrites = s.partialWrites[1:]
	}
	return s.withRepair(func() error { return s.put(messages) })
}

func (s *Store) put(messages []Message) error {
	writes, err := s.planWrites(messages)
	if err != nil {
		return err
	}
	var neededBytes int64
	for _, write := range writes {
		neededBytes += state.Growth(write.segment, write.create, uint32(len(write.entries)), int64(len(write.frames)))
	}
	if err := s.checkSpace(neededBytes); err != nil {
		return err
	}
	if err := s.addToTable(writes); err != nil {
		return err
	}
	for i, write := range writes {
		if err := s.writeToSegment(write); err != nil {
			err = errors.Join(err, s.releaseKeys(writes))
			for _, write := range writes[:i+1] {
				if s.undoWrite(write) != nil {
					s.partialWrites = append(s.partialWrites, write) // the next call has to, before anything else
				}
			}
			return err
		}
	}
	for _, write := range writes {
		if write.create {
			s.state.AddSegment(write.segment)
		}
		from := write.segment.Entries
		for _, entry := range write.entries {
			s.state.AddMessage(write.segment, entry.sequence, entry.due, int64(entry.length))
			s.messageAdded(write.segment, entry.due)
		}
		if !write.create {
			s.indexes.updateCache(write.segment, from, write.index)
		}
	}
	s.committedSequence = s.lastSequence
	return nil
}

// plan shares messages out to segments.
func (s *Store) planWrites(messages []Message) ([]*segmentWrite, error) {
	var writes []*segmentWrite
	lastWrite := map[int]*segmentWrite{}
	for i := range messages {
		message := &messages[i]
		if err := message.checkSize(); err != nil {
			return nil, err
		}
		s.lastSequence++
		write := lastWrite[message.Dest]
		if write == nil || !s.state.Accepts(write.segment, s.lastSequence, int64(len(write.frames))) {
			segment := (*state.Segment)(nil)
			if write == nil {
				segment = s.state.Tail(message.Dest, s.lastSequence, 0)
			}
			write = &segmentWrite{segment: segment, create: segment == nil}
			if write.create {
				write.segment = &state.Segment{Dest: message.Dest, First: s.lastSequence, Last: s.lastSequence, EarliestDue: noDueTime}
				write.index = appendHeader(nil, write.segment, s.folderSalt)
			}
			lastWrite[message.Dest] = write
			writes = append(writes, write)
		}
		entry := indexEntry{sequence: s.lastSequence, due: message.Due, idHash: saltedHash(s.folderSalt, 'i', message.Dest, message.ID), offset: uint32(write.segment.DataBytes) + uint32(len(write.frames)),
			length: uint32(message.frameSize()), status: markLive}
		if message.OrderKey != "" {
			entry.keyHash = saltedHash(s.folderSalt, 'k', 0, message.OrderKey)
		}
		write.entries = append(write.entries, entry)
		write.index = appendEntry(write.index, &entry)
		write.frames = appendFrame(write.frames, message, s.lastSequence, s.frameSalt)
	}
	return writes, nil
}

// roomFor tells whether the files may grow by so much.
func (s *Store) checkSpace(bytes int64) error {
	if free := s.state.FreeBytes(); bytes > free {
		retryAfter := time.Second
		if segment := s.state.Earliest(); segment != nil {
			retryAfter = min(max(retryAfter, time.UnixMilli(segment.EarliestDue).Sub(s.now())), time.Minute)
		}
		return &FullError{bytes, max(0, free), retryAfter}
	}
	return nil
}

// index notes in the table where messages are about to be.
func (s *Store) addToTable(writes []*segmentWrite) error {
	for i, write := range writes {
		for j := range write.entries {
			if err := s.table.addMessage(write.segment.Dest, &write.entries[j]); err != nil {
				write.entries = write.entries[:j]
				return errors.Join(err, s.releaseKeys(writes[:i+1]))
			}
		}
	}
	return nil
}

// unkey has messages that are not taken on count for their keys no more.
func (s *Store) releaseKeys(writes []*segmentWrite) (err error) {
	for _, write := range writes {
		for _, entry := range write.entries {
			if entry.keyHash != 0 {
				err = errors.Join(err, s.table.adjustKeyCount(entry.keyHash, write.segment.Dest, entry.sequence, false))
			}
		}
	}
	return err
}

// add writes a part: entries first, so that a frame without one is never a kill's work.
func (s *Store) writeToSegment(write *segmentWrite) error {
	offset := int64(0)
	if !write.create {
		offset = entryOffset(write.segment.Entries)
	}
	if err := s.folder.write(indexFileName(write.segment), write.index, offset, write.create); err != nil {
		return err
	}
	return s.folder.write(dataFileName(write.segment), write.frames, write.segment.DataBytes, write.create)
}

// undo takes a part back that may have been written; data first, for the same reason.
func (s *Store) undoWrite(write *segmentWrite) error {
	if write.create {
		return errors.Join(s.folder.remove(dataFileName(write.segment)), s.folder.remove(indexFileName(write.segment)))
	}
	return errors.Join(s.folder.truncate(dataFileName(write.segment), write.segment.DataBytes), s.folder.truncate(indexFileName(write.segment), entryOffset(write.segment.Entries)))
}

// Close gives the files up.
func (s *Store) Close() error {
	s.folder.openFiles.Purge()
	return nil
}
