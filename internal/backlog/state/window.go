package state

import "time"

// Available returns how many more messages of a destination may become pending. The bytes of pending messages count, those
// of the next message do not.
func (w *Window) Available(dest int, now time.Duration) int {
	w.advance(now)
	if w.pending[dest].Messages > 0 && w.AvailableBytes(dest, now) == 0 {
		return 0
	}
	pending, before, current := w.pending[dest], w.servedBefore[dest], w.servedNow[dest]
	return max(0, max(1, int(w.Alpha*float64(w.Capacity.Messages-w.pendingTotal.Messages)), 2*before.Messages, 2*current.Messages)-pending.Messages)
}

// AvailableBytes returns how many bytes of messages of a destination may become pending. One message may in any case if
// none is.
func (w *Window) AvailableBytes(dest int, now time.Duration) int {
	w.advance(now)
	maxBytes := max(int(w.Alpha*float64(w.Capacity.Bytes-w.pendingTotal.Bytes)), 2*w.servedBefore[dest].Bytes, 2*w.servedNow[dest].Bytes)
	return max(0, maxBytes-w.pending[dest].Bytes)
}
