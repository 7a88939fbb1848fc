package backlog

import (
	"cmp"
	"errors"
	"io/fs"
	"slices"

	"larchrouter/internal/backlog/state"
)

// salvageResult is what was recovered from a damaged segment; its entries are sorted by sequence and live or in doubt.
type salvageResult struct {
	live          []indexEntry
	lost, inDoubt int
	lastSequence  uint64 // highest sequence number found
}

// salvage recovers the messages of a segment from its two files. Readable index entries decide about their messages. The
// data that no entry covers is searched for frames, whose messages are in doubt.
func (s *Store) salvage(segment *state.Segment, index, data []byte) (result salvageResult) {
	_, head, headKnown, ok := decodeHeader(index, segment.Dest, segment.First)
	headKnown = headKnown && ok
	var covered []indexEntry // entries whose part of the data is accounted for
	unreadable, removedEnd := 0, uint32(0)
	for i := 0; int(entryOffset(uint32(i+1))) <= len(index); i++ {
		beforeHead := headKnown && i < int(head)
		entry, ok := decodeEntry(index[entryOffset(uint32(i)):])
		switch {
		case !ok || entry.sequence < segment.First:
			if !beforeHead {
				unreadable++
			}
			continue
		}
		result.lastSequence = max(result.lastSequence, entry.sequence)
		switch {
		case beforeHead || entry.removed():
			if beforeHead {
				removedEnd = max(removedEnd, entry.offset+entry.len)
			}
			covered = append(covered, entry)
			continue
		case int64(entry.offset)+int64(entry.len) > int64(len(data)):
			result.lost++
			continue
		case !headKnown || entry.mark != markLive && entry.mark != markInDoubt:
			result.inDoubt++
			entry.mark = markInDoubt
		}
		covered = append(covered, entry)
		result.live = append(result.live, entry)
	}
	seen := map[uint64]bool{}
	for _, entry := range covered {
		seen[entry.sequence] = true
	}
	slices.SortFunc(covered, func(a, b indexEntry) int { return cmp.Compare(a.offset, b.offset) })
	searched, end := uint32(0), uint32(len(data))
	for _, entry := range append(covered, indexEntry{offset: end}) {
		for _, found := range s.findFrames(segment, data, max(searched, removedEnd), min(entry.offset, end)) {
			if !seen[found.sequence] {
				seen[found.sequence] = true
				result.live = append(result.live, found)
				result.lastSequence = max(result.lastSequence, found.sequence)
				result.inDoubt++
				unreadable = max(0, unreadable-1)
			}
		}
		searched = max(searched, entry.offset+entry.len)
	}
	result.lost += unreadable
	slices.SortFunc(result.live, func(a, b indexEntry) int { return cmp.Compare(a.sequence, b.sequence) })
	return result
}

// findFrames returns an entry for each complete frame of a segment in a part of its data.
func (s *Store) findFrames(segment *state.Segment, data []byte, from, to uint32) (all []indexEntry) {
	for offset := from; offset+frameHeaderSize <= to; {
		message, sequence, ok := decodeFrame(data[offset:to], s.frameSalt)
		if !ok || sequence < segment.First || sequence-segment.First > 1<<32-1 {
			offset++
			continue
		}
		entry := indexEntry{sequence: sequence, due: message.Due, idHash: saltedHash(s.folderSalt, 'i', segment.Dest, message.ID), offset: offset, len: uint32(message.frameSize()), mark: markInDoubt}
		if message.OrderKey != "" {
			entry.keyHash = saltedHash(s.folderSalt, 'k', 0, message.OrderKey)
		}
		all = append(all, entry)
		offset += entry.len
	}
	return all
}

// repairSegment rewrites a damaged segment with the messages that can be recovered, and reports the damage.
func (s *Store) repairSegment(segment *state.Segment) error {
	index, err := s.folder.readFile(indexFileName(segment))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	data, err := s.folder.readFile(dataFileName(segment))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	// Anything on disk beyond the recorded sizes was left by a call that failed.
	index = index[:min(int64(len(index)), entryOffset(segment.Entries))]
	data = data[:min(int64(len(data)), segment.DataBytes)]
	result := s.salvage(segment, index, data)
	if lost := int(segment.Live) - len(result.live); lost > result.lost {
		result.lost = lost
	}
	s.reportSalvage(segment, result, false, "some entries cannot be read")
	return s.rewriteSegment(segment, result.live, data)
}

func (s *Store) reportSalvage(segment *state.Segment, result salvageResult, atTail bool, reason string) {
	if result.lost > 0 || result.inDoubt > 0 {
		s.reportDamage(&DamageError{indexFileName(segment), result.lost, result.inDoubt, atTail, reason})
	}
}

// rebuildTable builds a new table from the index files in a temporary file, which then replaces the existing table.
func (s *Store) rebuildTable() error {
	s.reportDamage(&DamageError{Segment: tableFileName, Reason: "it was rebuilt"})
	tmp := tableFileName + ".tmp"
	rebuilt := s.newTable(tmp)
	rebuilt.checkSpace = func(int64) error { return nil } // it replaces a file of the same size
	if err := rebuilt.create(); err != nil {
		return err
	}
	committed := s.committedSequence
	s.committedSequence = s.lastSequence // all entries are in segments: no Put is in progress
	defer func() { s.committedSequence = committed }()
	for dest := range s.state.Dests() {
		for _, segment := range slices.Clone(s.state.Segments(dest)) {
			var all []indexEntry
			err := s.indexes.liveEntries(segment, func(_ uint32, entry indexEntry) { all = append(all, entry) })
			if err != nil {
				return err // the caller repairs the segment and retries
			}
			for i := range all {
				if err := rebuilt.addMessage(dest, &all[i]); err != nil {
					return err
				}
			}
		}
	}
	if err := s.folder.rename(tmp, tableFileName); err != nil {
		return err
	}
	rebuilt.fileName, rebuilt.checkSpace = tableFileName, s.checkSpace
	s.table = rebuilt
	return nil
}

func (s *Store) newTable(name string) *table {
	return &table{folder: s.folder, fileName: name, needed: s.slotNeeded, checkSpace: s.checkSpace,
		sizeChanged: func(bytes int64) { s.state.SetFixedBytes(bytes + state.BlockSize) }}
}
