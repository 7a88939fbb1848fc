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
	ms        = int64(1000)
	slack     = 50 * ms
	endSlack  = 300*ms + slack
	waitGrace = 100*ms + slack
	restart   = 1500 * ms // after a restart is ready again its notices are not overdue for so long
	lag       = 500 * ms  // figures may be so old
	keepFor   = 5000 * ms // what has ended is remembered for so long
	linesMost = 40
	shownMost = 20 // broken rules of a kind that are told in full
)

// Broken is one rule that was broken.
type Broken struct {
	Rule      Rule            `json:"rule"`
	T         int64           `json:"t"`
	Message   string          `json:"message,omitempty"`
	Processes []string        `json:"processes,omitempty"`
	Text      string          `json:"text"`
	Lines     []history.Event `json:"lines,omitempty"` // of the history that show it
}

func (b Broken) String() string {
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
func (c *Checker) Owing() (n int) {
	for _, m := range c.msgs {
		if m.taken > 0 && m.delivered == 0 && m.notice.At == 0 {
			n++
		}
	}
	return n
}

// Checker reads a history.
type Checker struct {
	terms   *history.Terms
	classes map[string]*history.Class
	now     int64
	msgs    map[string]*msg
	calls   map[int64]*call
	wants   map[string]*want
	procs   map[string]*process
	changes []history.Event // of the list
	// listDown is set during an outage of discovery; listUp is when the last one ended, 0 for never.
	listDown bool
	listUp   int64
	due      dues
	report   Report
	longest  int64 // deadline of a class
	lossy    bool  // what relays write may be seen by nobody
	trouble  int64 // when something last began or ended that may have a message's relay be another
}

// New returns a checker that has seen nothing.
func New() *Checker {
	return &Checker{msgs: map[string]*msg{}, calls: map[int64]*call{}, wants: map[string]*want{}, procs: map[string]*process{},
		classes: map[string]*history.Class{}, report: Report{Broken: map[Rule]int{}, Looked: map[Rule]int{}}}
}

// due is when something has to be looked at again.
type due struct {
	at   int64
	what func()
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (c *Checker) later(at int64, what func()) { heap.Push(&c.due, due{at, what}) }

func (c *Checker) broken(rule Rule, t int64, message, text string, procs []string, lines ...history.Event) {
	c.report.Broken[rule]++
	if c.report.Broken[rule] > shownMost {
		return
	}
	slices.SortStableFunc(lines, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	c.report.Shown = append(c.report.Shown, Broken{rule, t, message, procs, text, lines})
}

func (c *Checker) looked(rule Rule) { c.report.Looked[rule]++ }

func (c *Checker) proc(name string) *process {
	p := c.procs[name]
	if p == nil {
		p = &process{told: map[string]int64{}, banned: map[string]int64{}, waits: map[int][]span{}, counts: map[string]*counter{}}
		for _, name := range []string{"served", "refused", "failed", "attempts"} {
			p.counts[name] = &counter{}
		}
		c.procs[name] = p
	}
	return p
}

// See takes in the next event.
func (c *Checker) See(e history.Event) {
	for len(c.due) > 0 && c.due[0].at <= e.At {
		next := heap.Pop(&c.due).(due)
		c.now = next.at
		next.what()
	}
	c.now = e.At
	switch e.Kind {
	case history.Run:
		c.terms = e.Terms
		for dest, rate := range e.Terms.Rates {
			c.report.limit(dest, e.At, rate)
		}
		for i := range e.Terms.Classes {
			c.classes[e.Terms.Classes[i].Name] = &e.Terms.Classes[i]
			c.longest = max(c.longest, e.Terms.Classes[i].Deadline.Microseconds())
		}
	case history.RequestSent:
		c.hand(e)
	case history.AnswerReceived:
		c.heard(e)
	case history.ClientLeft:
		c.hungUp(e)
	case history.CallReceived:
		c.call(e)
	case history.CallAnswered, history.CallAbandoned:
		c.answered(e)
	case history.NoticeReceived:
		c.noticed(e)
	case history.ListChanged:
		c.changes = append(c.changes, e)
	case history.ListRequested:
		c.proc(e.Relay).ask(e)
	case history.ListCallFailed:
		c.unanswered(e)
	case history.DiscoveryDown, history.DiscoveryUp:
		c.listDown, c.listUp = e.Kind == history.DiscoveryDown, e.At
	case history.ListSent:
		c.told(e)
	case history.OperatorCall:
		p := c.proc(e.Relay)
		if e.Detail == "enable" {
			delete(p.banned, e.Endpoint)
		} else if e.Status/100 == 2 && p.banned[e.Endpoint] == 0 {
			p.banned[e.Endpoint] = e.At
		}
	case history.ProcessChanged:
		c.process(e)
	case history.Fault:
		c.lossy = c.lossy || e.State == history.Lossy
		if c.lossy {
			c.trouble = e.At
		}
	case history.DestRateChanged:
		c.report.limit(e.Dest, e.At, e.Values["rate"])
	case history.Metrics:
		if c.report.Held == nil {
			c.report.Held = newSeries(true)
		}
		c.report.Held.add(e.At, e.Values["svc.in_flight"])
		c.tookOver(e)
		c.figures(e)
	case history.Sample:
		c.sample(e)
	case history.DestUp:
		c.looked(Cold)
	case history.SlowStartOverloaded:
		c.fell(e)
	case history.Stranger:
		c.stranger(e)
	case history.InvalidCall:
		c.broken(Own, e.At, "", fmt.Sprintf("%s was sent what it could not read: %s", e.Endpoint, e.Text), []string{e.Relay}, e)
	}
}
