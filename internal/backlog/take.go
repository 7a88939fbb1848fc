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
func (s *Store) take(seg *state.Segment, has *files, tail bool) error {
	var index []byte
	if has.index {
		var err error
		if index, err = s.d.whole(indexName(seg)); err != nil {
			return err
		}
	}
	gen, head, headKnown, ok := readHeader(index, seg.Dest, seg.First)
	if len(has.gens) > 0 && !(ok && slices.Contains(has.gens, gen)) {
		if ok || len(has.gens) > 1 {
			index = nil // what entries say of other data says nothing of this
		}
		gen, ok = slices.Min(has.gens), false // a later one may be half written
	}
	seg.Gen = gen
	for _, g := range has.gens {
		if g != gen {
			if err := s.d.remove(dataName(&state.Segment{Dest: seg.Dest, First: seg.First, Gen: g})); err != nil {
				return err
			}
		}
	}
	var size int64
	if f, err := os.Stat(filepath.Join(s.d.dir, dataName(seg))); err == nil {
		size = f.Size()
	}
	seg.Head = head
	lost, whole := 0, false
	if ok && headKnown {
		lost, whole = count(seg, index, size)
	}
	if !whole {
		return s.takeDamaged(seg, index)
	}
	s.last = max(s.last, seg.Last)
	s.report(seg, salvaged{lost: lost}, tail, "entries without data at its end")
	if seg.Live == 0 {
		s.removeFiles(seg)
		return nil
	}
	if lost > 0 || entryAt(seg.Entries) < int64(len(index)) {
		if err := s.d.truncate(dataName(seg), seg.Data); err != nil {
			return err
		}
		if err := s.d.truncate(indexName(seg), entryAt(seg.Entries)); err != nil {
			return err
		}
	}
	s.st.Begin(seg)
	return nil
}

// count goes through a segment's entries and tells whether they and the data agree, but for what a kill may leave: entries at the end
// without their frames, which it counts as lost.
func count(seg *state.Segment, index []byte, size int64) (lost int, ok bool) {
	n := uint32((len(index) - state.Header) / state.Entry)
	if seg.Head > n {
		return 0, false
	}
	for i := range n {
		x, ok := readEntry(index[entryAt(i):])
		if !ok || !knownMark(x.mark) || x.place < seg.Last || x.place == seg.Last && i > 0 {
			return 0, false
		}
		gone := i < seg.Head || x.gone()
		if lost > 0 || !gone && seg.Data+int64(x.len) > size {
			if !gone {
				lost++
			}
			continue
		}
		if int64(x.off) != seg.Data {
			return 0, false
		}
		seg.Data, seg.Last = seg.Data+int64(x.len), x.place
		seg.Entries++
		switch {
		case i < seg.Head:
			seg.Before += int64(x.len)
		case gone:
			seg.Gone += int64(x.len)
		default:
			seg.Live++
			seg.Due = min(seg.Due, x.due)
		}
	}
	// Of one that was being dropped the data goes first.
	return lost, lost > 0 || seg.Data == size || seg.Live == 0 && size < seg.Data
}

// takeDamaged takes up what can be read of a segment, and writes that anew.
func (s *Store) takeDamaged(seg *state.Segment, index []byte) error {
	data, err := s.d.whole(dataName(seg))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	got := s.salvage(seg, index, data)
	s.report(seg, got, false, "entries that cannot be read")
	*seg = state.Segment{Dest: seg.Dest, First: seg.First, Last: max(seg.First, got.last), Gen: seg.Gen, Due: later}
	s.last = max(s.last, seg.Last)
	s.st.Begin(seg)
	return s.rewrite(seg, got.live, data)
}
