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

// slowStart is one play of a fleet whose destination returns cold, after an outage or given back by operators.
type slowStart struct {
	fleet     int
	rate      float64         // listed of each unit, calls a second
	load      float64         // what arrives, in shares of the rate
	skew      float64         // of the relays' traffic; 0 for equal
	restarted int             // relays that restart in the ramp, in percent; at least one if above 0
	together  bool            // they do so at the same moment
	gaps      []time.Duration // a further restart so long after the one before
	byHand    bool            // taken out and given back by operators
	again     time.Duration   // so long after the return it is out once more; 0 for never
	outAgain  time.Duration   // for so long
	routes    int             // of the destination, apart; 0 for one endpoint
	perCall   int             // messages that a call carries
	rateTo    float64         // the list's rate changes in the ramp, by this factor; 0 for no change
	draw      uint64
}

const (
	slowStartTick  = 20 * ms
	slowStartWarm  = 4 * time.Second  // of well-being before the outage
	slowStartDelay = 200 * ms         // within which all relays hear of operators and of the list
	slowStartTime  = 12 * time.Second // a message's
)

func (p slowStart) settings(index int) Settings {
	s := settings()
	s.Index, s.Fleet, s.Workers, s.MaxHeld, s.Tick = index, p.fleet, 64, 0, slowStartTick
	s.Kinds = []Kind{{PerCall: max(1, p.perCall), Apart: p.routes > 0}}
	s.Rules.Fall, s.Rules.Cold, s.Rules.ColdFrom, s.Rules.OverloadFactor = 2*time.Second, 12*time.Second, 0.29, 1.5
	s.Classes = []Class{{Name: "a", Aim: 3 * time.Second, Deadline: slowStartTime, Worth: 1, Effect: Safe}}
	return s
}

// slowStartRelay is a Chooser with what its journal and its sockets would hold.
type slowStartRelay struct {
	chooser   *Chooser
	share     float64 // of the traffic
	due       []slowStartEvent
	wakeAt    time.Duration
	held      map[string]time.Duration // until when
	unwell    map[string]float64
	byHand    map[string]slowStartEvent // what operators said last
	restartAt []time.Duration
	told      bool
}

type slowStartEvent struct {
	at    time.Duration
	event Event
}

func (re *slowStartRelay) later(at time.Duration, e Event) {
	re.due = append(re.due, slowStartEvent{at, e})
}

// take removes and returns what is due.
func (re *slowStartRelay) take(now time.Duration) (events []Event) {
	re.due = slices.DeleteFunc(re.due, func(e slowStartEvent) bool {
		if e.at <= now {
			events = append(events, e.event)
			if said, ok := e.event.(ByHand); ok && said.Ago == 0 {
				re.byHand[said.Host] = slowStartEvent{now, said}
			}
		}
		return e.at <= now
	})
	return events
}

// slowStartPlay is the state of one play.
type slowStartPlay struct {
	slowStart
	t        testing.TB
	r        *rand.Rand
	relays   []*slowStartRelay
	back     time.Duration // when the destination returned
	end      time.Duration
	out      [][2]time.Duration
	changeAt time.Duration              // of the listed rate
	calls    map[string][]time.Duration // by endpoint, of the ramps
	messages int
}

func (p slowStart) play(t testing.TB) *slowStartPlay {
	s := &slowStartPlay{slowStart: p, t: t, r: rand.New(rand.NewPCG(p.draw, 77)), calls: map[string][]time.Duration{}}
	s.back = slowStartWarm + time.Duration((5+5*s.r.Float64())*float64(time.Second))
	s.out = [][2]time.Duration{{slowStartWarm, s.back}}
	cold := p.settings(0).Rules.Cold
	if p.again > 0 {
		s.out = append(s.out, [2]time.Duration{s.back + p.again, s.back + p.again + p.outAgain})
		s.back += p.again + p.outAgain
	}
	s.end = s.back + cold
	s.changeAt = s.back + time.Duration(s.r.Float64()*float64(cold))
	restartAt := s.back + time.Duration((s.r.Float64()*8-1)*float64(time.Second))
	sum := 0.0
	for i := range p.fleet {
		re := &slowStartRelay{share: math.Exp(p.skew * s.r.NormFloat64()), held: map[string]time.Duration{}, unwell: map[string]float64{},
			byHand: map[string]slowStartEvent{}}
		sum += re.share
		s.relays = append(s.relays, re)
		s.start(re, i, 0)
		if at := s.changeAt + s.delay(); p.rateTo > 0 {
			re.later(at, s.listing(s.changeAt))
		}
		for _, o := range s.out {
			if p.byHand {
				for _, host := range s.hosts() {
					re.later(o[0]+s.delay(), ByHand{Host: host, Out: true})
					re.later(o[1]+s.delay(), ByHand{Host: host})
				}
			}
		}
		if s.r.IntN(100) < p.restarted || i == 0 && p.restarted > 0 {
			at := restartAt
			if !p.together {
				at = s.back + time.Duration(s.r.Float64()*float64(cold))
			}
			re.restartAt = []time.Duration{at}
			for _, gap := range p.gaps {
				at += gap
				re.restartAt = append(re.restartAt, at)
			}
		}
	}
	for now := time.Duration(0); now < s.end; now += slowStartTick {
		for i, re := range s.relays {
			if len(re.restartAt) > 0 && now >= re.restartAt[0] {
				re.restartAt = re.restartAt[1:]
				s.start(re, i, now)
			}
			s.arrivals(re, now, p.load*p.rate*float64(max(1, p.perCall))*re.share/sum)
			s.step(re, now)
		}
	}
	return s
}

func (s *slowStartPlay) delay() time.Duration {
	return time.Duration(s.r.Int64N(int64(slowStartDelay)))
}

func (s *slowStartPlay) hosts() []string {
	hosts := []string{"h0"}
	for i := 1; i < s.routes; i++ {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	return hosts
}

func (s *slowStartPlay) listing(at time.Duration) Listing {
	l := Listing{Whole: true}
	for _, host := range s.hosts() {
		l.Hosts = append(l.Hosts, Host{Addr: host, Dest: 1, State: Ready, Rate: s.rateAt(at)})
	}
	return l
}

// start has a relay begin with what its journal holds.
func (s *slowStartPlay) start(re *slowStartRelay, index int, now time.Duration) {
	c, err := New(s.settings(index), s.draw*1000+uint64(index)+uint64(now))
	if err != nil {
		s.t.Fatal(err)
	}
	re.chooser, re.wakeAt = c, now
	re.due = slices.DeleteFunc(re.due, func(e slowStartEvent) bool {
		_, result := e.event.(Result)
		return result
	})
	re.later(now, s.listing(now))
	for _, host := range slices.Sorted(maps.Keys(re.unwell)) {
		re.later(now, Unwell{Host: host, Base: re.unwell[host]})
	}
	for _, host := range slices.Sorted(maps.Keys(re.byHand)) {
		said := re.byHand[host]
		re.later(now, ByHand{Host: host, Out: said.event.(ByHand).Out, Ago: max(ms, now-said.at)})
	}
	for _, id := range slices.Sorted(maps.Keys(re.held)) {
		re.later(now, Restored{Arrival: Arrival{ID: id, Dest: 1, Left: re.held[id] - now}})
	}
}

func (s *slowStartPlay) arrivals(re *slowStartRelay, now time.Duration, rate float64) {
	for more := rate * slowStartTick.Seconds(); more > 0; more-- {
		if s.r.Float64() < more {
			s.messages++
			id := fmt.Sprint(s.messages)
			re.held[id] = now + slowStartTime
			re.later(now, Arrival{ID: id, Dest: 1, Left: slowStartTime})
		}
	}
}

func (s *slowStartPlay) step(re *slowStartRelay, now time.Duration) {
	events := re.take(now)
	if re.wakeAt <= now {
		events, re.wakeAt = append(events, Woken{}), math.MaxInt64
	}
	if len(events) == 0 {
		return
	}
	var calls []*call
	for _, a := range re.chooser.Step(now, events) {
		switch a := a.(type) {
		case Wake:
			re.wakeAt = now + a.After
		case Refuse:
			delete(re.held, a.ID)
		case Fail:
			delete(re.held, a.ID)
		case Health:
			if a.Unwell {
				re.unwell[a.Host] = a.Base
			} else {
				delete(re.unwell, a.Host)
			}
		case Send:
			if k := re.chooser.msgs[a.ID].call; !slices.Contains(calls, k) {
				calls = append(calls, k)
				s.called(re, a.Host, now)
			}
			res := Result{ID: a.ID, Host: a.Host, Outcome: Served, Took: 100 * ms, Done: true}
			if s.isOut(now) {
				res = Result{ID: a.ID, Host: a.Host, Outcome: NoConnection, Took: 30 * ms}
				re.told = now >= s.out[len(s.out)-1][0]
			} else {
				delete(re.held, a.ID)
			}
			re.later(now+res.Took, res)
		}
	}
}
