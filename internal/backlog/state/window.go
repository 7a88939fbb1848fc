package state

import "time"

// Load is messages and their bytes.
type Load struct{ N, Bytes int }

func (l Load) plus(n, bytes int) Load { return Load{l.N + n, l.Bytes + bytes} }

// Window tells how many messages of a destination the decisions may hold: the dynamic threshold of switches that share a
// buffer (Choudhury and Hahne, 1998), of what is free, so that one that is down leaves room; and twice what was served in a second.
// What is held is at most Total, one for each destination, and two seconds of what is served.
type Window struct {
	Total    Load    // of all destinations
	Alpha    float64 // of what is free, for each
	used     Load
	in       map[int]Load
	now, was map[int]Load // served in the present second and the last
	second   time.Duration
}

// Room is how many more messages of a destination may come in. The bytes of those that are in count; the next one's don't.
func (w *Window) Room(dest int, now time.Duration) int {
	w.turn(now)
	in, s := w.in[dest], Load{max(w.was[dest].N, w.now[dest].N), max(w.was[dest].Bytes, w.now[dest].Bytes)}
	if in.N > 0 && in.Bytes >= max(int(w.Alpha*float64(w.Total.Bytes-w.used.Bytes)), 2*s.Bytes) {
		return 0
	}
	return max(0, max(1, int(w.Alpha*float64(w.Total.N-w.used.N)), 2*s.N)-in.N)
}

// Enter tells that a message came in.
func (w *Window) Enter(dest, bytes int) { w.move(dest, 1, bytes) }

// Leave tells that one went, and whether its destination took it.
func (w *Window) Leave(dest, bytes int, served bool, now time.Duration) {
	if w.move(dest, -1, -bytes); served {
		w.turn(now)
		w.now[dest] = w.now[dest].plus(1, bytes)
	}
}

func (w *Window) move(dest, n, bytes int) {
	if w.in == nil {
		w.in = map[int]Load{}
	}
	w.used, w.in[dest] = w.used.plus(n, bytes), w.in[dest].plus(n, bytes)
	if w.in[dest].N == 0 {
		delete(w.in, dest)
	}
}

// turn forgets what was served before the last second.
func (w *Window) turn(now time.Duration) {
	if second := now.Truncate(time.Second); w.now == nil || second > w.second {
		if w.was = w.now; second > w.second+time.Second {
			w.was = nil
		}
		w.now, w.second = map[int]Load{}, second
	}
}
