package choice

// State without decisions: what a Chooser remembers, and checks of its settings.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// message is one message until its final answer and its last outcome.
type message struct {
	Arrival
	class        *Class // that it came under
	maxAttempts  int    // attempts, likewise
	dest         *dest
	deadline     time.Duration // deadline
	arrivedAt    time.Duration // the Step that heard of it
	createdAt    time.Duration // due less the class's deadline: first handed in
	attempts     int
	timeout      time.Duration // of the last try
	call         *call         // out now
	mayHaveRun   bool          // an attempt may have run
	firstRunAt   time.Duration // the first such attempt went out
	firstRunZone int
	lastHost     *host
	uncertainAt  time.Duration // time of the last unsure outcome; its key rests after it
	ended        bool          // answered or withdrawn
	overShare    bool          // its tenant's share was used up
	restored     bool          // an earlier process took it on
	// As it waits: its place among those of its destination and, while it is open, of its key; when it was
	// queued, as a number; the time of its final answer, and its place by that.
	sliceIndex, queueNumber, heapIndex int
	keyLinks                           chainLinks[message]
	answerAt                           time.Duration
}

// call is one call out; sends of one turn to one host may share it.
type call struct {
	host          *host
	sentAt        time.Duration
	messages      []*message // outcomes still due
	cancelled     bool       // called off
	resumedNumber int        // number at the process that made it; 0 for this one
}

// host is one endpoint.
type host struct {
	Host
	dest       *dest
	unit       *unit
	inFlight   int
	preference float64       // this relay's own liking, by chance
	failures   int           // in a row
	retryAt    time.Duration // after failures
	// restUntil is when it is called again after it refused as one that drains, before the list says so.
	pauseUntil  time.Duration
	recentSends []time.Duration // while it is cold after operators gave it back
}

// health of a unit.
type health int

const (
	healthy    health = iota
	suspect           // single trials only
	recovering        // within the budget for a cold destination
)

// unit is what health, limits and waits hang on: a destination, or a route where routes are apart.
type unit struct {
	name           string
	createdAt      time.Duration
	listedRate     float64 // as the list has it
	knownRate      float64 // calls a second from all relays, 0 if unknown: by the list, then by answers
	hasReports     bool    // answers bear reports
	sharesCalls    bool    // a call takes more than one message
	state          health
	stateSince     time.Duration // of the state
	retryAfter     time.Duration // told
	pauseUntil     time.Duration // own
	recentFailures uint          // recent outcomes, a bit set for each failure
	servedStreak   int           // answers served in a row
	sawErrors      bool          // errors answered were among them
	mayHaveRun     bool          // failures that may have run were seen in this outage
	trialAt        time.Duration // next trial
	failedTrials   int           // trials failed in a row
	badStreak      int           // failures and refusals since then
	connRefusedAt  time.Duration // a connection to it was refused
	lastServed     time.Duration // or first listed
	calls          []*call
	recentSends    []time.Duration // in the last Fall or second
	latencySec     float64         // smoothed latency, seconds
	servedRate     float64         // smoothed rate served to this relay, messages a second
	baseRate       float64         // served when the outage began
	pace           float64         // calls a second this relay allows itself; 0 for no limit
	paceAt         time.Duration   // last time that limit or tokens were brought up to date
	paceCutAt      time.Duration
	tokens         float64
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
	refusalStreak int      // refusals in a row
	retrySuccess  *float64 // of its kind
	pauseUntil    time.Duration
	timeoutStreak int // time-outs in a row with nothing served since
	// See index: when it was first heard of and came to have messages, as numbers; calls out at its units;
	// the turn up to which its paces are brought up to date; endpoints avoided.
	knownNumber, liveNumber, unitCalls, pacedStep, excluded, schedule, heapIndex int
	deferredUntil                                                                time.Duration // while parked
	// blocked is a time before which none of those that wait, up to the one queued as blockedTo, may go to the
	// endpoints of blockedAt, if nothing happens to the destination or to their keys.
	blockedUntil          time.Duration
	blockedThrough        int
	blockedHosts          []*host
	orderLinks, liveLinks chainLinks[dest]
	changed, listCheckDue bool
}

// line is the order of one key.
type keyQueue struct {
	key        string
	messages   linkedList[message]
	pauseUntil time.Duration
	heapIndex  int
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	index
	settings        Settings
	now             time.Duration
	maxTimeout      time.Duration // maximal timeout of the oracle
	minAim          time.Duration
	messages        map[string]*message
	dests           map[int]*dest
	hosts           map[string]*host
	keyQueues       map[string]*keyQueue
	inFlight        int
	pending         int
	wakeAt          time.Duration // the next wake-up asked for
	rand            *rand.Rand
	checkInterval   time.Duration // between looks
	retrySuccess    []float64     // by kind: share served of the calls to destinations that refused the last one
	pooledLatencies latencyTable  // of all destinations together, for those that have few samples yet
	subscribeAt     time.Duration // ask for list changes then; below 0 for never
	actions         []Action
	tenantShares    []tenantShare            // by tenant
	disabled        map[string]bool          // endpoints that operators took out
	enabledAt       map[string]time.Duration // when operators gave an endpoint back
	// listExpired is set while nothing may be sent, for the list may be too old.
	listExpired bool
}

// note remembers whether the last outcome was a failure.
func (u *unit) recordOutcome(failed bool) {
	u.recentFailures = u.recentFailures << 1 & (1<<outcomeHistory - 1)
	if failed {
		u.recentFailures |= 1
	}
}

// sent counts the calls within a span until now.
func (c *Chooser) countWithin(sends []time.Duration, span time.Duration) float64 {
	n := 0.0
	for _, t := range sends {
		if c.now-t <= span {
			n++
		}
	}
	return n
}

// part of a host in the budget of its unit: all endpoints on the list that do not drain have the same.
func (h *host) unitShare() float64 {
	ready := 0
	for _, other := range h.dest.hosts {
		if other.unit == h.unit && other.State == Ready {
			ready++
		}
	}
	return 1 / float64(max(1, ready))
}

// spread has a table use buckets of another width; each one's samples stay together, at their mean.
func (t *latencyTable) rebucket(width time.Duration) {
	if t.width == width {
		return
	}
	old := *t
	t.width, t.outdated, t.bestTimeout, t.p98 = width, true, 0, 0
	t.counts, t.sums = make([]float64, buckets), make([]float64, buckets)
	for i, count := range old.counts {
		if count > 0 {
			to := min(int(old.sums[i]/count/width.Seconds()), buckets-1)
			t.counts[to] += count
			t.sums[to] += old.sums[i]
		}
	}
}

// remove deletes one element.
func without[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}

// Check tells which setting is out of its range.
func (s *Settings) Check() error {
	switch {
	case s.Workers < 1:
		return fmt.Errorf("Workers is %d, must be at least 1", s.Workers)
	case s.Fleet < 1:
		return fmt.Errorf("Fleet is %d, must be at least 1", s.Fleet)
	case s.MaxAttempts < 1:
		return fmt.Errorf("MaxAttempts is %d, must be at least 1", s.MaxAttempts)
	case s.MaxPending < 0:
		return fmt.Errorf("MaxHeld is %d, must be at least 0 (0 for no limit)", s.MaxPending)
	case s.Tick <= 0:
		return fmt.Errorf("Tick is %v, must be above 0", s.Tick)
	case s.Rules.WarmUp <= 0 || s.Rules.OverloadWindow <= 0:
		return fmt.Errorf("Rules.Cold is %v and Rules.Fall %v, both must be above 0", s.Rules.WarmUp, s.Rules.OverloadWindow)
	case len(s.Classes) == 0:
		return fmt.Errorf("Classes is empty, must hold at least one")
	}
	for i, class := range s.Classes {
		if class.Effect == Keyed && class.Window <= 0 {
			return fmt.Errorf("Classes[%d]: Window is %v, must be above 0 where repeats are dropped", i, class.Window)
		}
		if class.Aim <= 0 || class.Deadline < class.Aim {
			return fmt.Errorf("Classes[%d]: Aim is %v, must be above 0 and at most Deadline %v", i, class.Aim, class.Deadline)
		}
		if class.Worth < 0 || class.LateShare < 0 || class.LateShare > 1 {
			return fmt.Errorf("Classes[%d]: Worth is %v and LateShare %v, must be at least 0 and within 0 to 1",
				i, class.Worth, class.LateShare)
		}
	}
	return nil
}
