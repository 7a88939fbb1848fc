package backlog

import (
	"cmp"
	"errors"
	"io/fs"
	"slices"

	"larchrouter/internal/backlog/state"
)

// salvaged is what is found of a damaged segment: messages by place, all of which are live or in doubt.
type salvageResult struct {
	live          []indexEntry
	lost, inDoubt int
	lastSequence  uint64 // place of the newest that is known of
}

// salvage reads what it can of a segment's two files. The entries say what they know; where they are silent the data is
// searched for frames, whose messages are in doubt.
func (s *Store) salvage(seg *state.Segment, index, data []byte) (got salvageResult) {
	_, head, known, ok := decodeHeader(index, seg.Dest, seg.First)
	known = known && ok
	var covered []indexEntry // what of the data is spoken for
	bad, passed := 0, uint32(0)
	for i := 0; int(entryOffset(uint32(i+1))) <= len(index); i++ {
		before := known && i < int(head)
		x, ok := decodeEntry(index[entryOffset(uint32(i)):])
		switch {
		case !ok || x.sequence < seg.First:
			if !before {
				bad++
			}
			continue
		}
		got.lastSequence = max(got.lastSequence, x.sequence)
		switch {
		case before || x.removed():
			if before {
				passed = max(passed, x.offset+x.length)
			}
			covered = append(covered, x)
			continue
		case int64(x.offset)+int64(x.length) > int64(len(data)):
			got.lost++
			continue
		case !known || x.mark != markLive && x.mark != markInDoubt:
			got.inDoubt++
			x.mark = markInDoubt
		}
		covered = append(covered, x)
		got.live = append(got.live, x)
	}
	seen := map[uint64]bool{}
	for _, x := range covered {
		seen[x.sequence] = true
	}
	slices.SortFunc(covered, func(a, b indexEntry) int { return cmp.Compare(a.offset, b.offset) })
	at, end := uint32(0), uint32(len(data))
	for _, x := range append(covered, indexEntry{offset: end}) {
		for _, y := range s.findFrames(seg, data, max(at, passed), min(x.offset, end)) {
			if !seen[y.sequence] {
				seen[y.sequence] = true
				got.live = append(got.live, y)
				got.lastSequence = max(got.lastSequence, y.sequence)
				got.inDoubt++
				bad = max(0, bad-1)
			}
		}
		at = max(at, x.offset+x.length)
	}
	got.lost += bad
	slices.SortFunc(got.live, func(a, b indexEntry) int { return cmp.Compare(a.sequence, b.sequence) })
	return got
}

// search finds whole frames of a segment in a part of its data.
func (s *Store) findFrames(seg *state.Segment, data []byte, from, to uint32) (all []indexEntry) {
	for at := from; at+frameHeaderSize <= to; {
		m, place, ok := decodeFrame(data[at:to], s.frameSalt)
		if !ok || place < seg.First || place-seg.First > 1<<32-1 {
			at++
			continue
		}
		x := indexEntry{sequence: place, due: m.Due, idHash: saltedHash(s.folderSalt, 'i', seg.Dest, m.ID), offset: at, length: uint32(m.frameSize()), mark: markInDoubt}
		if m.OrderKey != "" {
			x.keyHash = saltedHash(s.folderSalt, 'k', 0, m.OrderKey)
		}
		all = append(all, x)
		at += x.length
	}
	return all
}

// mend saves what is left of a segment that was found damaged, and reports it.
func (s *Store) repairSegment(seg *state.Segment) error {
	index, err := s.folder.readFile(indexFileName(seg))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	data, err := s.folder.readFile(dataFileName(seg))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	// What is on disk behind what the state knows of is of a call that failed.
	index = index[:min(int64(len(index)), entryOffset(seg.Entries))]
	data = data[:min(int64(len(data)), seg.DataBytes)]
	got := s.salvage(seg, index, data)
	if lost := int(seg.Live) - len(got.live); lost > got.lost {
		got.lost = lost
	}
	s.reportSalvage(seg, got, false, "entries that cannot be read")
	return s.rewriteSegment(seg, got.live, data)
}

func (s *Store) reportSalvage(seg *state.Segment, got salvageResult, tail bool, why string) {
	if got.lost > 0 || got.inDoubt > 0 {
		s.reportDamage(&DamageError{indexFileName(seg), got.lost, got.inDoubt, tail, why})
	}
}

// rebuild makes the table anew from all segments' entries, beside the one that is there.
func (s *Store) rebuildTable() error {
	s.reportDamage(&DamageError{Segment: tableFileName, Reason: "it was built again"})
	tmp := tableFileName + ".tmp"
	t := s.newTable(tmp)
	t.checkSpace = func(int64) error { return nil } // it takes the place of one as large
	if err := t.create(); err != nil {
		return err
	}
	told := s.committedSequence
	s.committedSequence = s.lastSequence // nothing is being put
	defer func() { s.committedSequence = told }()
	for dest := range s.state.Dests() {
		for _, seg := range slices.Clone(s.state.Segments(dest)) {
			var all []indexEntry
			err := s.indexes.liveEntries(seg, func(_ uint32, x indexEntry) { all = append(all, x) })
			if err != nil {
				return err // mended by the caller, who tries again
			}
			for i := range all {
				if err := t.addMessage(dest, &all[i]); err != nil {
					return err
				}
			}
		}
	}
	if err := s.folder.rename(tmp, tableFileName); err != nil {
		return err
	}
	t.fileName, t.checkSpace = tableFileName, s.checkSpace
	s.table = t
	return nil
}

func (s *Store) newTable(name string) *table {
	return &table{folder: s.folder, fileName: name, needed: s.slotNeeded, checkSpace: s.checkSpace,
		sizeChanged: func(bytes int64) { s.state.SetFixedBytes(bytes + state.BlockSize) }}
}
