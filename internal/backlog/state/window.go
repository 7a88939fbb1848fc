package state

import "time"

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
