package relay

import (
	"log/slog"
	"slices"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
)

// A notice is sent once its record is committed: a successor that does not know of the record could deliver the message
// after its client was told to send it again. From the message's deadline on no successor starts a call with it any
// more, and none is in flight, so the notice is sent without waiting any longer: it would only be late. But a successor
// may have run the message before that, so such a notice does not tell the client to submit it again where that does harm.

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
			r.sendUncommitted(due)
		}
	}
}

// sendUncommitted sends notices whose records are not committed.
func (r *Relay) sendUncommitted(notices []notice) {
	var changed []journal.Record
	for i := range notices {
		if n := &notices[i]; n.Status == deferred && !safeToSubmitAgain(r.journal.Entry(n.ID)) {
			n.Status, n.RetryAfterMS = undeliverable, 0
			changed = append(changed, journal.Record{Op: journal.OpNotice, ID: n.ID, Status: n.Status})
		}
	}
	slog.Warn("notices of due messages sent before replicas have their records", "messages", len(notices), "made_final", len(changed))
	if len(changed) > 0 {
		if err := r.commitRecords(changed, 0, nil); err != nil { // after a restart the client would be told otherwise once more
			slog.Error("changed notices could not be recorded", "messages", len(changed), "err", err, "remedy", remedy.Of(err))
		}
	}
	r.notices.add(notices)
}

// endNotice returns the notice of a message that the Chooser has given up. The previous owner of an inherited message may
// only be cut off, and then ends it as sendUncommitted does. A message has one end, so it is not ended otherwise here.
func (r *Relay) endNotice(msg *message, status string, retryAfter time.Duration) notice {
	if status == deferred && r.inherited(msg.Entry) && !safeToSubmitAgain(msg.Entry) {
		return notice{ID: msg.ID, Status: undeliverable}
	}
	return notice{ID: msg.ID, Status: status, RetryAfterMS: retryAfter.Milliseconds()}
}

// inherited reports whether a message belongs to a replication group that this relay has taken over.
func (r *Relay) inherited(entry *journal.Entry) bool {
	if r.replication == nil {
		return false
	}
	stream := r.replication.streams[entry.Group]
	return stream != nil && r.takenOver(stream.group)
}

// safeToSubmitAgain reports whether the client of a message may submit it again although it may have run. It is not where
// the terms of the message are unknown.
func safeToSubmitAgain(entry *journal.Entry) bool {
	return entry != nil && entry.Terms != nil && entry.Terms.Class.SafeToSubmitAgain()
}
