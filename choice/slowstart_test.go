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

// slowStartCase is one play of a fleet whose destination returns cold, after an outage or enabled
// by operators.
type slowStartCase struct {
	fleet             int
	rate              float64         // listed for each unit, in calls per second
	load              float64         // arrivals, as a multiple of the rate
	skew              float64         // of the relays' traffic; 0 for equal traffic
	restartPercent    int             // percentage of the relays that restart during the warm-up; at least one relay if above 0
	restartTogether   bool            // they restart at the same moment
	restartGaps       []time.Duration // time from each restart to a further one
	manual            bool            // disabled and enabled by operators
	secondOutageAfter time.Duration   // time from the return to a second outage; 0 for none
	secondOutageSpan  time.Duration   // length of the second outage
	routes            int             // separate routes of the destination; 0 for one endpoint
	perCall           int             // messages in a call
	rateFactor        float64         // factor by which the listed rate changes during the warm-up; 0 for no change
	seed              uint64
}

const (
	slowStartTick        = 20 * ms
	slowStartHealthySpan = 4 * time.Second  // before the outage
	slowStartDelay       = 200 * ms         // within which all relays learn of operators' changes and of the list
	slowStartDeadline    = 12 * time.Second // of a message
)

func (p slowStartCase) settings(index int) Settings {
	s := settings()
	s.Index, s.Fleet, s.Workers, s.MaxPending, s.Tick = index, p.fleet, 64, 0, slowStartTick
	s.Kinds = []Kind{{PerCall: max(1, p.perCall), SeparateRoutes: p.routes > 0}}
	s.Rules.OverloadWindow, s.Rules.WarmUp, s.Rules.ColdShare, s.Rules.OverloadFactor = 2*time.Second,
		12*time.Second, 0.29, 1.5
	s.Classes = []Class{{Name: "a", Aim: 3 * time.Second, Deadline: slowStartDeadline, Worth: 1, Effect: Safe}}
	return s
}

// slowStartRelay is a Chooser with what its journal and its sockets would hold.
type slowStartRelay struct {
	chooser       *Chooser
	trafficShare  float64 // of the fleet's traffic
	due           []slowStartEvent
	wakeAt        time.Duration
	pending       map[string]time.Duration // deadlines
	outages       map[string]float64
	manualChanges map[string]slowStartEvent // last change of each endpoint by operators
	restartAt     []time.Duration
	knowsOutage   bool
}

type slowStartEvent struct {
	at    time.Duration
	event Event
}

func (relay *slowStartRelay) schedule(at time.Duration, e Event) {
	relay.due = append(relay.due, slowStartEvent{at, e})
}

// takeDue removes and returns the events that are due.
func (relay *slowStartRelay) takeDue(now time.Duration) (events []Event) {
	relay.due = slices.DeleteFunc(relay.due, func(e slowStartEvent) bool {
		if e.at <= now {
			events = append(events, e.event)
			if change, ok := e.event.(ManualChange); ok && change.Ago == 0 {
				relay.manualChanges[change.Host] = slowStartEvent{now, change}
			}
		}
		return e.at <= now
	})
	return events
}

// slowStartPlay is the state of one play.
type slowStartPlay struct {
	slowStartCase
	t            testing.TB
	random       *rand.Rand
	relays       []*slowStartRelay
	returnedAt   time.Duration // when the destination returned
	end          time.Duration
	outages      [][2]time.Duration
	rateChangeAt time.Duration              // of the listed rate
	calls        map[string][]time.Duration // during the warm-up, by endpoint
	messages     int
}

func (p slowStartCase) play(t testing.TB) *slowStartPlay {
	s := &slowStartPlay{slowStartCase: p, t: t, random: rand.New(rand.NewPCG(p.seed, 77)),
		calls: map[string][]time.Duration{}}
	s.returnedAt = slowStartHealthySpan + time.Duration((5+5*s.random.Float64())*float64(time.Second))
	s.outages = [][2]time.Duration{{slowStartHealthySpan, s.returnedAt}}
	warmUp := p.settings(0).Rules.WarmUp
	if p.secondOutageAfter > 0 {
		s.outages = append(s.outages, [2]time.Duration{s.returnedAt + p.secondOutageAfter,
			s.returnedAt + p.secondOutageAfter + p.secondOutageSpan})
		s.returnedAt += p.secondOutageAfter + p.secondOutageSpan
	}
	s.end = s.returnedAt + warmUp
	s.rateChangeAt = s.returnedAt + time.Duration(s.random.Float64()*float64(warmUp))
	restartAt := s.returnedAt + time.Duration((s.random.Float64()*8-1)*float64(time.Second))
	trafficSum := 0.0
	for i := range p.fleet {
		relay := &slowStartRelay{trafficShare: math.Exp(p.skew * s.random.NormFloat64()),
			pending: map[string]time.Duration{}, outages: map[string]float64{},
			manualChanges: map[string]slowStartEvent{}}
		trafficSum += relay.trafficShare
		s.relays = append(s.relays, relay)
		s.start(relay, i, 0)
		if at := s.rateChangeAt + s.delay(); p.rateFactor > 0 {
			relay.schedule(at, s.listing(s.rateChangeAt))
		}
		for _, o := range s.outages {
			if p.manual {
				for _, host := range s.hosts() {
					relay.schedule(o[0]+s.delay(), ManualChange{Host: host, Disabled: true})
					relay.schedule(o[1]+s.delay(), ManualChange{Host: host})
				}
			}
		}
		if s.random.IntN(100) < p.restartPercent || i == 0 && p.restartPercent > 0 {
			at := restartAt
			if !p.restartTogether {
				at = s.returnedAt + time.Duration(s.random.Float64()*float64(warmUp))
			}
			relay.restartAt = []time.Duration{at}
			for _, gap := range p.restartGaps {
				at += gap
				relay.restartAt = append(relay.restartAt, at)
			}
		}
	}
	for now := time.Duration(0); now < s.end; now += slowStartTick {
		for i, relay := range s.relays {
			if len(relay.restartAt) > 0 && now >= relay.restartAt[0] {
				relay.restartAt = relay.restartAt[1:]
				s.start(relay, i, now)
			}
			s.arrivals(relay, now, p.load*p.rate*float64(max(1, p.perCall))*relay.trafficShare/trafficSum)
			s.step(relay, now)
		}
	}
	return s
}

func (s *slowStartPlay) delay() time.Duration {
	return time.Duration(s.random.Int64N(int64(slowStartDelay)))
}

func (s *slowStartPlay) hosts() []string {
	hosts := []string{"h0"}
	for i := 1; i < s.routes; i++ {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	return hosts
}

func (s *slowStartPlay) listing(at time.Duration) ListUpdate {
	l := ListUpdate{Complete: true}
	for _, host := range s.hosts() {
		l.Hosts = append(l.Hosts, Host{Addr: host, Dest: 1, State: Ready, Rate: s.rateAt(at)})
	}
	return l
}

// start has a relay begin with what its journal holds.
func (s *slowStartPlay) start(relay *slowStartRelay, index int, now time.Duration) {
	c, err := New(s.settings(index), s.seed*1000+uint64(index)+uint64(now))
	if err != nil {
		s.t.Fatal(err)
	}
	relay.chooser, relay.wakeAt = c, now
	relay.due = slices.DeleteFunc(relay.due, func(e slowStartEvent) bool {
		_, result := e.event.(Result)
		return result
	})
	relay.schedule(now, s.listing(now))
	for _, host := range slices.Sorted(maps.Keys(relay.outages)) {
		relay.schedule(now, KnownOutage{Host: host, BaseRate: relay.outages[host]})
	}
	for _, host := range slices.Sorted(maps.Keys(relay.manualChanges)) {
		change := relay.manualChanges[host]
		relay.schedule(now, ManualChange{Host: host, Disabled: change.event.(ManualChange).Disabled,
			Ago: max(ms, now-change.at)})
	}
	for _, id := range slices.Sorted(maps.Keys(relay.pending)) {
		relay.schedule(now, Restored{Arrival: Arrival{ID: id, Dest: 1, Left: relay.pending[id] - now}})
	}
}

func (s *slowStartPlay) arrivals(relay *slowStartRelay, now time.Duration, rate float64) {
	for more := rate * slowStartTick.Seconds(); more > 0; more-- {
		if s.random.Float64() < more {
			s.messages++
			id := fmt.Sprint(s.messages)
			relay.pending[id] = now + slowStartDeadline
			relay.schedule(now, Arrival{ID: id, Dest: 1, Left: slowStartDeadline})
		}
	}
}

func (s *slowStartPlay) step(relay *slowStartRelay, now time.Duration) {
	events := relay.takeDue(now)
	if relay.wakeAt <= now {
		events, relay.wakeAt = append(events, Woken{}), math.MaxInt64
	}
	if len(events) == 0 {
		return
	}
	var calls []*call
	for _, a := range relay.chooser.Step(now, events) {
		switch a := a.(type) {
		case Wake:
			relay.wakeAt = now + a.After
		case Refuse:
			delete(relay.pending, a.ID)
		case Fail:
			delete(relay.pending, a.ID)
		case Health:
			if a.Unwell {
				relay.outages[a.Host] = a.Base
			} else {
				delete(relay.outages, a.Host)
			}
		case Send:
			if k := relay.chooser.messages[a.ID].call; !slices.Contains(calls, k) {
				calls = append(calls, k)
				s.recordCall(relay, a.Host, now)
			}
			result := Result{ID: a.ID, Host: a.Host, Outcome: Served, Took: 100 * ms, Done: true}
			if s.inOutage(now) {
				result = Result{ID: a.ID, Host: a.Host, Outcome: NoConnection, Took: 30 * ms}
				relay.knowsOutage = now >= s.outages[len(s.outages)-1][0]
			} else {
				delete(relay.pending, a.ID)
			}
			relay.schedule(now+result.Took, result)
		}
	}
}
