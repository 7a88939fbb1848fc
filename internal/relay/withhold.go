package relay

import "fmt"

// withheld is why a request was not written to its endpoint, though the decisions had sent it there.
type withholdReason int

const (
	notWithheld         withholdReason = iota
	endpointUnavailable                // it drains, is gone, or is out by hand
	retryAfterPending                  // its destination has told to wait
	handedOver                         // the next process has had the relay's messages for so long that it may send them itself
	timeExpired                        // the message's time, or the window in which a repeat is dropped, is over
	agreementExpired                   // what the relays agreed on no longer holds
	listLeaseExpired                   // changes of the list that the relay has not heard of may count as told
	withholdReasonCount
)

// String is the reason as figures and logs name it.
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

// withhold tells whether a call must not be written now, whatever was decided when it was started: its connection may have
// taken long to come up. It is asked right before the first write (see admit): what ended between an earlier look and the write
// would not hold the call back.
func (r *Relay) checkWithhold(c *call) withholdReason {
	switch now := r.now(); {
	case c.host.closed.Load():
		return endpointUnavailable
	case r.listExpired(now):
		return listLeaseExpired
	case c.host.waiting.left(now) > 0:
		return retryAfterPending
	case r.late():
		return handedOver
	case over(c.before) || over(c.fresh): // nobody would drop the repeat any more, or an heir may not know of it
		return timeExpired
	case c.agreed.over(now):
		return agreementExpired
	}
	return notWithheld
}
