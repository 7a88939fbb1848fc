package relay

import (
	"context"
	"time"

	"larchrouter/choice"
)

// call is one HTTP call to an endpoint, with one message or several (its members).
type call struct {
	number    int // its number in the state that the previous process handed over; 0 for a call of this process
	startedAt time.Time
	host      *host
	members   []*message
	sends     []choice.Send
	body      []byte
	key       string
	size      int           // total size of the members' frames in bytes
	timeout   time.Duration // the longest time-out of its members
	writeBy   time.Time     // the last byte must be written by then; zero for no limit
	cancel    context.CancelCauseFunc
	agreed    *agreedConfig // the agreed configuration under which the call was decided; nil for a relay outside a fleet
	startBy   time.Time     // writing must start by then, since a successor may not know that the call has ended; zero for no limit
}

// hostFeedback is what a call reveals about its host, independent of the results of its messages.
type hostFeedback struct {
	elapsed    time.Duration
	retryAfter time.Duration // nothing may be sent to the destination for this time
	loadReport string        // value of X-Load, parsed with the settings that are in effect when the Chooser receives it
	staleConn  bool          // a reused connection broke immediately
}

// staleConnWindow is the time after the start of a request within which a reused connection that its host has dropped
// breaks. The reset takes one round trip, which is less than a host needs to serve a call. Tests change it.
var staleConnWindow = 50 * time.Millisecond

// memberResult is the result of a call for one of its messages.
type memberResult struct {
	outcome choice.Outcome
	done    bool // the host considers the message finished
}

// putLongestFirst moves the member with the latest deadline to the head of the call. The endpoint identifies a call by
// its first message. If that message timed out here before the others, the endpoint's answer would belong to a call
// that has ended, and would count for none of the others.
func (c *call) putLongestFirst() {
	for i, msg := range c.members {
		if msg.due > c.members[0].due {
			c.members[0], c.members[i] = msg, c.members[0]
			c.sends[0], c.sends[i] = c.sends[i], c.sends[0]
		}
	}
}
