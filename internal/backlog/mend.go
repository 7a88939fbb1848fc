package backlog

import (
	"cmp"
	"errors"
	"io/fs"
	"slices"

	"larchrouter/internal/backlog/state"
)

// salvaged is what is found of a damaged segment: messages by place, all of which are live or in doubt.
type salvaged struct {
	live        []entry
	lost, doubt int
	last        uint64 // place of the newest that is known of
}

// salvage reads what it can of a segment's two files. The entries say what they know; where they are silent the data is
// searched for frames, whose messages are in doubt.
func (s *Store) salvage(seg *state.Segment, index, data []byte) (got salvaged) {
	_, head, known, ok := readHeader(index, seg.Dest, seg.First)
	known = known && ok
	var covered []entry // what of the data is spoken for
	bad, passed := 0, uint32(0)
	for i := 0; int(entryAt(uint32(i+1))) <= len(index); i++ {
		before := known && i < int(head)
		x, ok := readEntry(index[entryAt(uint32(i)):])
		switch {
		case !ok || x.place < seg.First:
			if !before {
				bad++
			}
			continue
		}
		got.last = max(got.last, x.place)
		switch {
		case before || x.gone():
			if before {
				passed = max(passed, x.off+x.len)
			}
			covered = append(covered, x)
			continue
		case int64(x.off)+int64(x.len) > int64(len(data)):
			got.lost++
			continue
		case !known || x.mark != markLive && x.mark != markDoubt:
			got.doubt++
			x.mark = markDoubt
		}
		covered = append(covered, x)
		got.live = append(got.live, x)
	}
	seen := map[uint64]bool{}
	for _, x := range covered {
		seen[x.place] = true
	}
	slices.SortFunc(covered, func(a, b entry) int { return cmp.Compare(a.off, b.off) })
	at, end := uint32(0), uint32(len(data))
	for _, x := range append(covered, entry{off: end}) {
		for _, y := range s.search(seg, data, max(at, passed), min(x.off, end)) {
			if !seen[y.place] {
				seen[y.place] = true
				got.live = append(got.live, y)
				got.last = max(got.last, y.place)
				got.doubt++
				bad = max(0, bad-1)
			}
		}
		at = max(at, x.off+x.len)
	}
	got.lost += bad
	slices.SortFunc(got.live, func(a, b entry) int { return cmp.Compare(a.place, b.place) })
	return got
}

// search finds whole frames of a segment in a part of its data.
func (s *Store) search(seg *state.Segment, data []byte, from, to uint32) (all []entry) {
	for at := from; at+frameHead <= to; {
		m, place, ok := readFrame(data[at:to], s.salt)
		if !ok || place < seg.First || place-seg.First > 1<<32-1 {
			at++
			continue
		}
		x := entry{place: place, due: m.Due, id: hashOf(s.saltAll, 'i', seg.Dest, m.ID), off: at, len: uint32(m.frameLen()), mark: markDoubt}
		if m.Order != "" {
			x.key = hashOf(s.saltAll, 'k', 0, m.Order)
		}
		all = append(all, x)
		at += x.len
	}
	return all
}

// mend saves what is left of a segment that was found damaged, and reports it.
func (s *Store) mend(seg *state.Segment) error {
	index, err := s.d.whole(indexName(seg))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	data, err := s.d.whole(dataName(seg))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	// What is on disk behind what the state knows of is of a call that failed.
	index = index[:min(int64(len(index)), entryAt(seg.Entries))]
	data = data[:min(int64(len(data)), seg.Data)]
	got := s.salvage(seg, index, data)
	if lost := int(seg.Live) - len(got.live); lost > got.lost {
		got.lost = lost
	}
	s.report(seg, got, false, "entries that cannot be read")
	return s.rewrite(seg, got.live, data)
}

func (s *Store) report(seg *state.Segment, got salvaged, tail bool, why string) {
	if got.lost > 0 || got.doubt > 0 {
		s.damaged(&Damage{indexName(seg), got.lost, got.doubt, tail, why})
	}
}

// rebuild makes the table anew from all segments' entries, beside the one that is there.
func (s *Store) rebuild() error {
	s.damaged(&Damage{Segment: tableName, Why: "it was built again"})
	tmp := tableName + ".tmp"
	t := s.newTable(tmp)
	t.room = func(int64) error { return nil } // it takes the place of one as large
	if err := t.begin(); err != nil {
		return err
	}
	told := s.told
	s.told = s.last // nothing is being put
	defer func() { s.told = told }()
	for dest := range s.st.Dests() {
		for _, seg := range slices.Clone(s.st.Segments(dest)) {
			var all []entry
			err := s.entries.all(seg, func(_ uint32, x entry) { all = append(all, x) })
			if err != nil {
				return err // mended by the caller, who tries again
			}
			for i := range all {
				if err := t.add(dest, &all[i]); err != nil {
					return err
				}
			}
		}
	}
	if err := s.d.rename(tmp, tableName); err != nil {
		return err
	}
	t.name, t.room = tableName, s.roomFor
	s.table = t
	return nil
}

func (s *Store) newTable(name string) *table {
	return &table{d: s.d, name: name, alive: s.alive, room: s.roomFor,
		grown: func(bytes int64) { s.st.Fixed(bytes + state.Block) }}
}
