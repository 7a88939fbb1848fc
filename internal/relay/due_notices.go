package relay

import (
	"log/slog"
	"slices"
)

// A notice waits until its record counts: an heir that does not know of it could deliver the message, after its client was told
// to hand it in again. Once the message's time is up no heir begins a call with it any more, and none is out, so the notice waits
// no longer: it would only come too late.

// uncountedNotices are notices of one write whose records do not count yet.
type uncountedNotices struct{ waiting []notice }

// noticesCounted is what is to be done with notices once their records count, or are another relay's.
func (r *Relay) noticesCounted(notices []notice) func(counts bool) {
	c := r.replication
	if c == nil {
		return func(counts bool) { r.sendNotices(notices, counts) }
	}
	u := &uncountedNotices{slices.Clone(notices)}
	c.uncommitted = append(c.uncommitted, u)
	return func(counts bool) {
		c.uncommitted = slices.DeleteFunc(c.uncommitted, func(other *uncountedNotices) bool { return other == u })
		r.sendNotices(u.waiting, counts)
	}
}

// dropUncounted forgets the notices of the write before, which failed: they wait to be recorded again.
func (r *Relay) dropUncounted() {
	if c := r.replication; c != nil {
		c.uncommitted = c.uncommitted[:len(c.uncommitted)-1]
	}
}

// tellDue has notices go out whose messages' time is up, though their records do not count yet.
func (r *Relay) tellDue() {
	if r.nextProcess != nil {
		return // they are the next process's
	}
	now := r.now()
	for _, u := range r.replication.uncommitted {
		var due []notice
		u.waiting = slices.DeleteFunc(u.waiting, func(n notice) bool {
			if n.due > now {
				return false
			}
			due = append(due, n)
			return true
		})
		if len(due) > 0 {
			slog.Warn("ends are told that holders do not have yet", "messages", len(due))
			r.notices.add(due)
		}
	}
}
