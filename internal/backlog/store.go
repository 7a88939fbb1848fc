package backlog

import (
	"errors"
	"time"

	"larchrouter/internal/backlog/state"
)

// Store is the backlog in one folder.
type Store struct {
	folder            *folder
	state             *state.State
	indexes           *indexReader
	table             *table
	dueLists          map[*state.Segment]dueList
	frameSalt         uint32 // start value of the CRC of frames: the first four bytes of folderSalt
	folderSalt        []byte // salt of the hashes of ids and ordering keys
	lastSequence      uint64 // highest sequence number assigned
	committedSequence uint64 // highest sequence number that is recorded in state
	rewriteHoldOff    int    // calls of Remove until the next rewrite is tried, after one failed
	damageReports     []error
	partialWrites     []*segmentWrite // writes of failed calls of Put that could not be undone yet
	dueScans          int             // number of scans of a segment's index for a due list
	now               func() time.Time
}

// segmentWrite is what one call of Put adds to one segment.
type segmentWrite struct {
	segment *state.Segment
	create  bool
	entries []indexEntry
	index   []byte
	frames  []byte
}

// Put stores messages, all of them or none. They are written when it returns. Its errors are FullError, TooLargeError and
// FileError.
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
					s.partialWrites = append(s.partialWrites, write) // the next call of Put undoes it first
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
			s.state.AddMessage(write.segment, entry.sequence, entry.due, int64(entry.len))
			s.messageAdded(write.segment, entry.due)
		}
		if !write.create {
			s.indexes.updateCache(write.segment, from, write.index)
		}
	}
	s.committedSequence = s.lastSequence
	return nil
}

// planWrites assigns sequence numbers to messages and distributes them to segments.
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
			len: uint32(message.frameSize()), mark: markLive}
		if message.OrderKey != "" {
			entry.keyHash = saltedHash(s.folderSalt, 'k', 0, message.OrderKey)
		}
		write.entries = append(write.entries, entry)
		write.index = appendEntry(write.index, &entry)
		write.frames = appendFrame(write.frames, message, s.lastSequence, s.frameSalt)
	}
	return writes, nil
}

// checkSpace returns a FullError if the files may not grow by that many bytes.
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

// addToTable adds the messages that are about to be written to the table.
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

// releaseKeys subtracts messages that were not stored from the counts of their ordering keys.
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

// writeToSegment writes the index entries before the frames, so that a kill never leaves a frame without an entry.
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

// undoWrite undoes a write that may have been done in part. The data goes first, for the same reason as in writeToSegment.
func (s *Store) undoWrite(write *segmentWrite) error {
	if write.create {
		return errors.Join(s.folder.remove(dataFileName(write.segment)), s.folder.remove(indexFileName(write.segment)))
	}
	return errors.Join(s.folder.truncate(dataFileName(write.segment), write.segment.DataBytes), s.folder.truncate(indexFileName(write.segment), entryOffset(write.segment.Entries)))
}

// Close closes the open files.
func (s *Store) Close() error {
	s.folder.openFiles.Purge()
	return nil
}
