package state

import "time"

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

// Room is how many more of a destination may come in. Bytes of those that are in count, the next one's don't.
func (w *Window) Room(dest int, now time.Duration) int {
	w.turn(now)
	in, a, b := w.in[dest], w.was[dest], w.now[dest]
	bytes := max(int(w.Alpha*float64(w.Total.Bytes-w.used.Bytes)), 2*a.Bytes, 2*b.Bytes)
	if in.N > 0 && in.Bytes >= bytes {
		return 0
	}
	return max(0, max(1, int(w.Alpha*float64(w.Total.N-w.used.N)), 2*a.N, 2*b.N)-in.N)
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
