package state

// Load is messages and their bytes.
type Load struct{ N, Bytes int }

// loads are those of destinations that have any.
type loads map[int]Load

// with are loads with so much more of a destination.
func (l loads) with(dest, n, bytes int) loads {
	if l == nil {
		l = loads{}
	}
	if l[dest] = (Load{l[dest].N + n, l[dest].Bytes + bytes}); l[dest].N == 0 {
		delete(l, dest)
	}
	return l
}
