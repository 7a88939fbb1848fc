package backlog

import (
	"slices"

	"larchrouter/internal/backlog/state"
)

// holdOff is how many calls of Out go by after a segment could not be written anew, before one is tried again.
const holdOff = 1000

// Out has messages lie here no more; ones that don't are passed over. It is written when it returns.
func (s *Store) Out(dest int, places ...uint64) error {
	return s.mending(func() error { return s.out(dest, places) })
}

func (s *Store) out(dest int, places []uint64) error {
	s.hold = max(0, s.hold-1)
	places = slices.Sorted(slices.Values(places))
	for len(places) > 0 {
		seg := s.st.Of(dest, places[0])
		if seg == nil {
			places = places[1:]
			continue
		}
		n, _ := slices.BinarySearch(places, seg.Last+1)
		if err := s.outOf(seg, places[:n]); err != nil {
			return err
		}
		places = places[n:]
	}
	if s.st.Len() == 0 && s.table.pages > 1 {
		return s.table.begin()
	}
	return nil
}

type found struct {
	at uint32
	entry
}

// outOf takes messages out of one segment: the head goes past those in order, the others are marked.
func (s *Store) outOf(seg *state.Segment, places []uint64) error {
	var left []found
	for _, place := range slices.Compact(places) {
		i, x, ok, err := s.entries.search(seg, place)
		if err != nil {
			return err
		}
		if ok && i >= seg.Head && !x.gone() {
			left = append(left, found{i, x})
		}
	}
	if len(left) == 0 {
		return nil
	}
	head, before, gone, n := seg.Head, seg.Before, seg.Gone, 0
	for head < seg.Entries {
		x, err := s.entries.at(seg, head)
		if err != nil {
			return err
		}
		switch {
		case n < len(left) && left[n].at == head:
			n++
		case x.gone():
			gone -= int64(x.len)
		default:
			goto behind
		}
		before += int64(x.len)
		head++
	}
behind:
	if head != seg.Head {
		if err := s.d.write(indexName(seg), headSlot(head), headAt, false); err != nil {
			return err
		}
	}
	var err error
	for n < len(left) && err == nil {
		if err = s.entries.mark(seg, left[n].at); err == nil {
			gone += int64(left[n].len)
			n++
		}
	}
	left = left[:n]
	what := s.st.Leave(seg, n, head, before, gone)
	s.parts(seg, left)
	for _, x := range left {
		if x.key != 0 && err == nil {
			err = s.table.count(x.key, seg.Dest, x.place, false)
		}
	}
	switch {
	case what == state.Drop:
		s.dropped(seg)
	case what == state.Renew && s.hold == 0 && s.roomFor(seg.Data-seg.Before) == nil:
		if s.renew(seg) != nil {
			s.hold = holdOff // the old files stand
		}
	}
	return err
}

// dropped deletes a segment's files. One that stays is deleted at the next start: its head tells that all is gone.
func (s *Store) dropped(seg *state.Segment) {
	s.forget(seg)
	s.st.Remove(seg)
	s.removeFiles(seg)
}

func (s *Store) removeFiles(seg *state.Segment) {
	for _, name := range []string{dataName(seg), indexName(seg)} {
		if err := s.d.remove(name); err != nil {
			s.damaged(err)
		}
	}
}

// forget has nothing of a segment's entries be kept in memory.
func (s *Store) forget(seg *state.Segment) {
	s.entries.forget(seg)
	delete(s.runs, seg)
}

// renew writes a segment anew with what is live.
func (s *Store) renew(seg *state.Segment) error {
	var live []entry
	if err := s.entries.all(seg, func(_ uint32, x entry) { live = append(live, x) }); err != nil {
		return err
	}
	data := make([]byte, seg.Data)
	n, err := s.d.read(dataName(seg), data, 0)
	if err != nil {
		return err
	}
	return s.rewrite(seg, live, data[:n])
}

// rewrite writes a segment with these messages, whose frames are in data, and tells the state. New data comes beside the old, and
// is the segment's once the entries name it. None at all drops the segment.
func (s *Store) rewrite(seg *state.Segment, live []entry, data []byte) error {
	if len(live) == 0 {
		s.dropped(seg)
		return nil
	}
	next := *seg
	next.Gen++
	next.Head = 0
	var frames []byte
	index := appendHeader(nil, &next, s.saltAll)
	due := int64(later)
	for _, x := range live {
		from := x.off
		x.off = uint32(len(frames))
		frames = append(frames, data[from:from+x.len]...)
		index = appendEntry(index, &x)
		due = min(due, x.due)
	}
	err := s.d.write(dataName(&next), frames, 0, true)
	if err == nil {
		err = s.d.replace(indexName(&next), index)
	}
	if err != nil {
		s.d.remove(dataName(&next)) // not named by the entries; else deleted at the next start
		return err
	}
	old := dataName(seg)
	s.forget(seg)
	s.st.Renewed(seg, uint32(len(live)), int64(len(frames)))
	s.st.SetDue(seg, due)
	if err := s.d.remove(old); err != nil {
		s.damaged(err)
	}
	return nil
}
