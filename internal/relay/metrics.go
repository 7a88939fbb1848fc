package relay

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet/hold"
)

// ending is how a message ended, as the figures tell it.
type messageOutcome int

const (
	outcomeServed messageOutcome = iota
	outcomeRefused
	outcomeFailed
)

// ends counts the messages of one class by their ends.
type outcomeCounts [outcomeFailed + 1]int

// figures are what this process has done and holds, for the operators. Each is counted where it
// happens. They have a lock of their own, so that whoever reads them asks nothing of the loop.
type relayMetrics struct {
	mu                                sync.Mutex
	classes                           map[string]*outcomeCounts
	attempts                          int                      // messages written whole to endpoints
	withheldMessages                  [withholdReasonCount]int // messages whose call was not written, by the reason
	inFlight                          int
	endpointsKnown, endpointsExcluded int // endpoints
	reloadsOK, reloadsFailed          int
	listLease                         discovery.Lease
	listExpired                       bool
	fleetState                        *hold.Acts // by what the relay acts; nil for one that shares nothing
	copies                            replicationMetrics
	backlog                           backlogMetrics
}

// backlogFigures are what waits on disk.
type backlogMetrics struct {
	enabled           bool
	messages, refused int
	bytes             int64
	unavailable       bool // the folder cannot be opened
}

// copiesFigures are how copies stand.
type replicationMetrics struct {
	enabled         bool     // the relay copies what it holds
	ownedGroups     int      // estates that it writes
	underReplicated int      // of them, with too few holders
	pendingRecords  int      // records that something waits for
	messagesAtRisk  int      // messages that are on the own disk alone
	storedCopies    int      // of others
	copiedRelays    []string // relays whose estates this one writes, with enough holders that have them
}

// declare has a class stand among the figures before its first message ends.
func (f *relayMetrics) declareClass(class string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countsOf(class)
}

func (f *relayMetrics) countsOf(class string) *outcomeCounts {
	if f.classes == nil {
		f.classes = map[string]*outcomeCounts{}
	}
	if f.classes[class] == nil {
		f.classes[class] = new(outcomeCounts)
	}
	return f.classes[class]
}

func (f *relayMetrics) countOutcome(class string, outcome messageOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countsOf(class)[outcome]++
}

func (f *relayMetrics) countAttempts(messages int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts += messages
}

// withheld counts messages whose call was not written.
func (f *relayMetrics) countWithheld(reason withholdReason, messages int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withheldMessages[reason] += messages
}

func (f *relayMetrics) countReload(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.reloadsFailed++
	} else {
		f.reloadsOK++
	}
}

// listed tells how the list stands.
func (f *relayMetrics) setListLease(lease discovery.Lease, expired bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listLease, f.listExpired = lease, expired
}

// agree tells by what the relay acts now.
func (f *relayMetrics) setFleetState(state hold.Acts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleetState = &state
}

// copied tells how copies stand now.
func (f *relayMetrics) setReplication(replication replicationMetrics) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = replication
}

// waiting tells what waits on disk now.
func (f *relayMetrics) setBacklog(overflow *overflow) {
	var backlog backlogMetrics
	if overflow != nil {
		backlog = backlogMetrics{enabled: true, messages: overflow.len(), refused: overflow.refused, unavailable: overflow.broken()}
	}
	if overflow != nil && overflow.store != nil {
		backlog.bytes = overflow.store.Bytes()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backlog = backlog
}

// hold tells what there is now.
func (f *relayMetrics) setTotals(inFlight, known, excluded int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight, f.endpointsKnown, f.endpointsExcluded = inFlight, known, excluded
}

// text has a figure a line.
func (f *relayMetrics) text() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var buf bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(f.classes)) {
		counts := f.classes[name]
		fmt.Fprintf(&buf, "svc.requests.%s.served=%d\nsvc.requests.%s.refused=%d\nsvc.requests.%s.failed=%d\n",
			name, counts[outcomeServed], name, counts[outcomeRefused], name, counts[outcomeFailed])
	}
	fmt.Fprintf(&buf, "svc.attempts=%d\nsvc.in_flight=%d\nsvc.endpoints_known=%d\nsvc.endpoints_excluded=%d\n"+
		"svc.reloads_ok=%d\nsvc.reloads_failed=%d\n",
		f.attempts, f.inFlight, f.endpointsKnown, f.endpointsExcluded, f.reloadsOK, f.reloadsFailed)
	for reason := notWithheld + 1; reason < withholdReasonCount; reason++ {
		fmt.Fprintf(&buf, "svc.withheld.%v=%d\n", reason, f.withheldMessages[reason])
	}
	if lease := f.listLease; !lease.Confirmed.IsZero() {
		fmt.Fprintf(&buf, "svc.list.age_ms=%d\nsvc.list.calls_failed=%d\nsvc.list.expired=%d\n",
			time.Since(lease.Confirmed).Milliseconds(), lease.Failures, boolMetric(f.listExpired))
	}
	if state := f.fleetState; state != nil {
		fmt.Fprintf(&buf, "svc.fleet.turn=%d\nsvc.fleet.generation=%d\nsvc.fleet.joined=%d\nsvc.fleet.mode=%d\n", state.Turn, state.Force, state.Next, state.Mode)
	}
	if replication := f.copies; replication.enabled {
		fmt.Fprintf(&buf, "svc.estates.owned=%d\nsvc.estates.short=%d\nsvc.estates.waiting=%d\nsvc.estates.at_risk=%d\nsvc.estates.copies=%d\n",
			replication.ownedGroups, replication.underReplicated, replication.pendingRecords, replication.messagesAtRisk, replication.storedCopies)
		for _, name := range replication.copiedRelays {
			fmt.Fprintf(&buf, "svc.estates.of.%s=1\n", name)
		}
	}
	if backlog := f.backlog; backlog.enabled {
		fmt.Fprintf(&buf, "svc.backlog.messages=%d\nsvc.backlog.bytes=%d\nsvc.backlog.refused=%d\nsvc.backlog.shut=%d\n",
			backlog.messages, backlog.bytes, backlog.refused, boolMetric(backlog.unavailable))
	}
	return buf.Bytes()
}

// oneIf is a condition as a figure.
func boolMetric(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
