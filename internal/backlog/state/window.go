package state

import "time"

// Available returns how many more messages of a destination may become pending. The bytes of pending messages count, those
// of the next message do not.
func (w *Window) Available(dest int, now time.Duration) int {
	w.advance(now)
	pending, before, current := w.pending[dest], w.servedBefore[dest], w.servedNow[dest]
	maxBytes := max(int(w.Alpha*float64(w.Capacity.Bytes-w.pendingTotal.Bytes)), 2*before.Bytes, 2*current.Bytes)
	if pending.Messages > 0 && pending.Bytes >= maxBytes {
		return 0
	}
	return max(0, max(1, int(w.Alpha*float64(w.Capacity.Messages-w.pendingTotal.Messages)), 2*before.Messages, 2*current.Messages)-pending.Messages)
}
