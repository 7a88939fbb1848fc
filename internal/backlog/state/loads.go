package state

import "time"

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

// Window tells how many messages of a destination the decisions may hold: the dynamic threshold of switches
// that share a buffer (Choudhury and Hahne, 1998), of what is free, and twice what was served in a second.
// Held is at most Total, one for each destination, and two seconds of what is served.
type Window struct {
	Total        Load    // of all destinations
	Alpha        float64 // of what is free, for each
	used         Load
	in, now, was loads // held; served in the present second and the last
	second       time.Duration
}

// Enter tells that a message came in.
func (w *Window) Enter(dest, bytes int) {
	w.in, w.used = w.in.with(dest, 1, bytes), Load{w.used.N + 1, w.used.Bytes + bytes}
}

// Leave tells that one went, and whether its destination took it.
func (w *Window) Leave(dest, bytes int, served bool, now time.Duration) {
	w.in, w.used = w.in.with(dest, -1, -bytes), Load{w.used.N - 1, w.used.Bytes - bytes}
	if w.turn(now); served {
		w.now = w.now.with(dest, 1, bytes)
	}
}

// turn forgets what was served before the last second.
func (w *Window) turn(now time.Duration) {
	if s := now.Truncate(time.Second); s > w.second {
		if w.was, w.now = w.now, nil; s > w.second+time.Second {
			w.was = nil
		}
		w.second = s
	}
}
