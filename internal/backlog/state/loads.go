package state

import "time"

// Load is messages and their bytes.
type Load struct{ Messages, Bytes int }

// loads are those of destinations that have any.
type destLoads map[int]Load

// with are loads with so much more of a destination.
func (l destLoads) plus(dest, messages, bytes int) destLoads {
	if l == nil {
		l = destLoads{}
	}
	if l[dest] = (Load{l[dest].Messages + messages, l[dest].Bytes + bytes}); l[dest].Messages == 0 {
		delete(l, dest)
	}
	return l
}

// Window tells how many messages of a destination the decisions may hold: the dynamic threshold of switches
// that share a buffer (Choudhury and Hahne, 1998), of what is free, and twice what was served in a second.
// Held is at most Total, one for each destination, and two seconds of what is served.
type Window struct {
	Capacity                         Load    // of all destinations
	Alpha                            float64 // of what is free, for each
	pendingTotal                     Load
	pending, servedNow, servedBefore destLoads // held; served in the present second and the last
	secondStart                      time.Duration
}

// Enter tells that a message came in.
func (w *Window) Add(dest, bytes int) {
	w.pending, w.pendingTotal = w.pending.plus(dest, 1, bytes), Load{w.pendingTotal.Messages + 1, w.pendingTotal.Bytes + bytes}
}

// Leave tells that one went, and whether its destination took it.
func (w *Window) Remove(dest, bytes int, served bool, now time.Duration) {
	w.pending, w.pendingTotal = w.pending.plus(dest, -1, -bytes), Load{w.pendingTotal.Messages - 1, w.pendingTotal.Bytes - bytes}
	if w.advance(now); served {
		w.servedNow = w.servedNow.plus(dest, 1, bytes)
	}
}

// turn forgets what was served before the last second.
func (w *Window) advance(now time.Duration) {
	if second := now.Truncate(time.Second); second > w.secondStart {
		if w.servedBefore, w.servedNow = w.servedNow, nil; second > w.secondStart+time.Second {
			w.servedBefore = nil
		}
		w.secondStart = second
	}
}
