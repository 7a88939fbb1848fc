package backlog

import "slices"

// relieve makes room in the page of a hash: it leaves out what is needed no more, and splits the page in four if that is little or
// it has to. New pages are written before the old one is given up.
func (t *table) relieve(hash uint64, split bool) error {
	old := t.dir[t.index(hash)]
	b := make([]byte, pageSize)
	if n, err := t.d.read(t.name, b, int64(old)*pageSize); err != nil {
		return err
	} else if n < pageSize {
		return errTable
	}
	p, ok := readPage(b, old)
	if !ok || p.depth > t.depth || p.depth+2 > depthMost {
		return errTable
	}
	var live []slot
	for b = b[slotSize:]; len(b) > 0; b = b[slotSize:] {
		s, ok := readSlot(b)
		if !ok || s.hash != 0 && p.depth > 0 && (s.hash^p.prefix)>>(64-p.depth) != 0 {
			return errTable
		}
		if s.hash != 0 && t.alive(s) {
			live = append(live, s)
		}
	}
	bits := uint32(2)
	if len(live) <= slots/2 && !split {
		bits = 0
	}
	next := make([]page, 1<<bits)
	if need := len(next) - len(t.free); need > 0 {
		if err := t.room(int64(need) * pageSize); err != nil {
			return err
		}
	}
	for i := range next {
		n := page{depth: p.depth + bits, prefix: p.prefix, at: t.take()}
		if n.depth > 0 {
			n.prefix |= uint64(i) << (64 - n.depth)
		}
		t.number++
		n.number = t.number
		mine := slices.DeleteFunc(slices.Clone(live), func(s slot) bool {
			return n.depth > 0 && (s.hash^n.prefix)>>(64-n.depth) != 0
		})
		if next[i] = n; len(mine) > slots-probes {
			return errTable
		}
		if err := t.d.write(t.name, n.fill(mine), int64(n.at)*pageSize, false); err != nil {
			return t.undo(next[:i+1], err)
		}
	}
	if err := t.giveUp(old); err != nil {
		return t.undo(next, err)
	}
	for t.depth < p.depth+bits {
		t.depth++
		twice := make([]uint32, 0, 2*len(t.dir))
		for _, at := range t.dir {
			twice = append(twice, at, at)
		}
		t.dir = twice
	}
	for _, n := range next {
		of := t.span(n)
		for i := range of {
			of[i] = n.at
		}
	}
	return nil
}

// undo gives up pages that were written beside the one that stays. Were one left, it could pass for a later one.
func (t *table) undo(pages []page, err error) error {
	for _, p := range pages {
		if t.giveUp(p.at) != nil {
			t.broken = true
		}
	}
	return err
}

// take is a page that is free, or one more at the end.
func (t *table) take() uint32 {
	if n := len(t.free); n > 0 {
		at := t.free[n-1]
		t.free = t.free[:n-1]
		return at
	}
	t.pages++
	t.grown(int64(t.pages) * pageSize)
	return t.pages - 1
}
