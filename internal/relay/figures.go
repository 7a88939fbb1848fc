package relay

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet/lease"
)

// ending is how a message ended, as the figures tell it.
type ending int

const (
	servedEnd ending = iota
	refusedEnd
	failedEnd
)

// ends counts the messages of one class by their ends.
type ends [failedEnd + 1]int

// figures are what this process has done and holds, for the operators. Each is counted where it
// happens. They have a lock of their own, so that whoever reads them asks nothing of the loop.
type figures struct {
	mu                       sync.Mutex
	classes                  map[string]*ends
	attempts                 int                // messages written whole to endpoints
	unwritten                [withheldKinds]int // messages whose call was not written, by the reason
	inFlight                 int
	known, excluded          int // endpoints
	reloadsOK, reloadsFailed int
	list                     discovery.Lease
	listExpired              bool
	agreed                   *lease.Status // by what the relay acts; nil for one that shares nothing
	copies                   copiesFigures
	backlog                  backlogFigures
}

// backlogFigures are what waits on disk.
type backlogFigures struct {
	on                bool
	messages, refused int
	bytes             int64
	broken            bool // the folder cannot be opened
}

// copiesFigures are how copies stand.
type copiesFigures struct {
	on      bool     // the relay copies what it holds
	owned   int      // estates that it writes
	short   int      // of them, with too few holders
	waiting int      // records that something waits for
	atRisk  int      // messages that are on the own disk alone
	copies  int      // of others
	of      []string // relays whose estates this one writes, with enough holders that have them
}

// declare has a class stand among the figures before its first message ends.
func (f *figures) declare(class string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.of(class)
}

func (f *figures) of(class string) *ends {
	if f.classes == nil {
		f.classes = map[string]*ends{}
	}
	if f.classes[class] == nil {
		f.classes[class] = new(ends)
	}
	return f.classes[class]
}

func (f *figures) ended(class string, how ending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.of(class)[how]++
}

func (f *figures) attempted(messages int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts += messages
}

// withheld counts messages whose call was not written.
func (f *figures) withheld(reason withheld, messages int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unwritten[reason] += messages
}

func (f *figures) reloaded(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.reloadsFailed++
	} else {
		f.reloadsOK++
	}
}

// listed tells how the list stands.
func (f *figures) listed(l discovery.Lease, expired bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list, f.listExpired = l, expired
}

// agree tells by what the relay acts now.
func (f *figures) agree(a lease.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agreed = &a
}

// copied tells how copies stand now.
func (f *figures) copied(c copiesFigures) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = c
}

// waiting tells what waits on disk now.
func (f *figures) waiting(o *overflow) {
	var b backlogFigures
	if o != nil {
		b = backlogFigures{on: true, messages: o.len(), refused: o.refused, broken: o.broken()}
	}
	if o != nil && o.store != nil {
		b.bytes = o.store.Bytes()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backlog = b
}

// hold tells what there is now.
func (f *figures) hold(inFlight, known, excluded int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight, f.known, f.excluded = inFlight, known, excluded
}

// text has a figure a line.
func (f *figures) text() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		n := f.classes[name]
		fmt.Fprintf(&b, "svc.requests.%s.served=%d\nsvc.requests.%s.refused=%d\nsvc.requests.%s.failed=%d\n",
			name, n[servedEnd], name, n[refusedEnd], name, n[failedEnd])
	}
	fmt.Fprintf(&b, "svc.attempts=%d\nsvc.in_flight=%d\nsvc.endpoints_known=%d\nsvc.endpoints_excluded=%d\n"+
		"svc.reloads_ok=%d\nsvc.reloads_failed=%d\n",
		f.attempts, f.inFlight, f.known, f.excluded, f.reloadsOK, f.reloadsFailed)
	for reason := notWithheld + 1; reason < withheldKinds; reason++ {
		fmt.Fprintf(&b, "svc.withheld.%v=%d\n", reason, f.unwritten[reason])
	}
	if l := f.list; !l.Confirmed.IsZero() {
		fmt.Fprintf(&b, "svc.list.age_ms=%d\nsvc.list.calls_failed=%d\nsvc.list.expired=%d\n",
			time.Since(l.Confirmed).Milliseconds(), l.Failures, oneIf(f.listExpired))
	}
	if a := f.agreed; a != nil {
		fmt.Fprintf(&b, "svc.fleet.turn=%d\nsvc.fleet.generation=%d\nsvc.fleet.joined=%d\nsvc.fleet.mode=%d\n", a.Revision, a.Current, a.Next, a.Mode)
	}
	if c := f.copies; c.on {
		fmt.Fprintf(&b, "svc.estates.owned=%d\nsvc.estates.short=%d\nsvc.estates.waiting=%d\nsvc.estates.at_risk=%d\nsvc.estates.copies=%d\n",
			c.owned, c.short, c.waiting, c.atRisk, c.copies)
		for _, name := range c.of {
			fmt.Fprintf(&b, "svc.estates.of.%s=1\n", name)
		}
	}
	if w := f.backlog; w.on {
		fmt.Fprintf(&b, "svc.backlog.messages=%d\nsvc.backlog.bytes=%d\nsvc.backlog.refused=%d\nsvc.backlog.shut=%d\n",
			w.messages, w.bytes, w.refused, oneIf(w.broken))
	}
	return b.Bytes()
}

// oneIf is a condition as a figure.
func oneIf(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
