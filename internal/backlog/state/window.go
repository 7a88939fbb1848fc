package state

import "time"

// Room is how many more of a destination may come in. Bytes of those that are in count, the next one's don't.
func (w *Window) Available(dest int, now time.Duration) int {
	w.advance(now)
	pending, before, current := w.pending[dest], w.servedBefore[dest], w.servedNow[dest]
	maxBytes := max(int(w.Alpha*float64(w.Capacity.Bytes-w.pendingTotal.Bytes)), 2*before.Bytes, 2*current.Bytes)
	if pending.Messages > 0 && pending.Bytes >= maxBytes {
		return 0
	}
	return max(0, max(1, int(w.Alpha*float64(w.Capacity.Messages-w.pendingTotal.Messages)), 2*before.Messages, 2*current.Messages)-pending.Messages)
}
