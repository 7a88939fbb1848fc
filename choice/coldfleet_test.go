package choice

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	coldSeeds = flag.Uint64("cold.seeds", 400, "plays of TestColdFleetAfterAnyOutage")
	unlisted  = flag.Bool("cold.unlisted", false, "lists without rates in TestColdFleetAfterAnyOutage")
	coldFirst = flag.Uint64("cold.first", 1, "seed of the first of them")
)

func (s *coldFleetPlay) inOutage(at time.Duration) bool { return at >= s.outageAt && at < s.returnedAt }

// cancel ends a call in flight.
func (s *coldFleetPlay) cancel(relay *coldFleetRelay, id string, now time.Duration) {
	for i, e := range relay.due {
		if e.ID == id {
			relay.due[i].Took -= e.at - now
			relay.due[i].at, relay.due[i].Outcome, relay.due[i].Done = now, Cancelled, false
		}
	}
}

// send schedules the result of a message's call. A call that has not ended as the outage begins fares like one that begins in it.
func (s *coldFleetPlay) send(relay *coldFleetRelay, a Send, now time.Duration) {
	if now >= s.returnedAt {
		s.calls = append(s.calls, coldCall{now, relay.told})
	}
	result := Result{ID: a.ID, Host: a.Host, Outcome: Served, Took: time.Duration(s.random.ExpFloat64() * float64(250*ms))}
	if now < s.returnedAt && now+result.Took >= s.outageAt {
		result = s.resultInOutage(a, now, max(now, s.outageAt), result)
	}
	if result.Took >= a.Timeout {
		result.Took, result.Outcome = a.Timeout, Timeout
	}
	if s.reports && result.Outcome == Served {
		result.Report = []float64{s.rate}
	}
	result.Done = result.Outcome == Served
	if result.Done {
		delete(relay.deadlines, a.ID)
	}
	relay.due = append(relay.due, coldFleetResult{now + result.Took, result})
}

// resultInOutage returns how a call ends that is out at a time in the outage.
func (s *coldFleetPlay) resultInOutage(a Send, sentAt, at time.Duration, result Result) Result {
	end := func(outcome Outcome, endedAt time.Duration) Result {
		result.Outcome, result.Took = outcome, endedAt-sentAt
		return result
	}
	switch s.kind {
	case callsUnanswered:
		return end(Timeout, math.MaxInt64)
	case callsAnsweredLate:
		return end(Served, s.returnedAt+s.delay(500*ms))
	case callsResetLate:
		return end(Reset, s.returnedAt+s.delay(100*ms))
	case connectionsLate:
		if sentAt >= s.outageAt {
			return end(NoConnection, sentAt+coldFleetConnectLimit)
		}
		return end(Served, s.returnedAt+s.delay(500*ms))
	case callsFail:
		if s.random.Float64() < coldFleetErrorShare {
			return end(Error, at+50*ms)
		}
		return result
	case callsRefused:
		result.RetryAfter = s.wait(at)
		return end(Refused, at+30*ms)
	}
	if sentAt >= s.outageAt {
		return end(NoConnection, at+30*ms)
	}
	return end(Reset, at+30*ms)
}

// wait returns what a refusal tells about when to call again.
func (s *coldFleetPlay) wait(at time.Duration) time.Duration {
	switch s.waits {
	case noWaits:
		return 0
	case shortWaits:
		return 200*ms + s.delay(800*ms)
	}
	return time.Duration(s.random.IntN(2)) * s.delay(s.returnedAt-at)
}

// allowed returns the calls that the destination may get in a window that ends at a time.
func (s *coldFleetPlay) allowed(at time.Duration) float64 {
	rules := s.settings(0).Rules
	share := min(1, rules.ColdShare+(1-rules.ColdShare)*(at-s.returnedAt).Seconds()/rules.WarmUp.Seconds())
	return rules.OverloadFactor * s.rate * share * rules.OverloadWindow.Seconds()
}

// firstFall returns the calls of the first window that exceeds its bound, and how many of them came from relays that had been
// told of the outage; without one, the window that comes nearest to its bound.
func (s *coldFleetPlay) firstFall() (calls, told, bound float64, fell bool) {
	window, excess, first := s.settings(0).Rules.OverloadWindow, math.Inf(-1), 0
	for i, k := range s.calls {
		for k.at-s.calls[first].at > window {
			first++
		}
		count, most := float64(i-first+1), slowStartBound(s.allowed(k.at))
		if count-most > excess {
			excess, calls, bound, told = count-most, count, most, 0
			for _, other := range s.calls[first : i+1] {
				if other.told {
					told++
				}
			}
		}
		if excess > 0 {
			return calls, told, bound, true
		}
	}
	return calls, told, bound, false
}

// toldShare is the share of the calls which overload a destination that relays have to exceed which had been told of the
// outage, for the rule to be broken.
const toldShare = 2.0 / 3

// wantNoFall plays a fleet, and fails the test if it breaks the rule on cold destinations.
func (p coldFleet) wantNoFall(t *testing.T) {
	t.Helper()
	if calls, told, bound, fell := p.play(t).firstFall(); fell && told > toldShare*calls {
		t.Errorf("%.0f calls in a window, %.0f of them by relays that had been told, with %.1f tolerated; %v, %v: %v",
			calls, told, bound, p.kind, p.waits, p)
	}
}

// wantNoFallAfter is wantNoFall for a play whose outage has to be of a kind.
func (p coldFleet) wantNoFallAfter(t *testing.T, kind outageKind) {
	t.Helper()
	if p.kind != kind {
		t.Errorf("seed %d has an outage of kind %v, want %v", p.seed, p.kind, kind)
	}
	p.wantNoFall(t)
}

// TestColdFleetAfterAnyOutage guards against fleets that together push over a destination which comes back cold, after
// outages of every kind and length, with restarts at any time.
func TestColdFleetAfterAnyOutage(t *testing.T) {
	plays := *coldSeeds
	if testing.Short() {
		plays /= 10
	}
	for seed := *coldFirst; seed < *coldFirst+plays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := randomColdFleet(seed)
			p.unlisted = *unlisted
			p.wantNoFall(t)
		})
	}
}

// TestColdFleetAfterDestinationWasShut is the same for destinations that refuse all calls, which a rate limit
// does too: with any wait, and with or without listed and reported rates.
func TestColdFleetAfterDestinationWasShut(t *testing.T) {
	plays := *coldSeeds
	if testing.Short() {
		plays /= 10
	}
	for seed := *coldFirst; seed < *coldFirst+plays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := randomColdFleet(seed)
			r := rand.New(rand.NewPCG(seed, 0x5407))
			p.kind, p.waits = callsRefused, waitKind(r.IntN(int(waitKindCount)))
			p.unlisted, p.reports = r.IntN(4) == 0, r.IntN(2) == 0
			p.wantNoFall(t)
		})
	}
}

func randomColdFleet(seed uint64) coldFleet {
	r := rand.New(rand.NewPCG(seed, 0xf1ee7))
	p := coldFleet{relays: oneOf(r, 1, 2, 3, 3, 4, 6, 12, 20, 30, 60), endpoints: 1 + r.IntN(4),
		rate: math.Exp(math.Log(2) + r.Float64()*math.Log(40)), load: 0.3 + r.Float64(), skew: float64(r.IntN(2)),
		kind: outageKind(r.IntN(int(outageKindCount))), healthySpan: time.Duration(2+r.IntN(30)) * time.Second,
		outageSpan: 3*time.Second + time.Duration(r.Float64()*20*float64(time.Second)), effect: Effect(r.IntN(3)), seed: seed}
	p.loadAfter = p.load * (0.5 + 1.5*r.Float64())
	p.workers = max(4, int(p.rate/float64(p.relays))) // twice what the calls of a relay's share keep busy while they take half a second
	p.restartPercent = oneOf(r, 0, 0, 30, 100)
	p.restartAfter = time.Duration((r.Float64()*1.3 - 0.1) * float64(p.outageSpan))
	return p
}

// TestRelaysAnsweredTogetherDoNotCallTogether guards against a large fleet whose relays, each with a
// share of less than one call in a window, all make their first call as the destination returns: the
// calls that waited through the outage are answered then, at all relays at once.
func TestRelaysAnsweredTogetherDoNotCallTogether(t *testing.T) {
	for _, seed := range []uint64{500, 1697, 1814} {
		randomColdFleet(seed).wantNoFallAfter(t, callsAnsweredLate)
	}
}
