package relay

import "fmt"

// withholdReason is why a request was not written to its endpoint, although the chooser had decided to send it.
type withholdReason int

const (
	notWithheld         withholdReason = iota
	endpointUnavailable                // it is leaving, not on the list, or manually disabled
	retryAfterPending                  // its destination's retry-after delay has not elapsed
	handedOver                         // the next process has had the relay's messages for so long that it may send them itself
	timeExpired                        // the message's time is over, or the window in which the endpoint drops a repeat
	agreementExpired                   // what the relays agreed on is no longer valid
	listLeaseExpired                   // the platform may rely on list changes that the relay has not received
	withholdReasonCount
)

// String returns the reason as metrics and logs name it.
func (w withholdReason) String() string {
	switch w {
	case notWithheld:
		return "none"
	case endpointUnavailable:
		return "endpoint_shut"
	case retryAfterPending:
		return "told_to_wait"
	case handedOver:
		return "handed_over"
	case timeExpired:
		return "out_of_time"
	case agreementExpired:
		return "agreement_over"
	case listLeaseExpired:
		return "list_too_old"
	}
	return fmt.Sprintf("withheld(%d)", int(w))
}

// checkWithhold reports whether, and why, a call must not be written now, whatever was decided when it was started:
// establishing its connection may have taken long. It is called right before the first write (see beginSend), because
// a check further ahead of the write would miss what changed in between.
func (r *Relay) checkWithhold(c *call) withholdReason {
	switch now := r.now(); {
	case c.host.closed.Load():
		return endpointUnavailable
	case r.listExpired(now):
		return listLeaseExpired
	case c.host.wait.remaining(now) > 0:
		return retryAfterPending
	case r.dialedTooLate():
		return handedOver
	case deadlinePassed(c.writeBy) || deadlinePassed(c.startBy): // the endpoint may no longer drop the repeat, or a successor may not know of it
		return timeExpired
	case c.agreed.expired(now):
		return agreementExpired
	}
	return notWithheld
}
