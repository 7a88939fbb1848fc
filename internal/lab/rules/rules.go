// Package rules judges a history: whether the rules of the platform were kept, and what was served. It reads the
// events in order and keeps only what is still open, so memory does not grow with the length of a run.
package rules

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"

	"larchrouter/internal/lab/history"
)

// Rule is the name of a rule.
type Rule string

// The rules. Each comment says what must hold; times are subject to the slack constants below.
const (
	End      Rule = "end"      // a request that was read is answered, and an accepted message ends, in time
	Once     Rule = "once"     // an accepted message has exactly one end
	Twice    Rule = "twice"    // a message never has two attempts in flight at once
	Repeat   Rule = "repeat"   // what may have taken effect is repeated, or rejected for the client to repeat, only as its class allows
	Attempts Rule = "attempts" // no message has more than the allowed number of attempts
	Wait     Rule = "wait"     // nothing is sent to a destination during a wait (Retry-After) that it gave
	Drain    Rule = "drain"    // nothing new is sent to an endpoint that drains, has been removed or was manually disabled
	Cold     Rule = "cold"     // no cold destination gets more calls than slow start allows
	Own      Rule = "own"      // a call contains what a client submitted, unchanged, at an endpoint of the message's destination
	Figures  Rule = "figures"  // the values on /metrics agree with what was observed
	Process  Rule = "process"  // no process ends unexpectedly or exceeds a resource limit
	Strange  Rule = "strange"  // a peer that sends no valid message, or nothing, gets an error or a close in time
)

// All lists the rules in the order in which reports show them.
var All = []Rule{End, Once, Twice, Repeat, Attempts, Wait, Drain, Cold, Own, Figures, Process, Strange}

// The protocol's tolerances, in microseconds, and limits on what is stored and shown.
const (
	ms            = int64(1000)
	slack         = 50 * ms        // general tolerance
	endSlack      = 300*ms + slack // tolerance for the end of a message
	waitGrace     = 100*ms + slack // time after a wait is written in which calls may still arrive
	restartGrace  = 1500 * ms      // time after a restarted relay is ready in which its notices are not overdue
	metricsLag    = 500 * ms       // greatest age of metrics
	retention     = 5000 * ms      // time for which ended messages and calls are remembered
	maxEvents     = 40             // bound on the events that are stored with a message
	maxViolations = 20             // violations of each rule that are stored in full
)

// Violation is one breach of a rule.
type Violation struct {
	Rule      Rule            `json:"rule"`
	T         int64           `json:"t"`
	Message   string          `json:"message,omitempty"`
	Processes []string        `json:"processes,omitempty"`
	Text      string          `json:"text"`
	Events    []history.Event `json:"lines,omitempty"` // the events that show it
}

func (v Violation) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%8.3f s  %s: %s", float64(v.T)/1e6, v.Rule, v.Text)
	if v.Message != "" {
		fmt.Fprintf(&s, " (message %s)", v.Message)
	}
	if len(v.Processes) > 0 {
		fmt.Fprintf(&s, " [%s]", strings.Join(v.Processes, ", "))
	}
	return s.String()
}

// PendingMessages returns the number of messages that were accepted and have no end yet.
func (c *Checker) PendingMessages() (count int) {
	for _, message := range c.messages {
		if message.acceptedAt > 0 && message.deliveredAt == 0 && message.notice.At == 0 {
			count++
		}
	}
	return count
}

// Checker judges a history, event by event. It is not safe for concurrent use.
type Checker struct {
	terms       *history.Terms
	classes     map[string]*history.Class
	now         int64
	messages    map[string]*messageState
	calls       map[int64]*callState
	requests    map[string]*requestState
	relays      map[string]*relayState
	listChanges []history.Event // changes of the discovery list
	// discoveryDown is set during an outage of discovery; discoveryUpAt is when the last outage ended, 0 for never.
	discoveryDown   bool
	discoveryUpAt   int64
	queue           checkQueue
	report          Report
	longestDeadline int64 // longest deadline of a class, in microseconds
	lossy           bool  // a link fault has occurred: what relays write may be lost
	lastDisruption  int64 // when something last began or ended that may move messages to another relay
}

// New returns a checker that has observed no event.
func New() *Checker {
	return &Checker{messages: map[string]*messageState{}, calls: map[int64]*callState{}, requests: map[string]*requestState{}, relays: map[string]*relayState{},
		classes: map[string]*history.Class{}, report: Report{Broken: map[Rule]int{}, Checked: map[Rule]int{}}}
}

// scheduledCheck is a function to be run at a time in microseconds.
type scheduledCheck struct {
	at  int64
	run func()
}

// checkQueue is a heap of checks, the earliest first.
type checkQueue []scheduledCheck

func (q checkQueue) Len() int           { return len(q) }
func (q checkQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q checkQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *checkQueue) Push(x any)        { *q = append(*q, x.(scheduledCheck)) }
func (q *checkQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule has a function run once the history reaches the given time.
func (c *Checker) schedule(at int64, run func()) { heap.Push(&c.queue, scheduledCheck{at, run}) }

// addViolation counts a violation, and stores the first maxViolations of each rule.
func (c *Checker) addViolation(rule Rule, t int64, message, text string, processes []string, events ...history.Event) {
	c.report.Broken[rule]++
	if c.report.Broken[rule] > maxViolations {
		return
	}
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	c.report.Violations = append(c.report.Violations, Violation{rule, t, message, processes, text, events})
}

// countCheck counts that a rule was checked.
func (c *Checker) countCheck(rule Rule) { c.report.Checked[rule]++ }

// relay returns the state of a relay, which it creates if necessary.
func (c *Checker) relay(name string) *relayState {
	relay := c.relays[name]
	if relay == nil {
		relay = &relayState{reportedAt: map[string]int64{}, disabledAt: map[string]int64{}, waits: map[int][]timeSpan{}, counters: map[string]*metricBounds{}}
		for _, name := range []string{"served", "refused", "failed", "attempts"} {
			relay.counters[name] = &metricBounds{}
		}
		c.relays[name] = relay
	}
	return relay
}

// Observe processes the next event. Events must be passed in the order of their times.
func (c *Checker) Observe(e history.Event) {
	for len(c.queue) > 0 && c.queue[0].at <= e.At {
		next := heap.Pop(&c.queue).(scheduledCheck)
		c.now = next.at
		next.run()
	}
	c.now = e.At
	switch e.Kind {
	case history.Run:
		c.terms = e.Terms
		for dest, rate := range e.Terms.Rates {
			c.report.addLimit(dest, e.At, rate)
		}
		for i := range e.Terms.Classes {
			c.classes[e.Terms.Classes[i].Name] = &e.Terms.Classes[i]
			c.longestDeadline = max(c.longestDeadline, e.Terms.Classes[i].Deadline.Microseconds())
		}
	case history.RequestSent:
		c.messageSubmitted(e)
	case history.AnswerReceived:
		c.clientAnswered(e)
	case history.ClientLeft:
		c.clientDisconnected(e)
	case history.CallReceived:
		c.callArrived(e)
	case history.CallAnswered, history.CallAbandoned:
		c.callEnded(e)
	case history.NoticeReceived:
		c.noticeReceived(e)
	case history.ListChanged:
		c.listChanges = append(c.listChanges, e)
	case history.ListRequested:
		c.relay(e.Relay).listRequested(e)
	case history.ListCallFailed:
		c.listCallFailed(e)
	case history.DiscoveryDown, history.DiscoveryUp:
		c.discoveryDown, c.discoveryUpAt = e.Kind == history.DiscoveryDown, e.At
	case history.ListSent:
		c.listSent(e)
	case history.OperatorCall:
		relay := c.relay(e.Relay)
		if e.Detail == "enable" {
			delete(relay.disabledAt, e.Endpoint)
		} else if e.Status/100 == 2 && relay.disabledAt[e.Endpoint] == 0 {
			relay.disabledAt[e.Endpoint] = e.At
		}
	case history.ProcessChanged:
		c.processChanged(e)
	case history.Fault:
		c.lossy = c.lossy || e.State == history.Lossy
		if c.lossy {
			c.lastDisruption = e.At
		}
	case history.DestRateChanged:
		c.report.addLimit(e.Dest, e.At, e.Values["rate"])
	case history.Metrics:
		if c.report.PendingOverTime == nil {
			c.report.PendingOverTime = newSeries(true)
		}
		c.report.PendingOverTime.add(e.At, e.Values["svc.in_flight"])
		c.updateTakeovers(e)
		c.metricsRead(e)
	case history.Sample:
		c.checkUsage(e)
	case history.DestUp:
		c.countCheck(Cold)
	case history.SlowStartOverloaded:
		c.slowStartExceeded(e)
	case history.Stranger:
		c.strangerEnded(e)
	case history.InvalidCall:
		c.addViolation(Own, e.At, "", fmt.Sprintf("%s was sent what it could not read: %s", e.Endpoint, e.Text), []string{e.Relay}, e)
	}
}
