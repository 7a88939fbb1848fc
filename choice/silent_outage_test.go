package choice

import (
	"fmt"
	"testing"
	"time"
)

// silentUnit returns a harness whose unit has left calls unanswered until it became suspect, and when
// the first of them was sent.
func silentUnit(t *testing.T, calls int) (r *harness, u *unit, silentSince time.Duration) {
	t.Helper()
	r = newHarness(t, settings(), ready("a", 1, 0, 0))
	u = r.chooser.hosts["a"].unit
	silentSince = r.now
	for i := range calls {
		r.step(arrival(fmt.Sprint("m", i), 0))
	}
	if len(u.calls) != calls {
		t.Fatalf("%d calls out, want %d", len(u.calls), calls)
	}
	for u.state == Healthy && r.now < silentSince+5*time.Second {
		r.advance(20 * ms)
	}
	if u.state != Suspect || u.badStreak > 0 {
		t.Fatalf("state %v after %d failures, want an outage by silence alone", u.state, u.badStreak)
	}
	return r, u, silentSince
}

// TestLateAnswerAfterSilenceStartsSlowStart guards against a destination that is taken for healthy at
// its first answer after a long silence, since no call had failed: it came back cold, and got all
// that waited. A silence within the overload window is no outage.
func TestLateAnswerAfterSilenceStartsSlowStart(t *testing.T) {
	for silence, want := range map[time.Duration]UnitState{1900 * ms: Healthy, 2100 * ms: Recovering, 9 * time.Second: Recovering} {
		r, u, silentSince := silentUnit(t, 2)
		r.now = silentSince + silence
		r.step(r.result("m0", "a", Served, func(e *Result) { e.Took = silence }))
		if u.state != want {
			t.Errorf("%v after an answer that took %v, want %v", u.state, silence, want)
		}
	}
}

// TestAnswerFromBeforeOutageDoesNotShortenIt guards against an answer to a call from before an outage
// that makes the next answer look like the end of a short outage.
func TestAnswerFromBeforeOutageDoesNotShortenIt(t *testing.T) {
	r, u, silentSince := silentUnit(t, 1)
	r.step(arrival("trial", 0))
	for end := r.now + 10*time.Second; len(u.calls) < 2 && r.now < end; {
		r.advance(20 * ms)
	}
	r.step(r.result("trial", "a", NoConnection))
	r.now = silentSince + 6*time.Second
	sent := sends(r.step(r.result("m0", "a", Served, func(e *Result) { e.Took = 6 * time.Second })))
	if u.state != Suspect {
		t.Fatalf("%v after an answer to a call from before the refused connection, want the outage to last", u.state)
	}
	for end := r.now + 5*time.Second; u.state == Suspect && r.now < end; sent = sends(r.advance(20 * ms)) {
		for _, s := range sent {
			r.step(r.result(s.ID, "a", Served))
		}
	}
	if u.state != Recovering {
		t.Errorf("%v after an outage of 6 s, want %v", u.state, Recovering)
	}
}

// TestOutageOutlivesUpgradeByItsLength guards against a next process that takes an outage for a short
// one, because it counts it from its own start.
func TestOutageOutlivesUpgradeByItsLength(t *testing.T) {
	r, _, silentSince := silentUnit(t, 2)
	r.now = silentSince + 5*time.Second
	snapshot := r.chooser.Snapshot(r.now)
	for name, older := range map[string]bool{"this version": false, "a version that does not tell Well": true} {
		if older {
			snapshot.Units[0].Well = 0
		}
		next := newHarness(t, settings(), ready("a", 1, 0, 0))
		next.now = r.now
		next.step(snapshot, Restored{Arrival: arrival("m0", 0), Attempts: 1,
			InFlight: &InFlightCall{Host: "a", Call: 1, SentAgo: 5 * time.Second}})
		next.now += 500 * ms
		next.attempts["m0"] = 1
		next.step(next.result("m0", "a", Served, func(e *Result) { e.Took = 5500 * ms }))
		if state := next.chooser.hosts["a"].unit.state; state != Recovering {
			t.Errorf("%s: %v after an answer, want %v", name, state, Recovering)
		}
	}
}

// TestTimeOutsDoNotRestartSilence guards against an outage that is found late, or not before a restart,
// because time-outs shorter than the silence that makes an outage start that silence anew.
func TestTimeOutsDoNotRestartSilence(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	u, limit := r.chooser.hosts["a"].unit, r.chooser.silenceLimit(r.chooser.dests[1])
	silentSince, timeout := r.now, limit*3/5
	sent := sends(r.step(arrival("m", 0)))
	for end := r.now + 10*limit; u.state == Healthy && r.now < end; {
		if len(sent) == 0 {
			sent = sends(r.advance(5 * ms))
			continue
		}
		actions := r.advance(timeout)
		if u.state == Healthy {
			sent = sends(append(actions, r.step(r.result(sent[0].ID, "a", Timeout, func(e *Result) { e.Took = timeout }))...))
		}
	}
	if silence := r.now - silentSince; u.state != Suspect || silence > limit+timeout {
		t.Errorf("%v after a silence of %v, want an outage after %v", u.state, silence, limit)
	}
}
