package relay

import (
	"time"

	"larchrouter/internal/journal"
)

// How a message that was taken on ended undelivered.
const (
	deferred      = "deferred"      // never ran, or may be repeated: the client may come again
	undeliverable = "undeliverable" // final
)

// notice tells the platform how a message ended.
type notice struct {
	ID     string        `json:"id"`
	Status string        `json:"status"`
	Again  int64         `json:"again_ms,omitempty"` // when the client should come again
	class  string        // of a message that ended in this process; empty for one that an earlier one ended
	due    time.Duration // when the message's time is up, by the relay's clock; 0 for one that an earlier process ended
}

// how is the ending that a notice tells of.
func (n notice) how() ending {
	if n.Status == undeliverable {
		return failedEnd
	}
	return refusedEnd
}

// noticesSending counts the messages whose notices leave the queue: their ends are final now.
func (r *Relay) noticesSending(batch []notice) {
	for _, n := range batch {
		if n.class != "" {
			r.figures.ended(n.class, n.how())
		}
	}
}

// noticesAccepted records that notices are no longer owed: the platform has accepted them. If the loop ends first they stay
// in the journal, and the next start sends them again, which does no harm.
func (r *Relay) noticesAccepted(batch []notice) {
	r.post(func() {
		for _, n := range batch {
			r.record(journal.Record{Op: journal.OpEnd, ID: n.ID})
		}
		r.pendingNotices -= len(batch)
	})
}

// servedLate takes in that a message was delivered by a call that outlasted the message's own time. Its notice is withdrawn
// if it has not gone out yet: a client that is told of a failure takes what was delivered for lost.
func (r *Relay) servedLate(m *message) {
	if r.nextProcess != nil {
		return // its end is the next process's
	}
	m.served = true
	if m.ended && r.notices.withdraw(m.ID) {
		r.pendingNotices--
		r.figures.ended(m.Class, servedEnd)
		r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
	}
}
