package backlog

import "slices"

// makeSpace frees slots in the page of a hash: it drops slots that are no longer needed, and splits the page in four if
// more than half of the slots stay or split is set. New pages are written before the old one is freed.
func (t *table) makeSpace(hash uint64, split bool) error {
	old := t.directory[t.directoryIndex(hash)]
	buffer := make([]byte, pageSize)
	if newPage, err := t.folder.read(t.fileName, buffer, int64(old)*pageSize); err != nil {
		return err
	} else if newPage < pageSize {
		return errDamagedTable
	}
	full, ok := decodePage(buffer, old)
	if !ok || full.depth > t.depth || full.depth+2 > maxDepth {
		return errDamagedTable
	}
	var live []slot
	for buffer = buffer[slotSize:]; len(buffer) > 0; buffer = buffer[slotSize:] {
		s, ok := decodeSlot(buffer)
		if !ok || s.hash != 0 && full.depth > 0 && (s.hash^full.prefix)>>(64-full.depth) != 0 {
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
	if newPages := len(next) - len(t.freePages); newPages > 0 {
		if err := t.checkSpace(int64(newPages) * pageSize); err != nil {
			return err
		}
	}
	for i := range next {
		newPage := page{depth: full.depth + bits, prefix: full.prefix, index: t.allocatePage()}
		if newPage.depth > 0 {
			newPage.prefix |= uint64(i) << (64 - newPage.depth)
		}
		t.lastPageSequence++
		newPage.sequence = t.lastPageSequence
		slots := slices.DeleteFunc(slices.Clone(live), func(s slot) bool {
			return newPage.depth > 0 && (s.hash^newPage.prefix)>>(64-newPage.depth) != 0
		})
		if next[i] = newPage; len(slots) > slotsPerPage-maxProbes {
			return errDamagedTable
		}
		if err := t.folder.write(t.fileName, newPage.encode(slots), int64(newPage.index)*pageSize, false); err != nil {
			return t.undoPages(next[:i+1], err)
		}
	}
	if err := t.freePage(old); err != nil {
		return t.undoPages(next, err)
	}
	for t.depth < full.depth+bits {
		t.depth++
		doubled := make([]uint32, 0, 2*len(t.directory))
		for _, at := range t.directory {
			doubled = append(doubled, at, at)
		}
		t.directory = doubled
	}
	for _, newPage := range next {
		entries := t.directoryRange(newPage)
		for i := range entries {
			entries[i] = newPage.index
		}
	}
	return nil
}

// undoPages frees pages that were written beside the one that stays. If one stayed too, a later start could take it for a
// newer page.
func (t *table) undoPages(pages []page, err error) error {
	for _, p := range pages {
		if t.freePage(p.index) != nil {
			t.unusable = true
		}
	}
	return err
}

// allocatePage returns a free page, or extends the file by one.
func (t *table) allocatePage() uint32 {
	if n := len(t.freePages); n > 0 {
		index := t.freePages[n-1]
		t.freePages = t.freePages[:n-1]
		return index
	}
	t.pageCount++
	t.sizeChanged(int64(t.pageCount) * pageSize)
	return t.pageCount - 1
}
