package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestColdDestinationStaysWithinBudget checks that two failures make a unit suspect, and that after
// it answers again the relay stays within its share of the cold budget.
func TestColdDestinationStaysWithinBudget(t *testing.T) {
	s := settings()
	s.Workers = 100
	h := ready("a", 1, 0, 0)
	h.Rate = 10
	r := newHarness(t, s, h)
	for _, id := range []string{"x", "y"} {
		r.step(arrival(id, 2))
		r.now += 50 * ms
		r.step(r.result(id, "a", Error))
	}
	var events []Event
	for i := range 60 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	trial := append(sends(r.step(events...)), sends(r.advance(time.Second))...)
	if len(trial) != 1 {
		t.Fatalf("%d calls to a suspect unit, want a single trial", len(trial))
	}
	acts := r.step(r.result(trial[0].ID, "a", Served))
	acts = append(acts, r.advance(s.Rules.OverloadWindow)...)
	share := s.Rules.ColdShare + (1-s.Rules.ColdShare)*s.Rules.OverloadWindow.Seconds()/s.Rules.WarmUp.Seconds()
	limit := s.Rules.OverloadFactor * share * 10 * s.Rules.OverloadWindow.Seconds() / 2
	if n := float64(len(sends(acts))); n < 1 || n > limit {
		t.Errorf("%v calls in the first window after an outage, want 1 to %v", n, limit)
	}
}

// TestOneFailedHostLeavesDestinationHealthy checks that the loss of one machine is no outage of its
// destination.
func TestOneFailedHostLeavesDestinationHealthy(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0), ready("b", 1, 0, 0))
	for i := range 6 {
		id := fmt.Sprint(i)
		for _, s := range sends(r.step(arrival(id, 0))) {
			r.now += 50 * ms
			for s.Host == "a" {
				again := sends(r.step(r.result(id, "a", NoConnection)))
				if len(again) != 1 {
					t.Fatalf("%d sends after a failed connection, want one to the other host", len(again))
				}
				s = again[0]
			}
			r.step(r.result(id, s.Host, Served))
		}
	}
	if u := r.chooser.dests[1].units[0]; u.state != Healthy {
		t.Errorf("unit is in state %d, want healthy", u.state)
	}
}

// TestStaleConnectionsAreNoOutage guards against an outage being assumed where only reused
// connections broke, which their far end had closed.
func TestStaleConnectionsAreNoOutage(t *testing.T) {
	for _, stale := range []bool{true, false} {
		r := newHarness(t, settings(), ready("a", 1, 0, 0))
		Healthy := true
		for i := range 4 {
			id := fmt.Sprint("m", i)
			r.step(arrival(id, 0))
			for _, a := range r.step(r.result(id, "a", Reset, func(e *Result) { e.StaleConn = stale })) {
				h, ok := a.(Health)
				Healthy = Healthy && !(ok && h.Unwell)
			}
			r.advance(time.Second)
		}
		if Healthy != stale {
			t.Errorf("resets with StaleConn %v: healthy is %v", stale, Healthy)
		}
	}
}

// TestFirstFailureInALargeFleetIsAnOutage checks that a relay of a large fleet, with nothing served
// lately, takes the first failure for an outage and does not try again at once; a relay of a small
// fleet goes on.
func TestFirstFailureInALargeFleetIsAnOutage(t *testing.T) {
	for fleet, want := range map[int]UnitState{2: Healthy, 40: Suspect} {
		s := settings()
		s.Fleet = fleet
		h := ready("a", 1, 0, 0)
		h.Rate = 4
		r := newHarness(t, s, h)
		r.advance(5 * time.Second)
		r.step(arrival("m", 0))
		r.step(r.result("m", "a", NoConnection))
		if got := r.chooser.dests[1].units[0].state; got != want {
			t.Errorf("fleet of %d: health %v after the first failure, want %v", fleet, got, want)
		}
		if n := len(sends(r.advance(5 * time.Second))); want == Suspect && n > 0 {
			t.Errorf("fleet of %d: %d calls within 5s of the first failure, want none", fleet, n)
		}
	}
}

// TestStalledRelaySuspectsNoDestination checks that outcomes that come all at once after a gap are
// handled before anything is judged, so that the relay's own stall does not pass for a silent
// destination.
func TestStalledRelaySuspectsNoDestination(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0), ready("b", 2, 0, 0))
	other := arrival("n", 0)
	other.Dest = 2
	r.step(arrival("m", 0), other)
	r.now += 5 * time.Second
	r.step(Woken{}, r.result("m", "a", Served), r.result("n", "b", Served))
	for id, d := range r.chooser.dests {
		if got := d.units[0].state; got != Healthy {
			t.Errorf("destination %d: health %v after the relay's own stall, want healthy", id, got)
		}
	}
}

// TestAnswerFromBeforeRetryAfterIsNoRecovery guards against overloading a destination that returns
// cold: the answer of a call sent before it went down, which comes during the retry-after time, is
// no sign that it is healthy.
func TestAnswerFromBeforeRetryAfterIsNoRecovery(t *testing.T) {
	s := settings()
	s.Workers, s.MaxPending = 100, 1000
	r := newHarness(t, s, ready("a", 1, 0, 0))
	if n := len(sends(r.step(arrival("before", 0), arrival("refused", 0)))); n != 2 {
		t.Fatalf("%d sends, want 2", n)
	}
	r.now += 50 * ms
	r.step(r.result("refused", "a", Refused, func(e *Result) { e.RetryAfter = 5 * time.Second }))
	r.now += 50 * ms
	r.step(r.result("before", "a", Served))
	for i := range 300 {
		r.step(arrival(fmt.Sprint("m", i), 0))
	}
	r.advance(4800 * ms)
	var sent int
	for range 400 { // 2 s: its share of the cold budget is 0.9 x 2 x 0.36 x 100 x 2 s / 2 at most
		for _, a := range sends(r.advance(5 * ms)) {
			sent++
			r.step(r.result(a.ID, "a", Served))
		}
	}
	if sent == 0 || sent > 65 {
		t.Errorf("%d calls in the first 2 s after the retry-after time, want 1 to 65", sent)
	}
}
