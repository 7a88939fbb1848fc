package state

import "time"

// Room is how many more of a destination may come in. Bytes of those that are in count, the next one's don't.
func (w *Window) Available(dest int, now time.Duration) int {
	w.advance(now)
	in, a, b := w.pending[dest], w.servedBefore[dest], w.servedNow[dest]
	bytes := max(int(w.Alpha*float64(w.Capacity.Bytes-w.pendingTotal.Bytes)), 2*a.Bytes, 2*b.Bytes)
	if in.Messages > 0 && in.Bytes >= bytes {
		return 0
	}
	return max(0, max(1, int(w.Alpha*float64(w.Capacity.Messages-w.pendingTotal.Messages)), 2*a.Messages, 2*b.Messages)-in.Messages)
}
