package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestPaceFollowsReportedLimit guards against a destination that gets few messages for long after
// it lowered its limit for a while, or after a list with an imprecise rate that is too low.
func TestPaceFollowsReportedLimit(t *testing.T) {
	s := settings()
	s.ReportLimitIndex = 0
	host := ready("a", 1, 0, 0)
	r := newHarness(t, s, host)
	n := 0
	served := func(limit float64) int { // in a second, by a host that reports that limit
		count := 0
		for end := r.now + time.Second; r.now < end; {
			r.now += 5 * ms
			n++
			acts := r.step(arrival(fmt.Sprint("m", n), 0))
			for out := sends(acts); len(out) > 0; out = sends(acts) {
				acts = nil
				for _, o := range out {
					count++
					acts = append(acts, r.step(r.result(o.ID, o.Host, Served,
						func(e *Result) { e.Report = []float64{limit} }))...)
				}
			}
		}
		return count
	}
	served(50)
	if before, cut := served(50), served(5)+served(5); before < 40 || cut > 30 {
		t.Fatalf("%d served in a second before the limit was lowered, %d in the two seconds after", before, cut)
	}
	served(50)
	host.Rate = 10
	r.step(ListUpdate{Hosts: []Host{host}})
	if after := served(50); after < 40 {
		t.Errorf("%d served in a second after the limit rose again, want at least 40", after)
	}
}

// TestLargeFleetSpacesTrials checks that a relay whose share of the budget is less than one call in
// the overload window sends less than one call in it.
func TestLargeFleetSpacesTrials(t *testing.T) {
	s := settings()
	s.Fleet, s.Workers = 12, 100
	h := ready("a", 1, 0, 0)
	h.Rate = 4
	r := newHarness(t, s, h)
	for _, id := range []string{"x", "y"} {
		r.advance(time.Second)
		r.step(arrival(id, 2))
		r.now += 50 * ms
		r.step(r.result(id, "a", Error))
	}
	var events []Event
	for i := range 20 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	trials := 0
	out := sends(r.step(events...))
	for end := r.now + 8*time.Second; r.now < end; {
		var ends []Event
		for _, o := range out {
			trials++
			ends = append(ends, r.result(o.ID, "a", NoConnection))
		}
		r.now += 5 * ms
		out = sends(r.step(append(ends, Woken{})...))
	}
	// Within twice this relay's share of the budget: 2 x 2 x 0.2 x 4 x 2 s / 12 relays, for four
	// windows, once the first delays have grown.
	if trials < 1 || trials > 7 {
		t.Errorf("%d trials in eight seconds, want one to seven", trials)
	}
}

// TestLargeFleetSpreadsRetriesAfterRefusals checks that relays that call a destination seldom come
// back after growing pauses, and at different times, so that together they get below its limit.
func TestLargeFleetSpreadsRetriesAfterRefusals(t *testing.T) {
	s := settings()
	s.Fleet = 40
	h := ready("a", 1, 0, 0)
	h.Rate = 4
	var first []time.Duration
	for seed := range uint64(5) {
		r := newHarness(t, s, h)
		r.chooser.rand = rand.New(rand.NewPCG(seed, 0))
		r.step(arrival("m", 0))
		start, tries := r.now, 0
		for r.now < start+9*time.Second {
			if r.chooser.messages["m"] != nil && r.chooser.messages["m"].call != nil {
				r.step(r.result("m", "a", Refused))
				tries++
			}
			if r.advance(5 * ms); tries == 1 && r.chooser.messages["m"].call != nil {
				first = append(first, r.now-start)
			}
		}
		if tries > 5 {
			t.Errorf("%d attempts in nine seconds of refusals, want at most five", tries)
		}
	}
	if slices.Sort(first); len(first) < 5 || first[4]-first[0] < 50*ms {
		t.Errorf("second attempts after %v, want them spread", first)
	}
}

// TestRelaysSpreadOverHosts checks that the relays of a large fleet spread over the hosts of a
// destination.
func TestRelaysSpreadOverHosts(t *testing.T) {
	s := settings()
	s.Fleet = 40
	used := map[string]int{}
	for seed := range uint64(20) {
		c, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		a, b := ready("a", 1, 0, 0), ready("b", 1, 0, 0)
		a.Rate, b.Rate = 4, 4
		acts := c.Step(time.Hour, []Event{ListUpdate{Complete: true, Hosts: []Host{a, b}}, arrival("m", 0)})
		used[sends(acts)[0].Host]++
	}
	if used["a"] < 4 || used["b"] < 4 {
		t.Errorf("first calls of 20 relays went to %v, want both hosts well used", used)
	}
}

// TestPausesLengthenWhereRetriesFail checks that the pause grows to the even interval at once where
// calls after a refusal are hardly ever served, as where refused calls use up the limit.
func TestPausesLengthenWhereRetriesFail(t *testing.T) {
	s := settings()
	s.Fleet = 40
	h := ready("a", 1, 0, 0)
	h.Rate = 4
	pause := func(luck float64) time.Duration {
		r := newHarness(t, s, h)
		r.chooser.retrySuccess[0] = luck
		r.step(arrival("m", 0))
		r.now += 50 * ms
		r.step(r.result("m", "a", Refused))
		return r.chooser.dests[1].units[0].pauseUntil - r.now
	}
	if often, never := pause(0.5), pause(0.05); often > 2*time.Second || never < 5*time.Second {
		t.Errorf("pauses %v where retries are served and %v where not, want under 2s and over 5s", often, never)
	}
}
