package choice

import (
	"fmt"
	"time"
)

// UnitState is the health of a unit.
type UnitState int

// The states.
const (
	Healthy    UnitState = iota
	Suspect              // gets single trials only
	Recovering           // gets calls within the budget of a cold destination
)

// String returns the state as logs and metrics name it.
func (s UnitState) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Suspect:
		return "suspect"
	case Recovering:
		return "recovering"
	}
	return fmt.Sprintf("UnitState(%d)", int(s))
}

// ChangeReason is why the state of a unit changed.
type ChangeReason int

// The reasons.
const (
	ChangedByFailures ChangeReason = iota
	ChangedByRefusals              // refusals only, for longer than a rate limit explains
	ChangedBySilence               // calls without an answer
	ChangedByRestart               // an earlier process recorded an outage without its end
	ChangedByAnswer                // an answer to a trial
	ChangedByWarmUp                // the time to warm up is over
	ChangedByList                  // the endpoints that refused calls were replaced
)

// String returns the reason as logs name it.
func (r ChangeReason) String() string {
	switch r {
	case ChangedByFailures:
		return "failures"
	case ChangedByRefusals:
		return "refusals only"
	case ChangedBySilence:
		return "silent"
	case ChangedByRestart:
		return "unwell before the restart"
	case ChangedByAnswer:
		return "answered"
	case ChangedByWarmUp:
		return "warm"
	case ChangedByList:
		return "endpoints replaced"
	}
	return fmt.Sprintf("ChangeReason(%d)", int(r))
}

// UnitChange says that the state of a unit changed, and what was known of the unit at that moment. It
// is for logs and metrics.
type UnitChange struct {
	Dest          int
	Unit          string
	From, To      UnitState
	Reason        ChangeReason
	InState       time.Duration // time spent in From
	SinceServed   time.Duration // since the last attempt served, or since the unit was listed
	BadOutcomes   int           // failures and refusals since then
	CallsInFlight int
	OldestCall    time.Duration // since the oldest of them was sent
	AnswerTook    time.Duration // time that the answer took which led to the change; 0 for no answer
	RecentCalls   int           // calls of this relay in the overload window that ends now
	ColdBudget    float64       // calls that this relay may send in an overload window just after a return
}

func (UnitChange) action() {}

// String returns the change as one line for operators.
func (e UnitChange) String() string {
	if e.To == Suspect {
		return fmt.Sprintf("destination %d unit %s suspect: %v", e.Dest, e.Unit, e.Reason)
	}
	return fmt.Sprintf("destination %d unit %s %v", e.Dest, e.Unit, e.To)
}

// changeState moves a unit to another state, and emits the change.
func (c *Chooser) changeState(u *unit, d *dest, to UnitState, reason ChangeReason) {
	c.changeStateByAnswer(u, d, to, reason, unitAnswer{sinceServed: c.now - u.lastServed, badOutcomes: u.badStreak})
}

// unitAnswer is an answer that changes the state of a unit, with what was known before it.
type unitAnswer struct {
	took        time.Duration
	sinceServed time.Duration // since the answer before
	badOutcomes int           // unit.badStreak before the answer
}

// changeStateByAnswer is changeState for a change that an answer leads to.
func (c *Chooser) changeStateByAnswer(u *unit, d *dest, to UnitState, reason ChangeReason, answer unitAnswer) {
	budget, _ := c.coldBudget(u, 0)
	change := UnitChange{Dest: d.id, Unit: u.name, From: u.state, To: to, Reason: reason, InState: c.now - u.stateSince,
		SinceServed: answer.sinceServed, BadOutcomes: answer.badOutcomes, CallsInFlight: len(u.calls),
		AnswerTook: answer.took, RecentCalls: int(c.countWithin(u.recentSends, c.settings.Rules.OverloadWindow)),
		ColdBudget: budget}
	if len(u.calls) > 0 {
		change.OldestCall = c.now - u.calls[0].sentAt
	}
	u.state, u.stateSince, u.slowByRefusals = to, c.now, false
	c.emit(change)
}
