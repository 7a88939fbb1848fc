package relay

import (
	"time"

	"larchrouter/internal/journal"
)

// Status of a message that was accepted and ended undelivered.
const (
	deferred      = "deferred"      // it never ran, or may be repeated: the client may send it again
	undeliverable = "undeliverable" // final: the client must not send it again
)

// notice tells the platform how a message ended.
type notice struct {
	ID           string        `json:"id"`
	Status       string        `json:"status"`
	RetryAfterMS int64         `json:"again_ms,omitempty"` // milliseconds after which the client should send the message again
	class        string        // class of a message that ended in this process; empty for one that ended in an earlier process
	due          time.Duration // deadline of the message by the relay's clock; 0 for one that ended in an earlier process
}

// ending returns the ending that the notice reports.
func (n notice) ending() messageOutcome {
	if n.Status == undeliverable {
		return outcomeFailed
	}
	return outcomeRefused
}

// noticesSending counts the messages whose notices leave the queue: their endings are final now.
func (r *Relay) noticesSending(batch []notice) {
	for _, n := range batch {
		if n.class != "" {
			r.metrics.countOutcome(n.class, n.ending())
		}
	}
}

// noticesAccepted records that the platform has accepted notices, so that they are no longer pending. If the loop ends
// first they stay in the journal, and the next start sends them again, which does no harm.
func (r *Relay) noticesAccepted(batch []notice) {
	r.post(func() {
		for _, n := range batch {
			r.record(journal.Record{Op: journal.OpEnd, ID: n.ID})
		}
		r.pendingNotices -= len(batch)
	})
}

// servedLate handles the delivery of a message by a call that outlasted the message's deadline. The message's notice is
// withdrawn if it has not been sent yet: otherwise the client would be told that a delivered message failed.
func (r *Relay) servedLate(msg *message) {
	if r.nextProcess != nil {
		return // the next process ends the message
	}
	msg.served = true
	if msg.ended && r.notices.withdraw(msg.ID) {
		r.pendingNotices--
		r.metrics.countOutcome(msg.Class, outcomeServed)
		r.record(journal.Record{Op: journal.OpEnd, ID: msg.ID})
	}
}
