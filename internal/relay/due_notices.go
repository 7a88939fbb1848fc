package relay

import (
	"log/slog"
	"slices"
)

// A notice waits until its record counts: an heir that does not know of it could deliver the message, after its client was told
// to hand it in again. Once the message's time is up no heir begins a call with it any more, and none is out, so the notice waits
// no longer: it would only come too late.

// uncountedNotices are notices of one write whose records do not count yet.
type uncommittedNotices struct{ notices []notice }

// noticesCounted is what is to be done with notices once their records count, or are another relay's.
func (r *Relay) whenNoticesCommitted(notices []notice) func(committed bool) {
	copies := r.copies
	if copies == nil {
		return func(committed bool) { r.sendNotices(notices, committed) }
	}
	uncommitted := &uncommittedNotices{slices.Clone(notices)}
	copies.uncounted = append(copies.uncounted, uncommitted)
	return func(committed bool) {
		copies.uncounted = slices.DeleteFunc(copies.uncounted, func(other *uncommittedNotices) bool { return other == uncommitted })
		r.sendNotices(uncommitted.notices, committed)
	}
}

// dropUncounted forgets the notices of the write before, which failed: they wait to be recorded again.
func (r *Relay) dropUncommittedNotices() {
	if copies := r.copies; copies != nil {
		copies.uncounted = copies.uncounted[:len(copies.uncounted)-1]
	}
}

// tellDue has notices go out whose messages' time is up, though their records do not count yet.
func (r *Relay) sendDueNotices() {
	if r.heir != nil {
		return // they are the next process's
	}
	now := r.now()
	for _, uncommitted := range r.copies.uncounted {
		var due []notice
		uncommitted.notices = slices.DeleteFunc(uncommitted.notices, func(queued notice) bool {
			if queued.due > now {
				return false
			}
			due = append(due, queued)
			return true
		})
		if len(due) > 0 {
			slog.Warn("ends are told that holders do not have yet", "messages", len(due))
			r.notices.add(due)
		}
	}
}
