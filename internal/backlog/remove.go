package backlog

import (
	"slices"

	"larchrouter/internal/backlog/state"
)

// rewriteHoldOffCalls is the number of calls of Remove after a failed rewrite of a segment before the next rewrite is tried.
const rewriteHoldOffCalls = 1000

// Remove removes messages by their sequence numbers; unknown numbers are ignored. The change is written when it returns.
func (s *Store) Remove(dest int, sequences ...uint64) error {
	return s.withRepair(func() error { return s.remove(dest, sequences) })
}

func (s *Store) remove(dest int, sequences []uint64) error {
	s.rewriteHoldOff = max(0, s.rewriteHoldOff-1)
	sequences = slices.Sorted(slices.Values(sequences))
	for len(sequences) > 0 {
		segment := s.state.SegmentOf(dest, sequences[0])
		if segment == nil {
			sequences = sequences[1:]
			continue
		}
		n, _ := slices.BinarySearch(sequences, segment.Last+1)
		if err := s.removeFromSegment(segment, sequences[:n]); err != nil {
			return err
		}
		sequences = sequences[n:]
	}
	if s.state.Len() == 0 && s.table.pageCount > 1 {
		return s.table.create()
	}
	return nil
}

type indexedEntry struct {
	index uint32
	indexEntry
}

// removeFromSegment removes messages of one segment: it advances the head past a prefix and marks the others as removed.
func (s *Store) removeFromSegment(segment *state.Segment, sequences []uint64) error {
	var removed []indexedEntry
	for _, sequence := range slices.Compact(sequences) {
		i, entry, found, err := s.indexes.find(segment, sequence)
		if err != nil {
			return err
		}
		if found && i >= segment.Head && !entry.removed() {
			removed = append(removed, indexedEntry{i, entry})
		}
	}
	if len(removed) == 0 {
		return nil
	}
	head, bytesBeforeHead, removedBytes, done := segment.Head, segment.BytesBeforeHead, segment.RemovedBytes, 0
	for head < segment.Entries {
		entry, err := s.indexes.entry(segment, head)
		if err != nil {
			return err
		}
		switch {
		case done < len(removed) && removed[done].index == head:
			done++
		case entry.removed():
			removedBytes -= int64(entry.len)
		default:
			goto behind
		}
		bytesBeforeHead += int64(entry.len)
		head++
	}
behind:
	if head != segment.Head {
		if err := s.folder.write(indexFileName(segment), encodeHead(head), headOffset, false); err != nil {
			return err
		}
	}
	var err error
	for done < len(removed) && err == nil {
		if err = s.indexes.markRemoved(segment, removed[done].index); err == nil {
			removedBytes += int64(removed[done].len)
			done++
		}
	}
	removed = removed[:done]
	action := s.state.RemoveMessages(segment, done, head, bytesBeforeHead, removedBytes)
	s.messagesRemoved(segment, removed)
	for _, entry := range removed {
		if entry.keyHash != 0 && err == nil {
			err = s.table.adjustKeyCount(entry.keyHash, segment.Dest, entry.sequence, false)
		}
	}
	switch {
	case action == state.Drop:
		s.dropSegment(segment)
	case action == state.Rewrite && s.rewriteHoldOff == 0 && s.checkSpace(segment.DataBytes-segment.BytesBeforeHead) == nil:
		if s.compactSegment(segment) != nil {
			s.rewriteHoldOff = rewriteHoldOffCalls // the old files stay valid
		}
	}
	return err
}

// dropSegment deletes the files of a segment. A file that cannot be deleted now is deleted at the next start, as the head
// tells that all messages were removed.
func (s *Store) dropSegment(segment *state.Segment) {
	s.dropCaches(segment)
	s.state.RemoveSegment(segment)
	s.removeFiles(segment)
}

func (s *Store) removeFiles(segment *state.Segment) {
	for _, name := range []string{dataFileName(segment), indexFileName(segment)} {
		if err := s.folder.remove(name); err != nil {
			s.reportDamage(err)
		}
	}
}

// dropCaches drops what is cached in memory of a segment's entries.
func (s *Store) dropCaches(segment *state.Segment) {
	s.indexes.dropCache(segment)
	delete(s.dueLists, segment)
}

// compactSegment rewrites a segment with its live messages.
func (s *Store) compactSegment(segment *state.Segment) error {
	var live []indexEntry
	if err := s.indexes.liveEntries(segment, func(_ uint32, entry indexEntry) { live = append(live, entry) }); err != nil {
		return err
	}
	data := make([]byte, segment.DataBytes)
	n, err := s.folder.read(dataFileName(segment), data, 0)
	if err != nil {
		return err
	}
	return s.rewriteSegment(segment, live, data[:n])
}

// rewriteSegment rewrites a segment with the given entries, whose frames are in data, and updates the state. The new data
// file is written beside the old one and is in effect once the new index file refers to it. Without entries the segment is
// dropped.
func (s *Store) rewriteSegment(segment *state.Segment, live []indexEntry, data []byte) error {
	if len(live) == 0 {
		s.dropSegment(segment)
		return nil
	}
	next := *segment
	next.Rewrites++
	next.Head = 0
	var frames []byte
	index := appendHeader(nil, &next, s.folderSalt)
	due := int64(noDueTime)
	for _, entry := range live {
		from := entry.offset
		entry.offset = uint32(len(frames))
		frames = append(frames, data[from:from+entry.len]...)
		index = appendEntry(index, &entry)
		due = min(due, entry.due)
	}
	err := s.folder.write(dataFileName(&next), frames, 0, true)
	if err == nil {
		err = s.folder.replace(indexFileName(&next), index)
	}
	if err != nil {
		s.folder.remove(dataFileName(&next)) // the index does not refer to it; if this fails, the next start deletes it
		return err
	}
	old := dataFileName(segment)
	s.dropCaches(segment)
	s.state.SegmentRewritten(segment, uint32(len(live)), int64(len(frames)))
	s.state.SetEarliestDue(segment, due)
	if err := s.folder.remove(old); err != nil {
		s.reportDamage(err)
	}
	return nil
}
