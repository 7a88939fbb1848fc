package backlog

import (
	"slices"

	"larchrouter/internal/backlog/state"
)

// holdOff is how many calls of Out go by after a segment could not be written anew, before one is tried again.
const rewriteHoldOffCalls = 1000

// Out has messages lie here no more; ones that don't are passed over. It is written when it returns.
func (s *Store) Remove(dest int, places ...uint64) error {
	return s.withRepair(func() error { return s.remove(dest, places) })
}

func (s *Store) remove(dest int, places []uint64) error {
	s.rewriteHoldOff = max(0, s.rewriteHoldOff-1)
	places = slices.Sorted(slices.Values(places))
	for len(places) > 0 {
		seg := s.state.SegmentOf(dest, places[0])
		if seg == nil {
			places = places[1:]
			continue
		}
		n, _ := slices.BinarySearch(places, seg.Last+1)
		if err := s.removeFromSegment(seg, places[:n]); err != nil {
			return err
		}
		places = places[n:]
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

// outOf takes messages out of one segment: the head goes past those in order, the others are marked.
func (s *Store) removeFromSegment(seg *state.Segment, places []uint64) error {
	var left []indexedEntry
	for _, place := range slices.Compact(places) {
		i, x, ok, err := s.indexes.find(seg, place)
		if err != nil {
			return err
		}
		if ok && i >= seg.Head && !x.removed() {
			left = append(left, indexedEntry{i, x})
		}
	}
	if len(left) == 0 {
		return nil
	}
	head, before, gone, n := seg.Head, seg.BytesBeforeHead, seg.RemovedBytes, 0
	for head < seg.Entries {
		x, err := s.indexes.entry(seg, head)
		if err != nil {
			return err
		}
		switch {
		case n < len(left) && left[n].index == head:
			n++
		case x.removed():
			gone -= int64(x.length)
		default:
			goto behind
		}
		before += int64(x.length)
		head++
	}
behind:
	if head != seg.Head {
		if err := s.folder.write(indexFileName(seg), encodeHead(head), headOffset, false); err != nil {
			return err
		}
	}
	var err error
	for n < len(left) && err == nil {
		if err = s.indexes.markRemoved(seg, left[n].index); err == nil {
			gone += int64(left[n].length)
			n++
		}
	}
	left = left[:n]
	what := s.state.RemoveMessages(seg, n, head, before, gone)
	s.messagesRemoved(seg, left)
	for _, x := range left {
		if x.keyHash != 0 && err == nil {
			err = s.table.adjustKeyCount(x.keyHash, seg.Dest, x.sequence, false)
		}
	}
	switch {
	case what == state.Drop:
		s.dropSegment(seg)
	case what == state.Rewrite && s.rewriteHoldOff == 0 && s.checkSpace(seg.DataBytes-seg.BytesBeforeHead) == nil:
		if s.compactSegment(seg) != nil {
			s.rewriteHoldOff = rewriteHoldOffCalls // the old files stand
		}
	}
	return err
}

// dropped deletes a segment's files. One that stays is deleted at the next start: its head tells that all is gone.
func (s *Store) dropSegment(seg *state.Segment) {
	s.dropCaches(seg)
	s.state.RemoveSegment(seg)
	s.removeFiles(seg)
}

func (s *Store) removeFiles(seg *state.Segment) {
	for _, name := range []string{dataFileName(seg), indexFileName(seg)} {
		if err := s.folder.remove(name); err != nil {
			s.reportDamage(err)
		}
	}
}

// forget has nothing of a segment's entries be kept in memory.
func (s *Store) dropCaches(seg *state.Segment) {
	s.indexes.dropCache(seg)
	delete(s.dueLists, seg)
}

// renew writes a segment anew with what is live.
func (s *Store) compactSegment(seg *state.Segment) error {
	var live []indexEntry
	if err := s.indexes.liveEntries(seg, func(_ uint32, x indexEntry) { live = append(live, x) }); err != nil {
		return err
	}
	data := make([]byte, seg.DataBytes)
	n, err := s.folder.read(dataFileName(seg), data, 0)
	if err != nil {
		return err
	}
	return s.rewriteSegment(seg, live, data[:n])
}

// rewrite writes a segment with these messages, whose frames are in data, and tells the state. New data comes beside the old, and
// is the segment's once the entries name it. None at all drops the segment.
func (s *Store) rewriteSegment(seg *state.Segment, live []indexEntry, data []byte) error {
	if len(live) == 0 {
		s.dropSegment(seg)
		return nil
	}
	next := *seg
	next.Rewrites++
	next.Head = 0
	var frames []byte
	index := appendHeader(nil, &next, s.folderSalt)
	due := int64(noDueTime)
	for _, x := range live {
		from := x.offset
		x.offset = uint32(len(frames))
		frames = append(frames, data[from:from+x.length]...)
		index = appendEntry(index, &x)
		due = min(due, x.due)
	}
	err := s.folder.write(dataFileName(&next), frames, 0, true)
	if err == nil {
		err = s.folder.replace(indexFileName(&next), index)
	}
	if err != nil {
		s.folder.remove(dataFileName(&next)) // not named by the entries; else deleted at the next start
		return err
	}
	old := dataFileName(seg)
	s.dropCaches(seg)
	s.state.SegmentRewritten(seg, uint32(len(live)), int64(len(frames)))
	s.state.SetEarliestDue(seg, due)
	if err := s.folder.remove(old); err != nil {
		s.reportDamage(err)
	}
	return nil
}
