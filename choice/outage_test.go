package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestOutageWhileRecovering guards against a destination that goes down while it still warms up
// after an outage: relays that took this for a rate limit sent it their whole budget when it came
// back cold, and overloaded it.
func TestOutageWhileRecovering(t *testing.T) {
	for wait, want := range map[time.Duration]bool{1500 * time.Millisecond: false, 2500 * time.Millisecond: true} {
		c, err := New(settings(), 7)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(time.Hour, []Event{ListUpdate{Complete: true, Hosts: []Host{ready("a", 1, 0, 0)}},
			KnownOutage{Host: "a", BaseRate: 5}})
		u := c.hosts["a"].unit
		u.state, u.stateSince = Recovering, time.Hour // one of its trials was served
		var sent Send
		for _, a := range c.Step(time.Hour+time.Second, []Event{Arrival{ID: "m", Dest: 1, Left: 9 * time.Second}}) {
			if s, ok := a.(Send); ok {
				sent = s
			}
		}
		if sent.Host != "a" {
			t.Fatal("nothing is sent while it recovers")
		}
		unwell := false
		for _, a := range c.Step(time.Hour+1100*time.Millisecond,
			[]Event{Result{ID: "m", Host: "a", Outcome: Refused, Took: time.Millisecond, RetryAfter: wait}}) {
			if h, ok := a.(Health); ok {
				unwell = h.Unwell
			}
		}
		if unwell != want || (u.state == Suspect) != want {
			t.Errorf("retry-after %v with an overload window of 2 s: outage %v in state %d, want %v", wait, unwell,
				u.state, want)
		}
	}
}

// TestShortOutageWhileRecovering guards against a destination that goes down again while it still
// warms up: one answer after that was taken for health, since the answer before it was less than an
// overload window ago, and the destination got all that waited.
func TestShortOutageWhileRecovering(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	u := r.chooser.hosts["a"].unit
	r.step(arrival("well", 0))
	r.step(r.result("well", "a", Served))
	u.state, u.stateSince = Recovering, r.now
	r.now += 500 * ms
	for u.state == Recovering {
		for _, a := range sends(r.step(arrival(fmt.Sprint("m", r.now), 0))) {
			r.step(r.result(a.ID, "a", NoConnection))
		}
		r.now += 20 * ms
	}
	if u.state != Suspect || r.now-u.lastServed >= r.chooser.settings.Rules.OverloadWindow {
		t.Fatalf("state %d %v after an answer, want an outage within the overload window", u.state, r.now-u.lastServed)
	}
	for u.state == Suspect {
		for _, a := range sends(r.advance(20 * ms)) {
			r.step(r.result(a.ID, "a", Served))
		}
	}
	if u.state != Recovering {
		t.Errorf("state %d after one answer, want it to recover within its budget", u.state)
	}
}

// TestShortOutageDuringWarmUpOfOneRelay checks the same by the calls of one relay.
func TestShortOutageDuringWarmUpOfOneRelay(t *testing.T) {
	p := slowStartCase{fleet: 1, rate: 40, load: 1.5, secondOutageAfter: 3 * time.Second, secondOutageSpan: time.Second}
	for p.seed = range 5 {
		if got, most := p.play(t).worst(); got > most || got == 0 {
			t.Errorf("seed %d: %.0f calls in a window of %.1f", p.seed, got, most)
		}
	}
}

// TestShortOutageDuringWarmUpOfManyRelays guards against relays that went on with their warm-up
// schedule after one refused connection, since relays that met no more of them saw no outage: at
// the end of that schedule they sent all that waited.
func TestShortOutageDuringWarmUpOfManyRelays(t *testing.T) {
	for _, fleet := range []int{6, 20} {
		p := slowStartCase{fleet: fleet, rate: 40, load: 1.5, secondOutageAfter: 3 * time.Second,
			secondOutageSpan: time.Second}
		if got, most := p.play(t).worst(); got > most || got == 0 {
			t.Errorf("%d relays: %.0f calls in a window of %.1f", fleet, got, most)
		}
	}
}

// TestAnswerFromBeforeOutageIsNoRecovery guards against an answer to a call from before a
// destination went down that came after the first refused connection and was taken for its return:
// the warm-up schedule started too early.
func TestAnswerFromBeforeOutageIsNoRecovery(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	u := r.chooser.hosts["a"].unit
	r.step(arrival("well", 0))
	r.step(r.result("well", "a", Served))
	u.state, u.stateSince = Recovering, r.now
	sentBefore := sends(r.step(arrival("before", 0)))
	r.now += 10 * ms
	refused := sends(r.step(arrival("refused", 0)))
	if len(sentBefore) != 1 || len(refused) != 1 {
		t.Fatalf("%d and %d calls during the warm-up, want one each", len(sentBefore), len(refused))
	}
	r.now += 10 * ms
	r.step(r.result("refused", "a", NoConnection))
	if u.state != Suspect {
		t.Fatalf("state %d after a refused connection during the warm-up, want an outage", u.state)
	}
	r.now += 10 * ms
	r.step(Result{ID: "before", Host: "a", Outcome: Served, Took: 30 * ms, Done: true})
	if u.state != Suspect {
		t.Errorf("state %d after an answer from before the outage, want the outage to last", u.state)
	}
}

// TestFailuresOfSeveralEndpointsAreAnOutage guards against a relay that calls a destination seldom and
// goes on for as long as one of its endpoints was not tried: it used up a message's attempts at two
// endpoints of four, and took the destination for healthy when that came back cold.
func TestFailuresOfSeveralEndpointsAreAnOutage(t *testing.T) {
	s := settings()
	s.Fleet, s.MaxAttempts = 40, 8
	var hosts []Host
	for _, addr := range []string{"a", "b", "c", "d"} {
		h := ready(addr, 1, 0, 0)
		h.Rate = 4
		hosts = append(hosts, h)
	}
	r := newHarness(t, s, hosts...)
	r.now += 3 * time.Second
	u, calls := r.chooser.hosts["a"].unit, 0
	sent := sends(r.step(arrival("m", 0)))
	for end := r.now + 8*time.Second; u.state == Healthy && r.now < end; sent = sends(r.advance(20 * ms)) {
		for _, s := range sent {
			calls++
			r.step(r.result(s.ID, s.Host, NoConnection))
		}
	}
	if u.state != Suspect || calls != outageFailures {
		t.Errorf("%v after %d failed calls, want an outage after %d", u.state, calls, outageFailures)
	}
}

// TestWarmUpNeedsAnswers guards against a destination that is taken for warm because the time to warm
// up has passed since one answer, though it gave no other answer in that time: it was still out, or
// out again.
func TestWarmUpNeedsAnswers(t *testing.T) {
	for gap, want := range map[time.Duration]UnitState{2100 * ms: Recovering, 1500 * ms: Healthy} {
		r := newHarness(t, settings(), ready("a", 1, 0, 0))
		u := r.chooser.hosts["a"].unit
		u.state, u.stateSince, u.lastServed = Recovering, r.now-r.chooser.slowStartSpan(), r.now-gap
		for _, s := range sends(r.step(arrival("m", 0))) {
			r.step(r.result(s.ID, "a", Served))
		}
		if u.state != want {
			t.Errorf("%v at an answer that comes %v after the one before, want %v", u.state, gap, want)
		}
	}
}

// TestSlowStartOutlastsWarmUp guards against a fleet whose slow starts end together before the destination
// is warm: most calls failed, and answers in the last moments of the outage had begun them.
func TestSlowStartOutlastsWarmUp(t *testing.T) {
	for _, seed := range []uint64{1474, 4735} {
		randomColdFleet(seed).wantNoFallAfter(t, callsFail)
	}
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	u, rules := r.chooser.hosts["a"].unit, r.chooser.settings.Rules
	u.state, u.stateSince = Recovering, r.now-rules.WarmUp
	for end := r.now + rules.OverloadWindow; r.now < end; r.now += 20 * ms {
		if u.state != Recovering {
			t.Fatalf("%v %v after the time to warm up", u.state, rules.OverloadWindow-(end-r.now))
		}
		for _, s := range sends(r.step(arrival(fmt.Sprint("m", r.now), 0))) {
			r.step(r.result(s.ID, "a", Served))
		}
	}
}
