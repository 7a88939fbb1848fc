// Package rules judges a history: whether the rules of the platform were kept, and what was served. It reads the
// events in order and holds only what is still open, so that a run may be long.
package rules

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"strings"

	"larchrouter/internal/lab/history"
)

// Rule is the name of one.
type Rule string

// The rules. Each says what must hold; times have the slack of the protocol's page.
const (
	End      Rule = "end"      // a request that was read has its answer, a message that was taken on one end, in time
	Once     Rule = "once"     // and only one
	Twice    Rule = "twice"    // never two attempts of a message out at once
	Repeat   Rule = "repeat"   // what may have run is repeated, or handed back, only as its class allows
	Attempts Rule = "attempts" // no message has more than its attempts
	Wait     Rule = "wait"     // nothing goes to a destination while a wait lasts that it told
	Drain    Rule = "drain"    // nothing new goes to an endpoint that drains, is gone or out by hand
	Cold     Rule = "cold"     // no cold destination gets more calls than it may in slow start
	Own      Rule = "own"      // a call has what a client handed in, unchanged, at an endpoint of its destination
	Figures  Rule = "figures"  // /metrics tells the truth
	Process  Rule = "process"  // no process ends unasked or goes over a limit
	Strange  Rule = "strange"  // who sends what is no message, or nothing, gets an error or a close in time
)

// All are the rules, in the order of the pages.
var All = []Rule{End, Once, Twice, Repeat, Attempts, Wait, Drain, Cold, Own, Figures, Process, Strange}

// The slack of the protocol's page, in microseconds.
const (
	ms            = int64(1000)
	slack         = 50 * ms
	endSlack      = 300*ms + slack
	waitGrace     = 100*ms + slack
	restartGrace  = 1500 * ms // after a restart is ready again its notices are not overdue for so long
	metricsLag    = 500 * ms  // figures may be so old
	retention     = 5000 * ms // what has ended is remembered for so long
	maxEvents     = 40
	maxViolations = 20 // broken rules of a kind that are told in full
)

// Broken is one rule that was broken.
type Violation struct {
	Rule      Rule            `json:"rule"`
	T         int64           `json:"t"`
	Message   string          `json:"message,omitempty"`
	Processes []string        `json:"processes,omitempty"`
	Text      string          `json:"text"`
	Events    []history.Event `json:"lines,omitempty"` // of the history that show it
}

func (b Violation) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%8.3f s  %s: %s", float64(b.T)/1e6, b.Rule, b.Text)
	if b.Message != "" {
		fmt.Fprintf(&s, " (message %s)", b.Message)
	}
	if len(b.Processes) > 0 {
		fmt.Fprintf(&s, " [%s]", strings.Join(b.Processes, ", "))
	}
	return s.String()
}

// Owing is how many messages were taken on and have no end yet.
func (c *Checker) PendingMessages() (count int) {
	for _, message := range c.messages {
		if message.acceptedAt > 0 && message.deliveredAt == 0 && message.notice.T == 0 {
			count++
		}
	}
	return count
}

// Checker reads a history.
type Checker struct {
	terms       *history.Terms
	classes     map[string]*history.Class
	now         int64
	messages    map[string]*messageState
	calls       map[int64]*callState
	requests    map[string]*requestState
	relays      map[string]*relayState
	listChanges []history.Event // of the list
	// listDown is set during an outage of discovery; listUp is when the last one ended, 0 for never.
	discoveryDown   bool
	discoveryUpAt   int64
	queue           checkQueue
	report          Report
	longestDeadline int64 // deadline of a class
	lossy           bool  // what relays write may be seen by nobody
	lastDisruption  int64 // when something last began or ended that may have a message's relay be another
}

// New returns a checker that has seen nothing.
func New() *Checker {
	return &Checker{messages: map[string]*messageState{}, calls: map[int64]*callState{}, requests: map[string]*requestState{}, relays: map[string]*relayState{},
		classes: map[string]*history.Class{}, report: Report{Broken: map[Rule]int{}, Checked: map[Rule]int{}}}
}

// due is when something has to be looked at again.
type scheduledCheck struct {
	at  int64
	run func()
}

type checkQueue []scheduledCheck

func (d checkQueue) Len() int           { return len(d) }
func (d checkQueue) Less(i, j int) bool { return d[i].at < d[j].at }
func (d checkQueue) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *checkQueue) Push(x any)        { *d = append(*d, x.(scheduledCheck)) }
func (d *checkQueue) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (c *Checker) schedule(at int64, run func()) { heap.Push(&c.queue, scheduledCheck{at, run}) }

func (c *Checker) addViolation(rule Rule, t int64, message, text string, processes []string, events ...history.Event) {
	c.report.Broken[rule]++
	if c.report.Broken[rule] > maxViolations {
		return
	}
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.T, b.T) })
	c.report.Violations = append(c.report.Violations, Violation{rule, t, message, processes, text, events})
}

func (c *Checker) countCheck(rule Rule) { c.report.Checked[rule]++ }

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

// See takes in the next event.
func (c *Checker) Observe(e history.Event) {
	for len(c.queue) > 0 && c.queue[0].at <= e.T {
		next := heap.Pop(&c.queue).(scheduledCheck)
		c.now = next.at
		next.run()
	}
	c.now = e.T
	switch e.Kind {
	case history.Run:
		c.terms = e.Terms
		for dest, rate := range e.Terms.Rates {
			c.report.addLimit(dest, e.T, rate)
		}
		for i := range e.Terms.Classes {
			c.classes[e.Terms.Classes[i].Name] = &e.Terms.Classes[i]
			c.longestDeadline = max(c.longestDeadline, e.Terms.Classes[i].Deadline.Microseconds())
		}
	case history.Hand:
		c.messageSubmitted(e)
	case history.Heard:
		c.clientAnswered(e)
	case history.Left:
		c.clientDisconnected(e)
	case history.Call:
		c.callArrived(e)
	case history.Answer, history.Gone:
		c.callEnded(e)
	case history.Notice:
		c.noticeReceived(e)
	case history.Change:
		c.listChanges = append(c.listChanges, e)
	case history.Asked:
		c.relay(e.Relay).listRequested(e)
	case history.Untold:
		c.listCallFailed(e)
	case history.ListDown, history.ListUp:
		c.discoveryDown, c.discoveryUpAt = e.Kind == history.ListDown, e.T
	case history.Told:
		c.listSent(e)
	case history.ByHand:
		p := c.relay(e.Relay)
		if e.How == "enable" {
			delete(p.disabledAt, e.Endpoint)
		} else if e.Status/100 == 2 && p.disabledAt[e.Endpoint] == 0 {
			p.disabledAt[e.Endpoint] = e.T
		}
	case history.Proc:
		c.processChanged(e)
	case history.Fault:
		c.lossy = c.lossy || e.State == history.Lossy
		if c.lossy {
			c.lastDisruption = e.T
		}
	case history.Limit:
		c.report.addLimit(e.Dest, e.T, e.Figures["rate"])
	case history.Metrics:
		if c.report.InFlight == nil {
			c.report.InFlight = newSeries(true)
		}
		c.report.InFlight.add(e.T, e.Figures["svc.in_flight"])
		c.updateTakeovers(e)
		c.metricsRead(e)
	case history.Sample:
		c.checkUsage(e)
	case history.Up:
		c.countCheck(Cold)
	case history.Fell:
		c.slowStartExceeded(e)
	case history.Stranger:
		c.strangerEnded(e)
	case history.Bad:
		c.addViolation(Own, e.T, "", fmt.Sprintf("%s was sent what it could not read: %s", e.Endpoint, e.Text), []string{e.Relay}, e)
	}
}
