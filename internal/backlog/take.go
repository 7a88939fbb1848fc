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
func (s *Store) loadSegment(seg *state.Segment, has *segmentFiles, tail bool) error {
	var index []byte
	if has.hasIndex {
		var err error
		if index, err = s.folder.readFile(indexFileName(seg)); err != nil {
			return err
		}
	}
	gen, head, headKnown, ok := decodeHeader(index, seg.Dest, seg.First)
	if len(has.rewrites) > 0 && !(ok && slices.Contains(has.rewrites, gen)) {
		if ok || len(has.rewrites) > 1 {
			index = nil // what entries say of other data says nothing of this
		}
		gen, ok = slices.Min(has.rewrites), false // a later one may be half written
	}
	seg.Rewrites = gen
	for _, g := range has.rewrites {
		if g != gen {
			if err := s.folder.remove(dataFileName(&state.Segment{Dest: seg.Dest, First: seg.First, Rewrites: g})); err != nil {
				return err
			}
		}
	}
	var size int64
	if f, err := os.Stat(filepath.Join(s.folder.dir, dataFileName(seg))); err == nil {
		size = f.Size()
	}
	seg.Head = head
	lost, whole := 0, false
	if ok && headKnown {
		lost, whole = countEntries(seg, index, size)
	}
	if !whole {
		return s.loadDamagedSegment(seg, index)
	}
	s.lastSequence = max(s.lastSequence, seg.Last)
	s.reportSalvage(seg, salvageResult{lost: lost}, tail, "entries without data at its end")
	if seg.Live == 0 {
		s.removeFiles(seg)
		return nil
	}
	if lost > 0 || entryOffset(seg.Entries) < int64(len(index)) {
		if err := s.folder.truncate(dataFileName(seg), seg.DataBytes); err != nil {
			return err
		}
		if err := s.folder.truncate(indexFileName(seg), entryOffset(seg.Entries)); err != nil {
			return err
		}
	}
	s.state.AddSegment(seg)
	return nil
}

// count goes through a segment's entries and tells whether they and the data agree, but for what a kill may leave: entries at the end
// without their frames, which it counts as lost.
func countEntries(seg *state.Segment, index []byte, size int64) (lost int, ok bool) {
	n := uint32((len(index) - state.HeaderSize) / state.EntrySize)
	if seg.Head > n {
		return 0, false
	}
	for i := range n {
		x, ok := decodeEntry(index[entryOffset(i):])
		if !ok || !validMark(x.mark) || x.sequence < seg.Last || x.sequence == seg.Last && i > 0 {
			return 0, false
		}
		gone := i < seg.Head || x.removed()
		if lost > 0 || !gone && seg.DataBytes+int64(x.length) > size {
			if !gone {
				lost++
			}
			continue
		}
		if int64(x.offset) != seg.DataBytes {
			return 0, false
		}
		seg.DataBytes, seg.Last = seg.DataBytes+int64(x.length), x.sequence
		seg.Entries++
		switch {
		case i < seg.Head:
			seg.BytesBeforeHead += int64(x.length)
		case gone:
			seg.RemovedBytes += int64(x.length)
		default:
			seg.Live++
			seg.EarliestDue = min(seg.EarliestDue, x.due)
		}
	}
	// Of one that was being dropped the data goes first.
	return lost, lost > 0 || seg.DataBytes == size || seg.Live == 0 && size < seg.DataBytes
}

// takeDamaged takes up what can be read of a segment, and writes that anew.
func (s *Store) loadDamagedSegment(seg *state.Segment, index []byte) error {
	data, err := s.folder.readFile(dataFileName(seg))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	got := s.salvage(seg, index, data)
	s.reportSalvage(seg, got, false, "entries that cannot be read")
	*seg = state.Segment{Dest: seg.Dest, First: seg.First, Last: max(seg.First, got.lastSequence), Rewrites: seg.Rewrites, EarliestDue: noDueTime}
	s.lastSequence = max(s.lastSequence, seg.Last)
	s.state.AddSegment(seg)
	return s.rewriteSegment(seg, got.live, data)
}
