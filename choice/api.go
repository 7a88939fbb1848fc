// Package choice makes the decisions of an outbound gateway: which message a relay sends next, to
// which endpoint, how long it waits for the answer, whether it tries again, and when it gives up
// and rejects the message.
//
// A relay embeds one Chooser. It passes Step the time and all events since the last call, carries
// out the actions that Step returns, and reports their results as later events. The package opens
// no connection, starts no goroutine and reads no clock.
//
// Times are durations since an epoch of the relay's choosing; they must never run backwards. The
// same seed and the same events yield the same actions.
package choice

import "time"

// Effect says what a second execution of a message would do.
type Effect int

// The effects, from the least to the most restrictive.
const (
	Safe   Effect = iota // a repeat does no harm
	Keyed                // the destination drops repeats for a limited time
	Unsafe               // a repeat must never happen
)

// Class describes one class of messages.
type Class struct {
	Name      string
	Aim       time.Duration // a delivery within this time earns the full worth
	Deadline  time.Duration // after this time a delivery is worth nothing
	Worth     float64       // of a delivery within Aim
	LateShare float64       // share of the worth that is left at the deadline
	Effect    Effect
	// SameZone limits repeats of a keyed message to endpoints in the zone of the first attempt that
	// may have run. Otherwise every endpoint drops them.
	SameZone bool
	Window   time.Duration // how long a destination drops repeats of a keyed message
	Ordered  bool          // messages that share a key go one at a time, in order
}

// SafeToSubmitAgain reports whether a client may submit a message again that may have run: a second
// run does no harm, or every endpoint recognizes the message by its key.
func (c *Class) SafeToSubmitAgain() bool {
	return c.Effect == Safe || c.Effect == Keyed && !c.SameZone
}

// Kind describes one kind of destination.
type Kind struct {
	SeparateRoutes bool // each endpoint is a route with limits and health of its own
	PerCall        int  // most messages in one call
}

// Rules are the operating rules that all relays follow.
type Rules struct {
	AnswerGrace    time.Duration // how long after its deadline a final answer still counts
	DrainGrace     time.Duration // how long a draining endpoint may still be called
	OverloadFactor float64       // a cold destination fails above this multiple ...
	OverloadWindow time.Duration // ... of its present capacity, sustained for this long
	ColdShare      float64       // share of its capacity with which a destination returns
	WarmUp         time.Duration // time after its return until it has its full capacity
	OrderSettle    time.Duration // pause of a key after an attempt with an uncertain outcome
}

// Settings configure a Chooser.
type Settings struct {
	Index         int           // number of this relay, from 0
	Fleet         int           // number of relays
	Workers       int           // maximum of calls in flight
	MaxPending    int           // maximum of pending messages, in flight or not; 0 for no limit
	MaxAttempts   int           // per message, with those that were never sent
	Tick          time.Duration // shortest interval between checks
	Classes       []Class
	Kinds         []Kind
	ZoneFee       []float64 // cost of a message over a separate route, in shares of its worth, by zone
	WorthHalves   bool      // after the aim, worth halves with each further aim; otherwise it falls linearly
	RatesListed   bool      // Host.Rate is the rate that a destination accepts from all relays
	CanCancel     bool      // Cancel actions are allowed
	MustSubscribe bool      // list updates come only after a Subscribe action
	// ReportLimitIndex is the index in Result.Report of the limit in calls per second; negative if
	// answers don't report it.
	ReportLimitIndex int
	// ReportLeftIndex is the index in Result.Report of the share of the allowance that is left;
	// negative if answers don't report it.
	ReportLeftIndex int
	Rules           Rules
	Tenants         []Tenant
	// OverShareFactor is the worth of a message over its tenant's share, as a factor on the worth
	// of its class.
	OverShareFactor float64
}

// Tenant is one of the clients that share the service.
type Tenant struct {
	Name  string  // identifies the tenant when settings change, so that it keeps its saved share
	Quota float64 // its share in messages per second, over all relays
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. Refused, NoConnection and NotSent prove that the message did not run; Served proves
// that it did; the others prove nothing.
const (
	Served Outcome = iota
	Error
	Refused
	Timeout
	NoConnection
	Reset
	Cancelled
	NotSent
)
