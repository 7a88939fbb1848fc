package relay

import (
	"log/slog"
	"slices"
)

// A notice is sent once its record is committed: a successor that does not know of the record could deliver the message
// after its client was told to send it again. From the message's deadline on no successor starts a call with it any
// more, and none is in flight, so the notice is sent without waiting any longer: it would only be late.

// uncommittedNotices are the notices of one write whose records are not committed yet.
type uncommittedNotices struct{ notices []notice }

// whenNoticesCommitted returns the function to call once the records of notices are committed, or belong to another
// relay.
func (r *Relay) whenNoticesCommitted(notices []notice) func(committed bool) {
	copies := r.replication
	if copies == nil {
		return func(committed bool) { r.sendNotices(notices, committed) }
	}
	uncommitted := &uncommittedNotices{slices.Clone(notices)}
	copies.uncommitted = append(copies.uncommitted, uncommitted)
	return func(committed bool) {
		copies.uncommitted = slices.DeleteFunc(copies.uncommitted, func(other *uncommittedNotices) bool { return other == uncommitted })
		r.sendNotices(uncommitted.notices, committed)
	}
}

// dropUncommittedNotices removes the notices of the last write, which failed: they stay queued to be recorded again.
func (r *Relay) dropUncommittedNotices() {
	if copies := r.replication; copies != nil {
		copies.uncommitted = copies.uncommitted[:len(copies.uncommitted)-1]
	}
}

// sendDueNotices sends the notices of messages whose deadline has passed, although their records are not committed yet.
func (r *Relay) sendDueNotices() {
	if r.nextProcess != nil {
		return // the next process sends them
	}
	now := r.now()
	for _, uncommitted := range r.replication.uncommitted {
		var due []notice
		uncommitted.notices = slices.DeleteFunc(uncommitted.notices, func(queued notice) bool {
			if queued.due > now {
				return false
			}
			due = append(due, queued)
			return true
		})
		if len(due) > 0 {
			slog.Warn("notices of due messages sent before replicas have their records", "messages", len(due))
			r.notices.add(due)
		}
	}
}
