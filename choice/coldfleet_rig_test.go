package choice

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// outageKind is what a destination does during an outage.
type outageKind int

const (
	connectionsRefused outageKind = iota // new connections fail at once, and open calls break
	callsUnanswered                      // calls wait and are never answered
	callsAnsweredLate                    // calls wait, and are executed and answered at the return
	callsResetLate                       // calls wait, and their connections break at the return
	connectionsLate                      // open calls wait until the return, and new connections never come up
	callsFail                            // most calls are answered with an error
	callsRefused                         // all calls are turned away, some with a time to wait
	outageKindCount
)

func (k outageKind) String() string {
	return [...]string{"connections refused", "calls unanswered", "calls answered late", "calls reset late",
		"connections late", "calls fail", "calls refused"}[k]
}

// waitKind is what a destination that refuses all calls tells about when to call again.
type waitKind int

const (
	waitsOrNone waitKind = iota // half of the refusals tell a wait that ends in the outage
	noWaits
	shortWaits // each tells one of 0.2 to 1 s
	waitKindCount
)

func (k waitKind) String() string { return [...]string{"some waits", "no waits", "short waits"}[k] }

// coldFleet is a fleet of Choosers whose destination has one outage and returns cold.
type coldFleet struct {
	relays, endpoints, workers int
	rate                       float64 // the destination's capacity and its listed rate, in calls per second
	load                       float64 // arrivals before and during the outage, as a multiple of the rate
	loadAfter                  float64 // arrivals after the return
	skew                       float64 // of the relays' traffic; 0 for equal traffic
	kind                       outageKind
	healthySpan, outageSpan    time.Duration
	restartPercent             int           // percentage of the relays that restart
	restartAfter               time.Duration // time of the restarts after the start of the outage
	effect                     Effect
	unlisted                   bool // the list has no rates
	reports                    bool // served calls report the destination's rate
	waits                      waitKind
	seed                       uint64
}

// String has all that a play needs to be repeated.
func (p coldFleet) String() string {
	type plain coldFleet
	return fmt.Sprintf("%+v", plain(p))
}

const (
	coldFleetTick         = 20 * ms
	coldFleetDeadline     = 24 * time.Second
	coldFleetErrorShare   = 0.8 // of the calls in an outage of kind callsFail
	coldFleetConnectLimit = 1500 * ms
)

func (p coldFleet) settings(index int) Settings {
	s := settings()
	s.Index, s.Fleet, s.Workers, s.MaxPending, s.MaxAttempts, s.Tick = index, p.relays, p.workers, 0, 8, 5*ms
	s.Kinds, s.WorthHalves = []Kind{{PerCall: 1}}, true
	s.RatesListed, s.ReportLeftIndex = !p.unlisted, -1
	s.Rules.OverloadWindow, s.Rules.WarmUp, s.Rules.ColdShare, s.Rules.OverloadFactor = 2*time.Second,
		12*time.Second, 0.29, 1.5
	s.Classes = []Class{{Name: "order-msg", Aim: 3 * time.Second, Deadline: coldFleetDeadline, Worth: 1,
		LateShare: 0.3, Effect: p.effect, Window: 15 * time.Second}}
	return s
}

// coldFleetRelay is a Chooser with what its journal and its sockets would hold.
type coldFleetRelay struct {
	chooser      *Chooser
	trafficShare float64
	due          []coldFleetResult
	events       []Event
	wakeAt       time.Duration
	deadlines    map[string]time.Duration
	outages      map[string]float64
	restartAt    time.Duration
	told         bool // a call failed or was refused during the outage, or the relay saw the outage
}

type coldFleetResult struct {
	at time.Duration
	Result
}

// coldCall is a call that reached the destination after its return.
type coldCall struct {
	at   time.Duration
	told bool // by a relay that had been told of the outage
}

// coldFleetPlay is the state of one play.
type coldFleetPlay struct {
	coldFleet
	t                    testing.TB
	random               *rand.Rand
	relays               []*coldFleetRelay
	outageAt, returnedAt time.Duration
	calls                []coldCall
	messages             int
}

func (p coldFleet) play(t testing.TB) *coldFleetPlay {
	s := &coldFleetPlay{coldFleet: p, t: t, random: rand.New(rand.NewPCG(p.seed, 0xc01d)),
		outageAt: p.healthySpan, returnedAt: p.healthySpan + p.outageSpan}
	trafficSum := 0.0
	for i := range p.relays {
		relay := &coldFleetRelay{trafficShare: math.Exp(p.skew * s.random.NormFloat64()),
			deadlines: map[string]time.Duration{}, outages: map[string]float64{}}
		trafficSum += relay.trafficShare
		if s.random.IntN(100) < p.restartPercent {
			relay.restartAt = s.outageAt + p.restartAfter + s.delay(200*ms)
		}
		s.relays = append(s.relays, relay)
		s.start(relay, i, 0)
	}
	for now := time.Duration(0); now < s.returnedAt+p.settings(0).Rules.WarmUp; now += coldFleetTick {
		load := p.load
		if now >= s.returnedAt {
			load = p.loadAfter
		}
		for i, relay := range s.relays {
			if relay.restartAt > 0 && now >= relay.restartAt {
				relay.restartAt = 0
				s.start(relay, i, now)
			}
			s.arrivals(relay, now, load*p.rate*relay.trafficShare/trafficSum)
			s.step(relay, now)
		}
	}
	return s
}

func (s *coldFleetPlay) delay(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

// start has a relay begin with what its journal holds.
func (s *coldFleetPlay) start(relay *coldFleetRelay, index int, now time.Duration) {
	c, err := New(s.settings(index), s.seed*1000+uint64(index)+uint64(now))
	if err != nil {
		s.t.Fatal(err)
	}
	list := ListUpdate{Complete: true}
	for i := range s.endpoints {
		list.Hosts = append(list.Hosts, Host{Addr: fmt.Sprint("h", i), Dest: 1, State: Ready, Rate: s.rate})
	}
	relay.chooser, relay.wakeAt, relay.due, relay.events = c, now, nil, []Event{list}
	for _, host := range slices.Sorted(maps.Keys(relay.outages)) {
		relay.events = append(relay.events, KnownOutage{Host: host, BaseRate: relay.outages[host]})
	}
	for _, id := range slices.Sorted(maps.Keys(relay.deadlines)) {
		relay.events = append(relay.events, Restored{Arrival: Arrival{ID: id, Dest: 1, Left: relay.deadlines[id] - now}})
	}
}

func (s *coldFleetPlay) arrivals(relay *coldFleetRelay, now time.Duration, rate float64) {
	for more := rate * coldFleetTick.Seconds(); more > 0; more-- {
		if s.random.Float64() < more {
			s.messages++
			id := fmt.Sprint(s.messages)
			relay.deadlines[id] = now + coldFleetDeadline
			relay.events = append(relay.events, Arrival{ID: id, Dest: 1, Left: coldFleetDeadline})
		}
	}
}

// takeDue removes and returns the results that are due.
func (s *coldFleetPlay) takeDue(relay *coldFleetRelay, now time.Duration) (events []Event) {
	relay.due = slices.DeleteFunc(relay.due, func(e coldFleetResult) bool {
		if e.at > now {
			return false
		}
		events = append(events, e.Result)
		relay.told = relay.told || e.Outcome != Served && s.inOutage(now)
		return true
	})
	return events
}

func (s *coldFleetPlay) step(relay *coldFleetRelay, now time.Duration) {
	events := append(relay.events, s.takeDue(relay, now)...)
	relay.events = nil
	if relay.wakeAt <= now {
		events, relay.wakeAt = append(events, Woken{}), math.MaxInt64
	}
	if len(events) == 0 {
		return
	}
	for _, a := range relay.chooser.Step(now, events) {
		switch a := a.(type) {
		case Wake:
			relay.wakeAt = now + a.After
		case Refuse:
			delete(relay.deadlines, a.ID)
		case Fail:
			delete(relay.deadlines, a.ID)
		case Cancel:
			s.cancel(relay, a.ID, now)
		case Health:
			s.recordHealth(relay, a, now)
		case Send:
			s.send(relay, a, now)
		}
	}
}

func (s *coldFleetPlay) recordHealth(relay *coldFleetRelay, a Health, now time.Duration) {
	if a.Unwell {
		relay.outages[a.Host] = a.Base
		relay.told = relay.told || s.inOutage(now)
	} else {
		delete(relay.outages, a.Host)
	}
}
