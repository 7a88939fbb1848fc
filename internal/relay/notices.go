package relay

import (
	"larchrouter/internal/journal"
)

// How a message that was taken on ended undelivered.
const (
	deferred      = "deferred"      // never ran, or may be repeated: the client may come again
	undeliverable = "undeliverable" // final
)

// notice tells the platform how a message ended.
type notice struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Again  int64  `json:"again_ms,omitempty"` // when the client should come again
	class  string // of a message that ended in this process; empty for one that an earlier one ended
}

// how is the ending that a notice tells of.
func (n notice) how() ending {
	if n.Status == undeliverable {
		return failedEnd
	}
	return refusedEnd
}

// noticesAccepted records that notices are no longer owed: the platform has accepted them. If the loop ends first they stay
// in the journal, and the next start sends them again, which does no harm.
func (r *Relay) noticesAccepted(batch []notice) {
	r.post(func() {
		for _, n := range batch {
			r.record(journal.Record{Op: journal.OpEnd, ID: n.ID})
		}
		r.owed -= len(batch)
	})
}
