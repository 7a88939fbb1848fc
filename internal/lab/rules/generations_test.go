package rules

import (
	"math"
	"testing"

	"larchrouter/internal/lab/history"
)

// Guards against a contradiction that goes undetected, and against one that is reported where there is none.
func TestContradiction(t *testing.T) {
	callBy := func(t int64, relay, agreed string) history.Event {
		return history.Event{At: t, Kind: history.CallReceived, Relay: relay, Call: t, IDs: []string{"m"}, Endpoint: "endpoint/0", BegunAt: t, CompleteAt: t, Agreed: agreed}
	}
	delayed := callBy(9000, "relay/0", "2 1 0 alone") // delayed by a cut link
	delayed.BegunAt = 1000
	for name, c := range map[string]struct {
		events               []history.Event
		contradiction, three float64
	}{
		"both steps in order": {[]history.Event{callBy(1000, "relay/0", "2 1 0 alone"), callBy(1100, "relay/1", "3 1 2 joined"), callBy(1200, "relay/0", "3 1 2 joined"),
			callBy(1300, "relay/1", "4 2 0 alone"), callBy(1400, "relay/0", "3 1 2 joined"), callBy(1500, "relay/0", "4 2 0 alone")}, 0, 0},
		"the old generation alone after the new one": {[]history.Event{callBy(1000, "relay/1", "4 2 0 alone"), callBy(1250, "relay/0", "2 1 0 alone")}, 0.25, 0},
		"delayed on its way":                         {[]history.Event{callBy(2000, "relay/1", "4 2 0 alone"), delayed}, 0, 0},
		"by the fallback":                            {[]history.Event{callBy(1000, "relay/1", "4 2 0 alone"), callBy(5000, "relay/0", "2 1 0 fallback")}, 0, 0},
		"two generations behind":                     {[]history.Event{callBy(1000, "relay/1", "6 3 0 alone"), callBy(1500, "relay/0", "3 1 2 joined")}, 0.5, 0.5},
		"the join of an abandoned generation":        {[]history.Event{callBy(1000, "relay/1", "5 1 3 joined"), callBy(1700, "relay/0", "3 1 2 joined")}, 0, 0.7},
		"back from an abandoned generation":          {[]history.Event{callBy(1000, "relay/1", "3 1 2 joined"), callBy(1700, "relay/0", "4 1 0 alone")}, 0, 0},
	} {
		use := reportOf(c.events...).Generations
		if use == nil || math.Abs(use.Contradiction-c.contradiction) > 1e-6 || math.Abs(use.ThreeInUse-c.three) > 1e-6 {
			t.Errorf("%s: %v, want a contradiction of %.3f s and three generations in use for %.3f s", name, use, c.contradiction, c.three)
		}
	}
	if report := reportOf(callBy(1000, "relay/0", "nonsense")); report.Broken[Own] == 0 {
		t.Error("a call with an unreadable list of generations is accepted")
	}
}
