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
	refusals                          [refusalReasonCount]int
	clientListener                    *limitListener // nil until clients may connect
	listLease                         discovery.Lease
	listExpired                       bool
	fleetState                        *lease.Status // agreed state that the relay applies; nil for one outside a fleet
	copies                            replicationMetrics
	backlog                           backlogMetrics
	units                             unitMetrics
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
func (m *relayMetrics) declareClass(class string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countsOf(class)
}

// countsOf returns the counts of a class. The caller holds the mutex.
func (m *relayMetrics) countsOf(class string) *outcomeCounts {
	if m.classes == nil {
		m.classes = map[string]*outcomeCounts{}
	}
	if m.classes[class] == nil {
		m.classes[class] = new(outcomeCounts)
	}
	return m.classes[class]
}

// countOutcome counts a message of a class that has ended.
func (m *relayMetrics) countOutcome(class string, outcome messageOutcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countsOf(class)[outcome]++
}

// countAttempts counts messages that were written completely to an endpoint.
func (m *relayMetrics) countAttempts(messages int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts += messages
}

// countWithheld counts messages whose call was not written.
func (m *relayMetrics) countWithheld(reason withholdReason, messages int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withheldMessages[reason] += messages
}

// countRefusal counts a message that was not accepted.
func (m *relayMetrics) countRefusal(reason refusalReason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusals[reason]++
}

// countReload counts a reload of the configuration, which failed if err is not nil.
func (m *relayMetrics) countReload(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.reloadsFailed++
	} else {
		m.reloadsOK++
	}
}

// setListLease sets the state of the list's lease.
func (m *relayMetrics) setListLease(lease discovery.Lease, expired bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listLease, m.listExpired = lease, expired
}

// setFleetState sets the agreed state that the relay applies.
func (m *relayMetrics) setFleetState(state lease.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleetState = &state
}

// setReplication sets the state of the copies.
func (m *relayMetrics) setReplication(replication replicationMetrics) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copies = replication
}

// setBacklog sets the state of the messages on disk.
func (m *relayMetrics) setBacklog(overflow *overflow) {
	var backlog backlogMetrics
	if overflow != nil {
		backlog = backlogMetrics{enabled: true, messages: overflow.len(), refused: overflow.refused, unavailable: overflow.broken()}
	}
	if overflow != nil && overflow.store != nil {
		backlog.bytes = overflow.store.Bytes()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backlog = backlog
}

// setTotals sets the numbers of pending messages, of endpoints and of excluded endpoints.
func (m *relayMetrics) setTotals(pending, known, excluded int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingMessages, m.endpointsKnown, m.endpointsExcluded = pending, known, excluded
}

// observeConnections has the metrics include the connections of clients.
func (m *relayMetrics) observeConnections(clients *limitListener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clientListener = clients
}

// text returns the metrics, one per line.
func (m *relayMetrics) text() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var buf bytes.Buffer
	if m.clientListener != nil {
		m.clientListener.usage().appendText(&buf)
	}
	readProcessMemory().appendText(&buf)
	for reason := notRefused + 1; reason < refusalReasonCount; reason++ {
		fmt.Fprintf(&buf, "svc.turned_away.%v=%d\n", reason, m.refusals[reason])
	}
	for _, name := range slices.Sorted(maps.Keys(m.classes)) {
		counts := m.classes[name]
		fmt.Fprintf(&buf, "svc.requests.%s.served=%d\nsvc.requests.%s.refused=%d\nsvc.requests.%s.failed=%d\n",
			name, counts[outcomeServed], name, counts[outcomeRefused], name, counts[outcomeFailed])
	}
	fmt.Fprintf(&buf, "svc.attempts=%d\nsvc.in_flight=%d\nsvc.endpoints_known=%d\nsvc.endpoints_excluded=%d\n"+
		"svc.reloads_ok=%d\nsvc.reloads_failed=%d\n",
		m.attempts, m.pendingMessages, m.endpointsKnown, m.endpointsExcluded, m.reloadsOK, m.reloadsFailed)
	for reason := notWithheld + 1; reason < withholdReasonCount; reason++ {
		fmt.Fprintf(&buf, "svc.withheld.%v=%d\n", reason, m.withheldMessages[reason])
	}
	m.units.appendText(&buf)
	if lease := m.listLease; !lease.Confirmed.IsZero() {
		fmt.Fprintf(&buf, "svc.list.age_ms=%d\nsvc.list.calls_failed=%d\nsvc.list.expired=%d\n",
			time.Since(lease.Confirmed).Milliseconds(), lease.Failures, boolMetric(m.listExpired))
	}
	if state := m.fleetState; state != nil {
		fmt.Fprintf(&buf, "svc.fleet.turn=%d\nsvc.fleet.generation=%d\nsvc.fleet.joined=%d\nsvc.fleet.mode=%d\n", state.Revision, state.Current, state.Next, state.Mode)
	}
	if replication := m.copies; replication.enabled {
		fmt.Fprintf(&buf, "svc.estates.owned=%d\nsvc.estates.short=%d\nsvc.estates.waiting=%d\nsvc.estates.at_risk=%d\nsvc.estates.copies=%d\n",
			replication.ownedGroups, replication.underReplicated, replication.pendingRecords, replication.messagesAtRisk, replication.storedCopies)
		for _, name := range replication.copiedRelays {
			fmt.Fprintf(&buf, "svc.estates.of.%s=1\n", name)
		}
	}
	if backlog := m.backlog; backlog.enabled {
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
