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

// messageOutcome is how a message ended, as the metrics report it.
type messageOutcome int

const (
	outcomeServed messageOutcome = iota
	outcomeRefused
	outcomeFailed
)

// outcomeCounts counts the messages of one class by their outcomes.
type outcomeCounts [outcomeFailed + 1]int

// relayMetrics are the counters and gauges of this process for operators. Each is updated where the event occurs.
// They have a lock of their own, so that reading them does not involve the loop.
type relayMetrics struct {
	mu                                sync.Mutex
	classes                           map[string]*outcomeCounts
	attempts                          int                      // messages written completely to endpoints
	withheldMessages                  [withholdReasonCount]int // messages whose call was not written, by reason
	pendingMessages                   int
	endpointsKnown, endpointsExcluded int // numbers of endpoints
	reloadsOK, reloadsFailed          int
	listLease                         discovery.Lease
	listExpired                       bool
	fleetState                        *hold.Acts // agreed state that the relay applies; nil for one outside a fleet
	copies                            replicationMetrics
	backlog                           backlogMetrics
}

// backlogMetrics describe the messages on disk.
type backlogMetrics struct {
	enabled           bool
	messages, refused int
	bytes             int64
	unavailable       bool // the directory cannot be opened
}

// replicationMetrics describe the copies that relays store for each other.
type replicationMetrics struct {
	enabled         bool     // the relay has its pending messages copied
	ownedGroups     int      // replication groups that it writes to
	underReplicated int      // of these, the ones with too few replicas
	pendingRecords  int      // records whose confirmation something waits for
	messagesAtRisk  int      // messages stored on this relay's disk alone
	storedCopies    int      // copies stored for other relays
	copiedRelays    []string // relays to whose groups this one writes, with enough replicas that are up to date
}

// declareClass makes a class appear in the metrics before its first message ends.
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

// countWithheld counts messages whose call was not written.
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

// setListLease sets the state of the list's lease.
func (f *relayMetrics) setListLease(lease discovery.Lease, expired bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listLease, f.listExpired = lease, expired
}

// setFleetState sets the agreed state that the relay applies.
func (f *relayMetrics) setFleetState(state hold.Acts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleetState = &state
}

// setReplication sets the state of the copies.
func (f *relayMetrics) setReplication(replication replicationMetrics) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = replication
}

// setBacklog sets the state of the messages on disk.
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

// setTotals sets the numbers of pending messages, of endpoints and of excluded endpoints.
func (f *relayMetrics) setTotals(pending, known, excluded int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingMessages, f.endpointsKnown, f.endpointsExcluded = pending, known, excluded
}

// text returns the metrics, one per line.
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
		f.attempts, f.pendingMessages, f.endpointsKnown, f.endpointsExcluded, f.reloadsOK, f.reloadsFailed)
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

// boolMetric returns 1 for true and 0 for false.
func boolMetric(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
