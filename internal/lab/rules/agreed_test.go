package rules

import (
	"math"
	"testing"

	"larchrouter/internal/lab/history"
)

// Guards against a contradiction that is not seen, and one that is seen where there is none.
func TestContradiction(t *testing.T) {
	by := func(t int64, relay, agreed string) history.Event {
		return history.Event{At: t, Kind: history.CallReceived, Relay: relay, Call: t, IDs: []string{"m"}, Endpoint: "endpoint/0", BegunAt: t, CompleteAt: t, Agreed: agreed}
	}
	held := by(9000, "relay/0", "2 1 0 alone") // a cut held it up
	held.BegunAt = 1000
	for name, c := range map[string]struct {
		events               []history.Event
		contradiction, three float64
	}{
		"in both steps": {[]history.Event{by(1000, "relay/0", "2 1 0 alone"), by(1100, "relay/1", "3 1 2 joined"), by(1200, "relay/0", "3 1 2 joined"),
			by(1300, "relay/1", "4 2 0 alone"), by(1400, "relay/0", "3 1 2 joined"), by(1500, "relay/0", "4 2 0 alone")}, 0, 0},
		"the old one alone after the new one": {[]history.Event{by(1000, "relay/1", "4 2 0 alone"), by(1250, "relay/0", "2 1 0 alone")}, 0.25, 0},
		"held up on its way":                  {[]history.Event{by(2000, "relay/1", "4 2 0 alone"), held}, 0, 0},
		"by the fallback":                     {[]history.Event{by(1000, "relay/1", "4 2 0 alone"), by(5000, "relay/0", "2 1 0 fallback")}, 0, 0},
		"two before":                          {[]history.Event{by(1000, "relay/1", "6 3 0 alone"), by(1500, "relay/0", "3 1 2 joined")}, 0.5, 0.5},
		"the join of one given up":            {[]history.Event{by(1000, "relay/1", "5 1 3 joined"), by(1700, "relay/0", "3 1 2 joined")}, 0, 0.7},
		"back from one given up":              {[]history.Event{by(1000, "relay/1", "3 1 2 joined"), by(1700, "relay/0", "4 1 0 alone")}, 0, 0},
	} {
		a := play(c.events...).Agreed
		if a == nil || math.Abs(a.Contradiction-c.contradiction) > 1e-6 || math.Abs(a.Three-c.three) > 1e-6 {
			t.Errorf("%s: %v, want %.3f and %.3f", name, a, c.contradiction, c.three)
		}
	}
	if r := play(by(1000, "relay/0", "nonsense")); r.Broken[Own] == 0 {
		t.Error("a call that says nonsense of what it was decided by is passed over")
	}
}
