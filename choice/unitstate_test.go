package choice

import (
	"testing"
	"time"
)

// unitChanges returns the changes of units among actions.
func unitChanges(actions []Action) (changes []UnitChange) {
	for _, a := range actions {
		if change, ok := a.(UnitChange); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// TestUnitChangeTellsWhatWasKnown guards against outages whose beginning, length and end cannot be
// told from the log: each change names the failures, the calls and the answer that led to it.
func TestUnitChangeTellsWhatWasKnown(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	r.step(arrival("well", 0))
	r.step(r.result("well", "a", Served))
	r.now += 3 * time.Second
	var changes []UnitChange
	for len(changes) == 0 && r.now < time.Hour+20*time.Second {
		for _, s := range sends(r.step(arrival(r.now.String(), 0))) {
			changes = append(changes, unitChanges(r.step(r.result(s.ID, "a", NoConnection)))...)
		}
		r.now += 100 * ms
	}
	if len(changes) != 1 || changes[0].From != Healthy || changes[0].To != Suspect || changes[0].Reason != ChangedByFailures ||
		changes[0].BadOutcomes != outageFailures || changes[0].SinceServed < 3*time.Second {
		t.Fatalf("changes %+v, want one from healthy to suspect after %d failures", changes, outageFailures)
	}
	if line := changes[0].String(); line != "destination 1 unit a suspect: failures" {
		t.Errorf("logged as %q", line)
	}
	for changes = nil; len(changes) == 0; r.now += 20 * ms {
		for _, s := range sends(r.step(Woken{})) {
			if s.Unit != Suspect {
				t.Errorf("trial sent in state %v", s.Unit)
			}
			changes = unitChanges(r.step(r.result(s.ID, "a", Served)))
		}
	}
	if changes[0].From != Suspect || changes[0].To != Recovering || changes[0].Reason != ChangedByAnswer ||
		changes[0].AnswerTook != 50*ms || changes[0].SinceServed < 3*time.Second || changes[0].BadOutcomes < outageFailures ||
		changes[0].ColdBudget <= 0 || changes[0].RecentCalls < outageFailures {
		t.Errorf("change %+v, want one from suspect to recovering by an answer after 50 ms", changes[0])
	}
}
