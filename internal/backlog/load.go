package backlog

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"larchrouter/internal/backlog/state"
)

// loadSegment loads a segment from its files. An intact segment costs one pass over its entries. A process killed while
// writing may leave an incomplete write at the end of a queue, so isTail decides how missing data is reported.
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
			index = nil // the entries belong to another data file
		}
		rewrites, ok = slices.Min(files.rewrites), false // a later one may be incomplete
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
	s.reportSalvage(segment, salvageResult{lost: lost}, isTail, "entries at the end have no data")
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

// countEntries reads the entries of a segment and reports whether they agree with the data. Entries at the end without
// frames, which a kill may leave, are allowed and counted as lost.
func countEntries(segment *state.Segment, index []byte, dataBytes int64) (lost int, ok bool) {
	n := uint32((len(index) - state.HeaderSize) / state.EntrySize)
	if segment.Head > n {
		return 0, false
	}
	for i := range n {
		entry, ok := decodeEntry(index[entryOffset(i):])
		if !ok || !validMark(entry.mark) || entry.sequence < segment.Last || entry.sequence == segment.Last && i > 0 {
			return 0, false
		}
		removed := i < segment.Head || entry.removed()
		if lost > 0 || !removed && segment.DataBytes+int64(entry.len) > dataBytes {
			if !removed {
				lost++
			}
			continue
		}
		if int64(entry.offset) != segment.DataBytes {
			return 0, false
		}
		segment.DataBytes, segment.Last = segment.DataBytes+int64(entry.len), entry.sequence
		segment.Entries++
		switch {
		case i < segment.Head:
			segment.BytesBeforeHead += int64(entry.len)
		case removed:
			segment.RemovedBytes += int64(entry.len)
		default:
			segment.Live++
			segment.EarliestDue = min(segment.EarliestDue, entry.due)
		}
	}
	// When a segment is dropped, its data file is deleted first.
	return lost, lost > 0 || segment.DataBytes == dataBytes || segment.Live == 0 && dataBytes < segment.DataBytes
}

// loadDamagedSegment recovers what can be read of a segment and rewrites it.
func (s *Store) loadDamagedSegment(segment *state.Segment, index []byte) error {
	data, err := s.folder.readFile(dataFileName(segment))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	result := s.salvage(segment, index, data)
	s.reportSalvage(segment, result, false, "some entries cannot be read")
	*segment = state.Segment{Dest: segment.Dest, First: segment.First, Last: max(segment.First, result.lastSequence), Rewrites: segment.Rewrites, EarliestDue: noDueTime}
	s.lastSequence = max(s.lastSequence, segment.Last)
	s.state.AddSegment(segment)
	return s.rewriteSegment(segment, result.live, data)
}
