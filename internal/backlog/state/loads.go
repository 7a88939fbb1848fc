package state

import "time"

// Load is a number of messages and their bytes.
type Load struct{ Messages, Bytes int }

// destLoads has the loads of destinations that have any messages.
type destLoads map[int]Load

// plus returns the loads with a change of one destination added.
func (l destLoads) plus(dest, messages, bytes int) destLoads {
	if l == nil {
		l = destLoads{}
	}
	if l[dest] = (Load{l[dest].Messages + messages, l[dest].Bytes + bytes}); l[dest].Messages == 0 {
		delete(l, dest)
	}
	return l
}

// Window limits how many messages of a destination may be in memory, where the decisions see them. The limit is a dynamic
// threshold as in switches that share a buffer (Choudhury and Hahne, 1998), Alpha times the free capacity, or twice what was
// served in a second if that is more. All together the pending messages are at most Capacity, one for each destination, and
// what is served in two seconds.
type Window struct {
	Capacity                         Load    // of all destinations together
	Alpha                            float64 // factor of the free capacity that one destination may use
	pendingTotal                     Load
	pending, servedNow, servedBefore destLoads // pending; served in the current second and in the previous one
	secondStart                      time.Duration
}

// Admit records that a message became pending.
func (w *Window) Admit(dest, bytes int) {
	w.pending, w.pendingTotal = w.pending.plus(dest, 1, bytes), Load{w.pendingTotal.Messages + 1, w.pendingTotal.Bytes + bytes}
}

// Remove records that a pending message left, and whether its destination served it.
func (w *Window) Remove(dest, bytes int, served bool, now time.Duration) {
	w.pending, w.pendingTotal = w.pending.plus(dest, -1, -bytes), Load{w.pendingTotal.Messages - 1, w.pendingTotal.Bytes - bytes}
	if w.advance(now); served {
		w.servedNow = w.servedNow.plus(dest, 1, bytes)
	}
}

// advance starts a new second if one has begun, and drops what was served before the previous one.
func (w *Window) advance(now time.Duration) {
	if second := now.Truncate(time.Second); second > w.secondStart {
		if w.servedBefore, w.servedNow = w.servedNow, nil; second > w.secondStart+time.Second {
			w.servedBefore = nil
		}
		w.secondStart = second
	}
}
