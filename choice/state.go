package choice

// This file holds a Chooser's state, without decisions, and the check of its settings.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// message is one message until its final answer and the outcome of its last attempt.
type message struct {
	Arrival
	class        *Class // class as it was when the message was accepted
	maxAttempts  int    // limit on attempts as it was then
	dest         *dest
	deadline     time.Duration
	arrivedAt    time.Duration // time of the Step that received it
	createdAt    time.Duration // deadline less the class's Deadline: when a relay first received it
	attempts     int
	timeout      time.Duration // of the last attempt
	call         *call         // in flight; nil for none
	mayHaveRun   bool          // an attempt may have run
	firstRunAt   time.Duration // when the first such attempt was sent
	firstRunZone int
	lastHost     *host         // of the last attempt that ended
	uncertainAt  time.Duration // time of the last uncertain outcome, after which its key pauses; below 0 for none
	ended        bool          // answered or withdrawn
	overShare    bool          // its tenant's share was used up on arrival
	restored     bool          // accepted by an earlier process
	// Position while waiting: sliceIndex among the messages of its destination, queueNumber as a
	// sequence number of when it was queued, heapIndex in byAnswerTime. keyLinks hold its place
	// among those of its key until it ends; answerAt is the time of its final answer.
	sliceIndex, queueNumber, heapIndex int
	keyLinks                           chainLinks[message]
	answerAt                           time.Duration
}

// call is one call in flight. Messages sent to one host in the same Step may share it.
type call struct {
	host          *host
	sentAt        time.Duration
	messages      []*message // messages whose outcomes are not known yet
	cancelled     bool       // a Cancel was sent
	resumedNumber int        // number at the process that made the call; 0 if made by this one
}

// host is one endpoint.
type host struct {
	Host
	dest        *dest
	unit        *unit
	inFlight    int
	preference  float64         // random, so that relays prefer different hosts
	failures    int             // in a row
	failedAt    time.Duration   // time of the last failure
	retryAt     time.Duration   // earliest time of use at no extra cost after failures
	pauseUntil  time.Duration   // no calls before this time, after a refusal that suggests that it drains
	refusedAt   time.Duration   // time of the last refusal without a load report
	recentSends []time.Duration // send times while it is cold after operators enabled it
}

// unit is what health, limits and waits are kept for: a destination, or one of its separate routes.
type unit struct {
	name           string
	createdAt      time.Duration
	listedRate     float64 // calls per second accepted from all relays, as listed
	knownRate      float64 // calls per second accepted from all relays: as listed, then as reported; 0 if unknown
	hasReports     bool    // its answers carry load reports
	sharesCalls    bool    // a call may carry more than one message
	state          UnitState
	stateSince     time.Duration // when the state began
	retryAfter     time.Duration // no calls before this time, as the unit asked
	pauseUntil     time.Duration // no calls before this time, by this relay's own choice
	recentFailures uint          // bits of the last outcomes, 1 for a failure
	servedStreak   int           // attempts served in a row
	sawErrors      bool          // the failures included Error outcomes
	mayHaveRun     bool          // in this outage there were failures after which a message may have run
	trialAt        time.Duration // time of the next trial
	failedTrials   int           // in a row
	badStreak      int           // failures and refusals since the last attempt served
	refusals       int           // refusals without a load report since the last attempt served
	slowByRefusals bool          // in a slow start that refusals began, and nothing was served since
	connRefusedAt  time.Duration // when it last refused a connection
	lastServed     time.Duration // time of the last attempt served; initially createdAt
	wellUntil      time.Duration // time up to which it is not known to have been out
	timedOut       bool          // calls have ended without an answer since lastServed
	timedOutSince  time.Duration // when the oldest of them was sent
	calls          []*call
	recentSends    []time.Duration // send times of the calls within WarmUp, at least within a second
	latencySec     float64         // smoothed latency in seconds
	servedRate     float64         // smoothed rate served to this relay, messages per second
	baseRate       float64         // servedRate when the outage began
	pace           float64         // calls per second this relay allows itself; 0 for no limit
	paceAt         time.Duration   // when pace and tokens were last updated
	paceCutAt      time.Duration   // when a refusal last lowered the pace
	tokens         float64         // calls that the pace allows now
}

// dest is one destination.
type dest struct {
	id            int
	kind          Kind
	hosts         []*host
	units         []*unit
	waiting       indexedSlice[message]
	inFlight      int
	lastSentAt    time.Duration
	latencies     latencyTable
	refusalStreak int           // refusals since the last attempt served
	retrySuccess  *float64      // entry of its kind in Chooser.retrySuccess
	pauseUntil    time.Duration // no calls before this time, by this relay's own choice
	timeoutStreak int           // time-outs in a row with nothing served in between
	// For index: position in the order of becoming known, and in that of entering liveDests; number of calls in
	// flight at the units; number of Steps up to which the paces are updated; number of excluded endpoints; whether
	// it is idle, active or deferred (destIdle ...); index in deferredDests.
	knownNumber, liveNumber, unitCalls, pacedStep, excluded, schedule, heapIndex int
	deferredUntil                                                                time.Duration // end of the deferral
	// Before blockedUntil, none of the waiting messages with a queue number of up to blockedThrough
	// may go to any of blockedHosts, unless something happens to the destination or to the keys of
	// its messages. A blockedUntil of 0 means that nothing is known.
	blockedUntil          time.Duration
	blockedThrough        int
	blockedHosts          []*host
	orderLinks, liveLinks chainLinks[dest]
	changed, listCheckDue bool
}

// keyQueue holds the pending messages of one key in order.
type keyQueue struct {
	key        string
	messages   linkedList[message]
	pauseUntil time.Duration // after an uncertain outcome
	heapIndex  int           // in pausedKeys
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	index
	settings        Settings
	now             time.Duration // of the current Step
	maxTimeout      time.Duration // longest time-out that is derived from latencies
	minAim          time.Duration // shortest aim of all classes
	messages        map[string]*message
	dests           map[int]*dest
	hosts           map[string]*host
	keyQueues       map[string]*keyQueue
	inFlight        int           // calls
	pending         int           // messages without a final answer
	wakeAt          time.Duration // time of the next wake-up asked for
	rand            *rand.Rand
	checkInterval   time.Duration // time between checks without events
	retrySuccess    []float64     // by kind: share served of the calls to destinations that refused the call before
	pooledLatencies latencyTable  // of all destinations together, for those with few samples
	subscribeAt     time.Duration // when to ask for list updates; below 0 for never
	actions         []Action
	tenantShares    []tenantShare            // by tenant
	disabled        map[string]bool          // endpoints that operators disabled
	enabledAt       map[string]time.Duration // when operators enabled an endpoint again
	listExpired     bool                     // the list may be too old, so nothing may be sent
}

// recordOutcome records whether the last attempt failed.
func (u *unit) recordOutcome(failed bool) {
	u.recentFailures = u.recentFailures << 1 & (1<<outcomeHistory - 1)
	if failed {
		u.recentFailures |= 1
	}
}

// countWithin counts the calls within a time span before now.
func (c *Chooser) countWithin(sends []time.Duration, span time.Duration) float64 {
	n := 0.0
	for _, t := range sends {
		if c.now-t <= span {
			n++
		}
	}
	return n
}

// unitShare returns a host's even share, among the listed endpoints that don't drain, of its unit's budget.
func (h *host) unitShare() float64 {
	ready := 0
	for _, other := range h.dest.hosts {
		if other.unit == h.unit && other.State == Ready {
			ready++
		}
	}
	return 1 / float64(max(1, ready))
}

// rebucket changes the width of the buckets. Samples of one bucket stay together, at their mean.
func (t *latencyTable) rebucket(width time.Duration) {
	if t.width == width {
		return
	}
	old := *t
	t.width, t.outdated, t.bestTimeout, t.p98 = width, true, 0, 0
	t.counts, t.sums = make([]float64, buckets), make([]float64, buckets)
	for i, count := range old.counts {
		if count > 0 {
			bucket := min(int(old.sums[i]/count/width.Seconds()), buckets-1)
			t.counts[bucket] += count
			t.sums[bucket] += old.sums[i]
		}
	}
}

// without returns a slice with all elements equal to one deleted, in place.
func without[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}

// Check returns an error for a setting that is out of range.
func (s *Settings) Check() error {
	switch {
	case s.Workers < 1:
		return fmt.Errorf("Workers is %d, must be at least 1", s.Workers)
	case s.Fleet < 1:
		return fmt.Errorf("Fleet is %d, must be at least 1", s.Fleet)
	case s.MaxAttempts < 1:
		return fmt.Errorf("MaxAttempts is %d, must be at least 1", s.MaxAttempts)
	case s.MaxPending < 0:
		return fmt.Errorf("MaxPending is %d, must be at least 0 (0 for no limit)", s.MaxPending)
	case s.Tick <= 0:
		return fmt.Errorf("Tick is %v, must be above 0", s.Tick)
	case s.Rules.WarmUp <= 0 || s.Rules.OverloadWindow <= 0:
		return fmt.Errorf("Rules.WarmUp is %v and Rules.OverloadWindow %v, both must be above 0", s.Rules.WarmUp,
			s.Rules.OverloadWindow)
	case len(s.Classes) == 0:
		return fmt.Errorf("Classes is empty, must have at least one entry")
	}
	for i, class := range s.Classes {
		if class.Effect == Keyed && class.Window <= 0 {
			return fmt.Errorf("Classes[%d]: Window is %v, must be above 0 where repeats are dropped", i, class.Window)
		}
		if class.Aim <= 0 || class.Deadline < class.Aim {
			return fmt.Errorf("Classes[%d]: Aim is %v, must be above 0 and at most Deadline %v", i, class.Aim,
				class.Deadline)
		}
		if class.Worth < 0 || class.LateShare < 0 || class.LateShare > 1 {
			return fmt.Errorf("Classes[%d]: Worth is %v and LateShare %v, must be at least 0 and within 0 to 1",
				i, class.Worth, class.LateShare)
		}
	}
	return nil
}
