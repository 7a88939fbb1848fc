package choice

import "time"

// An Event tells a Chooser what happened. The types below are the events.
type Event interface{ event() }

// Arrival is a new message; the Chooser owes it one final answer.
type Arrival struct {
	ID    string
	Class int
	Dest  int
	Left  time.Duration // how long it may still be delivered
	Key   string        // key of the order; empty for none
	// Tenant is the place of its sender in Settings.Tenants; below 0 for one without a share.
	Tenant int
	Terms  *Terms // it came under; nil for those of its class as the settings stand
}

// Result ends one attempt.
type Result struct {
	ID         string
	Host       string
	Attempt    int
	Outcome    Outcome
	Took       time.Duration // since the attempt went out
	RetryAfter time.Duration // told with Refused: send nothing there for so long; 0 if none was told
	Done       bool          // the message is finished; no answer is owed any more
	// Stale says, with Reset, that a connection kept from before broke as soon as it was
	// written to: the machine at its other end had given it up, which says nothing of the host.
	StaleConn bool
	Report    []float64 // load report, if any
}

// Withdrawn says that nobody wants a message any more.
type Withdrawn struct{ ID string }

// State is an endpoint's state on the list.
type State int

// The states; none tells of health.
const (
	Removed State = iota
	Ready
	Draining
)

// Host is one endpoint as the list has it.
type Host struct {
	Addr  string
	Dest  int
	Kind  int
	Zone  int
	Rate  float64 // see Settings.Listed
	State State
}

// Listing is news of the endpoint list.
type ListUpdate struct {
	Complete bool // replaces the old list; else only changed entries
	Failed   bool // asking for the list failed; the old one stands
	Hosts    []Host
}

// ListExpiry says whether the endpoint list may be acted on. While it may not, nothing is sent: endpoints of it may drain or be
// gone. What is held waits, within its time.
type ListExpiry struct{ Expired bool }

// Restored hands in a message that an earlier process of this relay had taken
// on, with what is known of its attempts. An attempt whose outcome was never
// recorded counts as one that may have run.
type Restored struct {
	Arrival
	Attempts     int           // used up
	Timeout      time.Duration // of the last of them
	MayHaveRun   bool          // one of them may have run
	FirstRunAgo  time.Duration // since the first such attempt went out
	FirstRunZone int           // zone of its host
	InFlight     *InFlightCall // the last of them still runs, in the process that hands over; nil if none does
}

// Unwell says that an earlier process of this relay saw an outage at a host whose
// end it did not see. It follows the first Listing.
type KnownOutage struct {
	Host     string
	BaseRate float64 // as Health told it
}

// Waits says that an earlier process of this relay, or one whose messages it took up, was told to send a host nothing for
// so long from now.
type RetryAfter struct {
	Host      string
	Remaining time.Duration
}

// ByHand says that operators took an endpoint out, or gave it back. It holds whatever the list says
// of that endpoint, before and after.
type ManualChange struct {
	Host     string
	Disabled bool
	Ago      time.Duration // since they said so
}

// Reconfigured replaces the settings as a whole. What is open keeps the class and the number of
// attempts that it came under: its client was told of those.
type Reconfigured struct{ Settings Settings }

// Terms are what a message came under.
type Terms struct {
	Class    Class
	Attempts int // Settings.MaxAttempts then
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

// Send calls an endpoint with a message. The attempt ends as Timeout after the
// given time. Sends of one Step to one host share a call as far as
// Kind.PerCall allows.
type Send struct {
	ID      string
	Host    string
	Timeout time.Duration
	// Before is the time by which a repeat must have gone out whole, or it must not go: after that
	// nobody drops it. 0 for one that may go at any time.
	Before time.Duration
}

// Refuse ends a message: it did not run, and the client may safely come again,
// best after the given time.
type Refuse struct {
	ID    string
	After time.Duration
}

// Fail ends a message; whether it ran is not known.
type Fail struct{ ID string }

// Cancel calls an attempt off; it still gets its Result.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake asks for a Step with a Woken event after a while.
type Wake struct{ After time.Duration }

// Subscribe asks for changes of the endpoint list.
type Subscribe struct{}

// Health tells that a host began or ceased to be in an outage, or cold after one.
// A relay keeps it, and hands it to its successor as Unwell.
type Health struct {
	Host   string
	Unwell bool
	Base   float64 // messages a second served to this relay before
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
