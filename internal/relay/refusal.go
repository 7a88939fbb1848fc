package relay

import (
	"fmt"
	"log/slog"
)

// refusalReason is why a message was not accepted, though its client may submit it again.
type refusalReason int

const (
	notRefused         refusalReason = iota
	refusedStopping                  // the process stops
	refusedByAgreement               // the relays' agreement does not allow it
	refusedNoRoom                    // as many messages are pending as the settings allow
	refusedNotices                   // too many notices are pending
	refusedBacklog                   // the backlog on disk is unavailable
	refusedReplicas                  // the replicas have no space
	refusedUnrecorded                // it could not be recorded
	refusedByChooser                 // the chooser gave it up before it was accepted
	refusedClientLeft                // its client disconnected before the answer
	refusalReasonCount
)

// String returns the reason as metrics and logs name it.
func (r refusalReason) String() string {
	switch r {
	case notRefused:
		return "none"
	case refusedStopping:
		return "stopping"
	case refusedByAgreement:
		return "agreement"
	case refusedNoRoom:
		return "no_room"
	case refusedNotices:
		return "notices"
	case refusedBacklog:
		return "disk"
	case refusedReplicas:
		return "replicas"
	case refusedUnrecorded:
		return "unrecorded"
	case refusedByChooser:
		return "no_prospect"
	case refusedClientLeft:
		return "client_left"
	}
	return fmt.Sprintf("refused(%d)", int(r))
}

// refusalOf returns why a new message cannot be accepted now, or notRefused.
func (r *Relay) refusalOf(apiReq *apiRequest, active *activeSettings) refusalReason {
	switch {
	case r.stopped:
		return refusedStopping
	case !r.replication.accepts(r.now()):
		return refusedByAgreement
	case active.MaxPending > 0 && len(r.pending)+r.overflow.len() >= active.MaxPending:
		return refusedNoRoom
	case r.pendingNotices >= maxPendingNotices:
		return refusedNotices
	case r.overflow.broken():
		return refusedBacklog
	case !r.replicasHaveSpace(apiReq.entry):
		return refusedReplicas
	}
	return notRefused
}

// noteRefusal counts and logs a refused message.
func (r *Relay) noteRefusal(id string, reason refusalReason) {
	r.metrics.countRefusal(reason)
	slog.Debug("message refused", "id", id, "reason", reason)
}
