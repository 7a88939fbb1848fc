package choice

import "time"

// An Event tells a Chooser what happened. The types below are the events.
type Event interface{ event() }

// Arrival is a new message. The Chooser gives it exactly one final answer.
type Arrival struct {
	ID    string
	Class int
	Dest  int
	Left  time.Duration // time until its deadline
	Key   string        // messages with the same key are ordered; empty for none
	// Tenant is the index of the sender in Settings.Tenants; negative for a sender without a share.
	Tenant int
	Terms  *Terms // terms it was accepted under; nil for those of its class in the current settings
}

// Result ends one attempt.
type Result struct {
	ID         string
	Host       string
	Attempt    int
	Outcome    Outcome
	Took       time.Duration // since the attempt was sent
	RetryAfter time.Duration // don't call the unit for this long; 0 if the answer asked for no wait
	Done       bool          // the message needs no final answer any more
	// StaleConn says, with Reset, that a reused connection broke as soon as it was written to: its
	// far end had closed it while idle, which says nothing about the host's health.
	StaleConn bool
	Report    []float64 // load report, nil for none
}

// Withdrawn says that a message needs neither further attempts nor a final answer.
type Withdrawn struct{ ID string }

// State is an endpoint's state on the list.
type State int

// The states. They say nothing about health.
const (
	Removed State = iota
	Ready
	Draining
)

// Host is one endpoint as it is listed.
type Host struct {
	Addr  string
	Dest  int
	Kind  int
	Zone  int
	Rate  float64 // see Settings.RatesListed
	State State
}

// ListUpdate is an update of the endpoint list, or the failure to get one.
type ListUpdate struct {
	Complete bool // replaces the old list; otherwise Hosts are the changed entries
	Failed   bool // the query failed; the old list stays in effect
	Hosts    []Host
}

// ListExpiry says whether the endpoint list may be too old to act on. While it is, nothing is sent,
// since listed endpoints may be draining or removed. Pending messages wait, within their time.
type ListExpiry struct{ Expired bool }

// Restored is a message that an earlier process of this relay accepted, with what is known of its
// attempts. An attempt whose outcome was never recorded counts as one that may have run.
type Restored struct {
	Arrival
	Attempts     int           // already made
	Timeout      time.Duration // of the last attempt
	MayHaveRun   bool          // an attempt may have run
	FirstRunAgo  time.Duration // since the first such attempt was sent
	FirstRunZone int           // zone of the first such attempt's host
	InFlight     *InFlightCall // last attempt, if still in flight at the process that hands over; otherwise nil
}

// KnownOutage says that an earlier process of this relay saw the start of an outage of a host, but
// not its end. It follows the first ListUpdate.
type KnownOutage struct {
	Host     string
	BaseRate float64 // Health.Base of that outage
}

// RetryAfter says that an earlier process of this relay, or a relay whose messages this one took
// over, was asked to send a host nothing for the remaining time from now.
type RetryAfter struct {
	Host      string
	Remaining time.Duration
}

// ManualChange says that operators disabled an endpoint, or enabled it again. It holds whatever the
// list says of that endpoint, before and after.
type ManualChange struct {
	Host     string
	Disabled bool
	Ago      time.Duration // since the operators' request
}

// Reconfigured replaces all settings. Pending messages keep the class and the number of attempts
// that they were accepted under, since their clients were informed of those.
type Reconfigured struct{ Settings Settings }

// Terms are the terms that a message was accepted under.
type Terms struct {
	Class    Class
	Attempts int // Settings.MaxAttempts at that time
}

// Woken is the wake-up that a Wake action asked for.
type Woken struct{}

func (Arrival) event()      {}
func (Restored) event()     {}
func (KnownOutage) event()  {}
func (ManualChange) event() {}
func (RetryAfter) event()   {}
func (Reconfigured) event() {}
func (Snapshot) event()     {}
func (Result) event()       {}
func (Withdrawn) event()    {}
func (ListUpdate) event()   {}
func (ListExpiry) event()   {}
func (Woken) event()        {}

// An Action is something the relay must do. The types below are the actions.
type Action interface{ action() }

// Send calls an endpoint with a message. The attempt ends as Timeout after the given time. Sends of
// one Step to one host share a call, as far as Kind.PerCall allows.
type Send struct {
	ID      string
	Host    string
	Timeout time.Duration
	// Before is the time by which a repeat must have been sent completely; later it must not be
	// sent, since the destination no longer drops it. 0 for no such limit.
	Before time.Duration
	Unit   UnitState // state of the host's unit, for logs and metrics
}

// Refuse ends a message that did not run or may safely be repeated. The client may submit it again,
// best after the given time.
type Refuse struct {
	ID    string
	After time.Duration
}

// Fail ends a message that may or may not have run.
type Fail struct{ ID string }

// Cancel abandons an attempt, which still gets its Result.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake asks for a Step with a Woken event after the given time.
type Wake struct{ After time.Duration }

// Subscribe asks for updates of the endpoint list.
type Subscribe struct{}

// Health says that an outage of a host began, or that the outage and the warm-up after it are over.
// The relay records it, and passes it to its next process as KnownOutage.
type Health struct {
	Host   string
	Unwell bool
	Base   float64 // messages per second served to this relay before the outage
}

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Wake) action()      {}
func (Subscribe) action() {}
func (Log) action()       {}
func (Health) action()    {}
