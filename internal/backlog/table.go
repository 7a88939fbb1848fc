package backlog

import (
	"cmp"
	"errors"
	"slices"
)

// table finds places by hashes of ids and keys: an extendible hash table (Fagin et al., 1979) in one file. Only its directory
// is in memory.
type table struct {
	d      *folder
	name   string
	dir    []uint32 // page of each prefix of depth bits
	depth  uint32
	pages  uint32 // in the file
	free   []uint32
	number uint64
	broken bool // by a change that could be neither made nor undone
	buf    [chunk * slotSize]byte
	alive  func(slot) bool   // whether a slot is still needed
	room   func(int64) error // whether the file may grow by so much
	grown  func(bytes int64) // is told the file's size
}

const (
	chunk     = 16 // slots read at once
	probes    = 64 // a page where a search for a free slot takes longer is full; at random that is at some 80%
	depthMost = 28
	tableName = "ids"
)

// errTable is that the table has to be built again.
var errTable = errors.New("the table of ids is damaged")

// begin makes the file anew, with nothing in it.
func (t *table) begin() error {
	p := page{number: 1}
	if err := t.d.write(t.name, p.fill(nil), 0, true); err != nil {
		return err
	}
	t.dir, t.depth, t.pages, t.free, t.number = []uint32{0}, 0, 1, nil, 1
	t.grown(pageSize)
	return nil
}

// load reads the headers of all pages of a file of that size.
func (t *table) load(size int64) error {
	t.pages, t.free = uint32(size/pageSize), nil
	var all []page
	for at := range t.pages {
		if _, err := t.d.read(t.name, t.buf[:slotSize], int64(at)*pageSize); err != nil {
			return err
		}
		if p, ok := readPage(t.buf[:], at); ok {
			all = append(all, p)
			t.depth = max(t.depth, p.depth)
			t.number = max(t.number, p.number)
		} else {
			t.free = append(t.free, at)
		}
	}
	// A kill as a page was split leaves both it and what it was split into: it counts, the others may be half.
	slices.SortFunc(all, func(a, b page) int { return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(a.number, b.number)) })
	if t.depth > 0 && int64(len(all))<<8 < 1<<t.depth {
		return errTable // deeper than a table with so few pages grows: not written by this program
	}
	const none = ^uint32(0)
	t.dir = slices.Repeat([]uint32{none}, 1<<t.depth)
	for _, p := range all {
		of := t.span(p)
		if slices.ContainsFunc(of, func(at uint32) bool { return at != none }) {
			if err := t.giveUp(p.at); err != nil {
				return err
			}
			continue
		}
		for i := range of {
			of[i] = p.at
		}
	}
	if slices.Contains(t.dir, none) {
		return errTable
	}
	t.grown(size)
	return nil
}

// span is the part of the directory that leads to a page.
func (t *table) span(p page) []uint32 {
	from := t.index(p.prefix)
	return t.dir[from : from+1<<(t.depth-p.depth)]
}

func (t *table) index(hash uint64) uint64 {
	if t.depth == 0 {
		return 0
	}
	return hash >> (64 - t.depth)
}

func (t *table) giveUp(at uint32) error {
	if err := t.d.write(t.name, make([]byte, slotSize), int64(at)*pageSize, false); err != nil {
		return err
	}
	t.free = append(t.free, at)
	return nil
}

// walk yields the slots from a hash's first on, up to a free one or until it has enough; with each, where it is in the file.
func (t *table) walk(hash uint64, most int, yield func(slot, int64) bool) error {
	if t.broken {
		return errTable
	}
	page := int64(t.dir[t.index(hash)]) * pageSize
	for i, n := hash%slots, 0; n < most; {
		k := min(chunk, slots-i)
		b := t.buf[:k*slotSize]
		got, err := t.d.read(t.name, b, page+int64(i+1)*slotSize)
		if err != nil {
			return err
		}
		if got < len(b) {
			return errTable
		}
		for ; len(b) > 0; b = b[slotSize:] {
			s, ok := readSlot(b)
			if !ok {
				return errTable
			}
			if !yield(s, page+int64(i+1)*slotSize) || s.hash == 0 {
				return nil
			}
			i, n = i+1, n+1
		}
		i %= slots
	}
	return nil
}

// find gives the slots of a hash, until told to stop.
func (t *table) find(hash uint64, yield func(slot, int64) bool) error {
	return t.walk(hash, slots, func(s slot, at int64) bool { return s.hash != hash || yield(s, at) })
}

func (t *table) put(s slot, at int64) error { return t.d.write(t.name, s.bytes(), at, false) }

// insert adds a slot.
func (t *table) insert(s slot) error {
	for again := false; ; again = true {
		at := int64(-1)
		if err := t.walk(s.hash, probes, func(have slot, where int64) bool {
			if have.hash == 0 {
				at = where
			}
			return true
		}); err != nil {
			return err
		}
		if at >= 0 {
			return t.put(s, at)
		}
		if err := t.relieve(s.hash, again); err != nil {
			return err
		}
	}
}

// add notes where a message is.
func (t *table) add(dest int, e *entry) error {
	if err := t.insert(slot{hash: e.id, place: e.place, dest: dest}); err != nil || e.key == 0 {
		return err
	}
	return t.count(e.key, dest, e.place, true)
}

// count notes one message more of a key in a destination, or one less. Of one more its place is the newest.
func (t *table) count(hash uint64, dest int, place uint64, more bool) error {
	var have slot
	at := int64(-1)
	if err := t.find(hash, func(s slot, where int64) bool {
		if s.count > 0 && s.dest == dest {
			have, at = s, where
		}
		return at < 0
	}); err != nil {
		return err
	}
	switch {
	case more && at < 0:
		return t.insert(slot{hash, place, dest, 2})
	case more && !t.alive(have):
		return t.put(slot{hash, place, dest, 2}, at)
	case more:
		return t.put(slot{hash, place, dest, have.count + 1}, at)
	case at >= 0 && have.count > 1:
		have.count--
		return t.put(have, at)
	}
	return nil
}
