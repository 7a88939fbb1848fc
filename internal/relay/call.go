package relay

import (
	"context"
	"time"

	"larchrouter/choice"
)

// call is one call out, with one message or several.
type call struct {
	number    int // in what the process before this one handed over; 0 for one of this process
	startedAt time.Time
	host      *host
	members   []*message
	sends     []choice.Send
	body      []byte
	key       string
	size      int           // of its members' frames
	timeout   time.Duration // the longest of its members'
	writeBy   time.Time     // its last byte must be written by then; zero for at any time
	cancel    context.CancelCauseFunc
	agreed    *agreedConfig // by what it was decided; nil for a relay that shares nothing
	startBy   time.Time     // by which it must begin to go out, or an heir may not know that it is over; zero for at any time
}

// told is what a call tells of its host, whatever became of the messages.
type hostFeedback struct {
	elapsed    time.Duration
	retryAfter time.Duration // send nothing there for so long
	loadReport string        // X-Load, read by the settings in force when the decisions hear of it
	staleConn  bool          // a kept connection broke at once
}

// staleIn is within which a kept connection that its machine has given up breaks, once it is
// written to: the reset takes a round trip, less than a host needs for a call. Tests set it.
var staleConnWindow = 50 * time.Millisecond

// end is what a call tells of one message.
type memberResult struct {
	outcome choice.Outcome
	done    bool // the host holds the message to be over
}

// longestFirst puts the member that has the most time left at the head of the call. The other side knows a call by
// its first message: once that has ended here, by its own time, what is answered for all the others came for an ended
// call, and counts for none of them.
func (c *call) putLongestFirst() {
	for i, msg := range c.members {
		if msg.due > c.members[0].due {
			c.members[0], c.members[i] = msg, c.members[0]
			c.sends[0], c.sends[i] = c.sends[i], c.sends[0]
		}
	}
}
