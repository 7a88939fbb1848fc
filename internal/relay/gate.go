package relay

import "fmt"

// withheld is why a request was not written to its endpoint, though the decisions had sent it there.
type withheld int

const (
	notWithheld   withheld = iota
	endpointShut           // it drains, is gone, or is out by hand
	toldToWait             // its destination has told to wait
	handedOver             // the next process has had the relay's messages for so long that it may send them itself
	outOfTime              // the message's time, or the window in which a repeat is dropped, is over
	agreementOver          // what the relays agreed on no longer holds
	listTooOld             // changes of the list that the relay has not heard of may count as told
	withheldKinds
)

// String is the reason as figures and logs name it.
func (w withheld) String() string {
	switch w {
	case notWithheld:
		return "none"
	case endpointShut:
		return "endpoint_shut"
	case toldToWait:
		return "told_to_wait"
	case handedOver:
		return "handed_over"
	case outOfTime:
		return "out_of_time"
	case agreementOver:
		return "agreement_over"
	case listTooOld:
		return "list_too_old"
	}
	return fmt.Sprintf("withheld(%d)", int(w))
}

// withhold tells whether a call must not be written now, whatever was decided when it was started: its connection may have
// taken long to come up. It is asked right before the first write (see admit): what ended between an earlier look and the write
// would not hold the call back.
func (r *Relay) withhold(c *call) withheld {
	switch now := r.now(); {
	case c.host.closed.Load():
		return endpointShut
	case r.listExpired(now):
		return listTooOld
	case c.host.waiting.left(now) > 0:
		return toldToWait
	case r.dialedTooLate():
		return handedOver
	case over(c.before) || over(c.fresh): // nobody would drop the repeat any more, or an heir may not know of it
		return outOfTime
	case c.agreed.over(now):
		return agreementOver
	}
	return notWithheld
}
