package backlog

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"larchrouter/internal/backlog/state"
)

// take takes up a segment from its files. What is in order costs one pass over its entries.
// It may be the tail of its queue, where a process that dies as it writes leaves less than it began.
func (s *Store) loadSegment(segment *state.Segment, files *segmentFiles, isTail bool) error {
	var index []byte
	if files.hasIndex {
		var err error
		if index, err = s.folder.readFile(indexFileName(segment)); err != nil {
			return err
		}
	}
	rewrites, head, headKnown, ok := decodeHeader(index, segment.Dest, segment.First)
	if len(files.rewrites) > 0 && !(ok && slices.Contains(files.rewrites, rewrites)) {
		if ok || len(files.rewrites) > 1 {
			index = nil // what entries say of other data says nothing of this
		}
		rewrites, ok = slices.Min(files.rewrites), false // a later one may be half written
	}
	segment.Rewrites = rewrites
	for _, rewrite := range files.rewrites {
		if rewrite != rewrites {
			if err := s.folder.remove(dataFileName(&state.Segment{Dest: segment.Dest, First: segment.First, Rewrites: rewrite})); err != nil {
				return err
			}
		}
	}
	var size int64
	if f, err := os.Stat(filepath.Join(s.folder.dir, dataFileName(segment))); err == nil {
		size = f.Size()
	}
	segment.Head = head
	lost, consistent := 0, false
	if ok && headKnown {
		lost, consistent = countEntries(segment, index, size)
	}
	if !consistent {
		return s.loadDamagedSegment(segment, index)
	}
	s.lastSequence = max(s.lastSequence, segment.Last)
	s.reportSalvage(segment, salvageResult{lost: lost}, isTail, "entries without data at its end")
	if segment.Live == 0 {
		s.removeFiles(segment)
		return nil
	}
	if lost > 0 || entryOffset(segment.Entries) < int64(len(index)) {
		if err := s.folder.truncate(dataFileName(segment), segment.DataBytes); err != nil {
			return err
		}
		if err := s.folder.truncate(indexFileName(segment), entryOffset(segment.Entries)); err != nil {
			return err
		}
	}
	s.state.AddSegment(segment)
	return nil
}

// count goes through a segment's entries and tells whether they and the data agree, but for what a kill may leave: entries at the end
// without their frames, which it counts as lost.
func countEntries(segment *state.Segment, index []byte, dataBytes int64) (lost int, ok bool) {
	n := uint32((len(index) - state.HeaderSize) / state.EntrySize)
	if segment.Head > n {
		return 0, false
	}
	for i := range n {
		entry, ok := decodeEntry(index[entryOffset(i):])
		if !ok || !validMark(entry.status) || entry.sequence < segment.Last || entry.sequence == segment.Last && i > 0 {
			return 0, false
		}
		removed := i < segment.Head || entry.removed()
		if lost > 0 || !removed && segment.DataBytes+int64(entry.length) > dataBytes {
			if !removed {
				lost++
			}
			continue
		}
		if int64(entry.offset) != segment.DataBytes {
			return 0, false
		}
		segment.DataBytes, segment.Last = segment.DataBytes+int64(entry.length), entry.sequence
		segment.Entries++
		switch {
		case i < segment.Head:
			segment.BytesBeforeHead += int64(entry.length)
		case removed:
			segment.RemovedBytes += int64(entry.length)
		default:
			segment.Live++
			segment.EarliestDue = min(segment.EarliestDue, entry.due)
		}
	}
	// Of one that was being dropped the data goes first.
	return lost, lost > 0 || segment.DataBytes == dataBytes || segment.Live == 0 && dataBytes < segment.DataBytes
}

// takeDamaged takes up what can be read of a segment, and writes that anew.
func (s *Store) loadDamagedSegment(segment *state.Segment, index []byte) error {
	data, err := s.folder.readFile(dataFileName(segment))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	result := s.salvage(segment, index, data)
	s.reportSalvage(segment, result, false, "entries that cannot be read")
	*segment = state.Segment{Dest: segment.Dest, First: segment.First, Last: max(segment.First, result.lastSequence), Rewrites: segment.Rewrites, EarliestDue: noDueTime}
	s.lastSequence = max(s.lastSequence, segment.Last)
	s.state.AddSegment(segment)
	return s.rewriteSegment(segment, result.live, data)
}
