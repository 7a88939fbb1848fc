package backlog

import "slices"

// relieve makes room in the page of a hash: it leaves out what is needed no more, and splits the page in four if that is little or
// it has to. New pages are written before the old one is given up.
func (t *table) makeSpace(hash uint64, split bool) error {
	old := t.directory[t.directoryIndex(hash)]
	b := make([]byte, pageSize)
	if n, err := t.folder.read(t.fileName, b, int64(old)*pageSize); err != nil {
		return err
	} else if n < pageSize {
		return errDamagedTable
	}
	p, ok := decodePage(b, old)
	if !ok || p.depth > t.depth || p.depth+2 > maxDepth {
		return errDamagedTable
	}
	var live []slot
	for b = b[slotSize:]; len(b) > 0; b = b[slotSize:] {
		s, ok := decodeSlot(b)
		if !ok || s.hash != 0 && p.depth > 0 && (s.hash^p.prefix)>>(64-p.depth) != 0 {
			return errDamagedTable
		}
		if s.hash != 0 && t.needed(s) {
			live = append(live, s)
		}
	}
	bits := uint32(2)
	if len(live) <= slotsPerPage/2 && !split {
		bits = 0
	}
	next := make([]page, 1<<bits)
	if need := len(next) - len(t.freePages); need > 0 {
		if err := t.checkSpace(int64(need) * pageSize); err != nil {
			return err
		}
	}
	for i := range next {
		n := page{depth: p.depth + bits, prefix: p.prefix, index: t.allocatePage()}
		if n.depth > 0 {
			n.prefix |= uint64(i) << (64 - n.depth)
		}
		t.lastPageSequence++
		n.sequence = t.lastPageSequence
		mine := slices.DeleteFunc(slices.Clone(live), func(s slot) bool {
			return n.depth > 0 && (s.hash^n.prefix)>>(64-n.depth) != 0
		})
		if next[i] = n; len(mine) > slotsPerPage-maxProbes {
			return errDamagedTable
		}
		if err := t.folder.write(t.fileName, n.encode(mine), int64(n.index)*pageSize, false); err != nil {
			return t.undoPages(next[:i+1], err)
		}
	}
	if err := t.freePage(old); err != nil {
		return t.undoPages(next, err)
	}
	for t.depth < p.depth+bits {
		t.depth++
		twice := make([]uint32, 0, 2*len(t.directory))
		for _, at := range t.directory {
			twice = append(twice, at, at)
		}
		t.directory = twice
	}
	for _, n := range next {
		of := t.directoryRange(n)
		for i := range of {
			of[i] = n.index
		}
	}
	return nil
}

// undo gives up pages that were written beside the one that stays. Were one left, it could pass for a later one.
func (t *table) undoPages(pages []page, err error) error {
	for _, p := range pages {
		if t.freePage(p.index) != nil {
			t.unusable = true
		}
	}
	return err
}

// take is a page that is free, or one more at the end.
func (t *table) allocatePage() uint32 {
	if n := len(t.freePages); n > 0 {
		at := t.freePages[n-1]
		t.freePages = t.freePages[:n-1]
		return at
	}
	t.pageCount++
	t.sizeChanged(int64(t.pageCount) * pageSize)
	return t.pageCount - 1
}
