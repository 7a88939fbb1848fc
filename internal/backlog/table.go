package backlog

import (
	"cmp"
	"errors"
	"slices"
)

// table maps hashes of ids and ordering keys to sequence numbers. It is an extendible hash table (Fagin et al., 1979) in
// one file; only its directory is in memory.
type table struct {
	folder           *folder
	fileName         string
	directory        []uint32 // page of each hash prefix of depth bits
	depth            uint32
	pageCount        uint32 // number of pages in the file
	freePages        []uint32
	lastPageSequence uint64
	unusable         bool // a change could be neither completed nor undone
	buffer           [slotsPerRead * slotSize]byte
	needed           func(slot) bool   // reports whether a slot is still needed
	checkSpace       func(int64) error // returns an error if the file may not grow by that many bytes
	sizeChanged      func(bytes int64) // receives the new size of the file
}

const (
	slotsPerRead  = 16 // number of slots read at once
	maxProbes     = 64 // a page where the search for a free slot takes more probes is full: at about 80% with random hashes
	maxDepth      = 28
	tableFileName = "ids"
)

// errDamagedTable tells that the table must be rebuilt.
var errDamagedTable = errors.New("the table of ids is damaged")

// create creates the file with one empty page.
func (t *table) create() error {
	p := page{sequence: 1}
	if err := t.folder.write(t.fileName, p.encode(nil), 0, true); err != nil {
		return err
	}
	t.directory, t.depth, t.pageCount, t.freePages, t.lastPageSequence = []uint32{0}, 0, 1, nil, 1
	t.sizeChanged(pageSize)
	return nil
}

// load reads the headers of all pages of a file with that size.
func (t *table) load(size int64) error {
	t.pageCount, t.freePages = uint32(size/pageSize), nil
	var pages []page
	for index := range t.pageCount {
		if _, err := t.folder.read(t.fileName, t.buffer[:slotSize], int64(index)*pageSize); err != nil {
			return err
		}
		if loaded, ok := decodePage(t.buffer[:], index); ok {
			pages = append(pages, loaded)
			t.depth = max(t.depth, loaded.depth)
			t.lastPageSequence = max(t.lastPageSequence, loaded.sequence)
		} else {
			t.freePages = append(t.freePages, index)
		}
	}
	// A kill during a split leaves both the old page and new ones. The old page is valid, the new ones may be incomplete.
	slices.SortFunc(pages, func(a, b page) int { return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.sequence, b.sequence)) })
	if t.depth > 0 && int64(len(pages))<<8 < 1<<t.depth {
		return errDamagedTable // this program never writes so deep a table with so few pages
	}
	const none = ^uint32(0)
	t.directory = slices.Repeat([]uint32{none}, 1<<t.depth)
	for _, loaded := range pages {
		entries := t.directoryRange(loaded)
		if slices.ContainsFunc(entries, func(index uint32) bool { return index != none }) {
			if err := t.freePage(loaded.index); err != nil {
				return err
			}
			continue
		}
		for i := range entries {
			entries[i] = loaded.index
		}
	}
	if slices.Contains(t.directory, none) {
		return errDamagedTable
	}
	t.sizeChanged(size)
	return nil
}

// directoryRange returns the part of the directory that refers to a page.
func (t *table) directoryRange(page page) []uint32 {
	from := t.directoryIndex(page.prefix)
	return t.directory[from : from+1<<(t.depth-page.depth)]
}

func (t *table) directoryIndex(hash uint64) uint64 {
	if t.depth == 0 {
		return 0
	}
	return hash >> (64 - t.depth)
}

func (t *table) freePage(index uint32) error {
	if err := t.folder.write(t.fileName, make([]byte, slotSize), int64(index)*pageSize, false); err != nil {
		return err
	}
	t.freePages = append(t.freePages, index)
	return nil
}

// probe yields the slots from the first one of a hash on, with their offsets in the file, until a free slot was yielded,
// maxSlots were, or yield returns false.
func (t *table) probe(hash uint64, maxSlots int, yield func(slot, int64) bool) error {
	if t.unusable {
		return errDamagedTable
	}
	page := int64(t.directory[t.directoryIndex(hash)]) * pageSize
	for i, probed := hash%slotsPerPage, 0; probed < maxSlots; {
		count := min(slotsPerRead, slotsPerPage-i)
		b := t.buffer[:count*slotSize]
		got, err := t.folder.read(t.fileName, b, page+int64(i+1)*slotSize)
		if err != nil {
			return err
		}
		if got < len(b) {
			return errDamagedTable
		}
		for ; len(b) > 0; b = b[slotSize:] {
			s, ok := decodeSlot(b)
			if !ok {
				return errDamagedTable
			}
			if !yield(s, page+int64(i+1)*slotSize) || s.hash == 0 {
				return nil
			}
			i, probed = i+1, probed+1
		}
		i %= slotsPerPage
	}
	return nil
}

// find yields the slots of a hash until yield returns false.
func (t *table) find(hash uint64, yield func(slot, int64) bool) error {
	return t.probe(hash, slotsPerPage, func(s slot, at int64) bool { return s.hash != hash || yield(s, at) })
}

func (t *table) writeSlot(s slot, offset int64) error {
	return t.folder.write(t.fileName, s.encode(), offset, false)
}

// insert adds a slot and makes space in its page if that is full.
func (t *table) insert(s slot) error {
	for retry := false; ; retry = true {
		freeOffset := int64(-1)
		if err := t.probe(s.hash, maxProbes, func(existing slot, position int64) bool {
			if existing.hash == 0 {
				freeOffset = position
			}
			return true
		}); err != nil {
			return err
		}
		if freeOffset >= 0 {
			return t.writeSlot(s, freeOffset)
		}
		if err := t.makeSpace(s.hash, retry); err != nil {
			return err
		}
	}
}

// addMessage adds the slot of a message's id and counts its ordering key.
func (t *table) addMessage(dest int, entry *indexEntry) error {
	if err := t.insert(slot{hash: entry.idHash, sequence: entry.sequence, dest: dest}); err != nil || entry.keyHash == 0 {
		return err
	}
	return t.adjustKeyCount(entry.keyHash, dest, entry.sequence, true)
}

// adjustKeyCount adds one message to the count of an ordering key in a destination, or subtracts one. An added message
// becomes the newest of its key.
func (t *table) adjustKeyCount(hash uint64, dest int, sequence uint64, increment bool) error {
	var existing slot
	offset := int64(-1)
	if err := t.find(hash, func(s slot, position int64) bool {
		if s.count > 0 && s.dest == dest {
			existing, offset = s, position
		}
		return offset < 0
	}); err != nil {
		return err
	}
	switch {
	case increment && offset < 0:
		return t.insert(slot{hash, sequence, dest, 2})
	case increment && !t.needed(existing):
		return t.writeSlot(slot{hash, sequence, dest, 2}, offset)
	case increment:
		return t.writeSlot(slot{hash, sequence, dest, existing.count + 1}, offset)
	case offset >= 0 && existing.count > 1:
		existing.count--
		return t.writeSlot(existing, offset)
	}
	return nil
}
