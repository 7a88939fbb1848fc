package rules

import (
	"testing"

	"larchrouter/internal/lab/history"
)

// ruleCase is a history, in the form that reportOf takes, and the rule that it breaks.
type ruleCase struct {
	rule   Rule // the rule that is broken; empty for none
	events []history.Event
}

// checkCases compares the verdict on each history with the expected one.
func checkCases(t *testing.T, cases map[string]ruleCase) {
	t.Helper()
	for name, c := range cases {
		r := reportOf(c.events...)
		for rule, n := range r.Broken {
			if rule != c.rule {
				t.Errorf("%s: %s is broken %d times: %v", name, rule, n, r.Violations)
			}
		}
		if c.rule != "" && r.Broken[c.rule] == 0 {
			t.Errorf("%s: no violation of %s is reported", name, c.rule)
		}
		if lost := r.Lost > 0; lost && c.rule != End {
			t.Errorf("%s: %d messages count as lost", name, r.Lost)
		}
	}
}

// The number of calls that a destination in slow start may receive is bounded, whoever sends them and however many
// relays there are.
func TestSlowStartBound(t *testing.T) {
	exceeded := func(allowed, calls float64, more map[string]float64) []history.Event {
		figures := map[string]float64{"allowed": allowed, "calls": calls}
		for k, v := range more {
			figures[k] = v
		}
		return []history.Event{{At: 100, Kind: history.SlowStartOverloaded, Values: figures}}
	}
	checkCases(t, map[string]ruleCase{
		"a small one at its bound":       {"", exceeded(16, 31, map[string]float64{"relay/0": 31})}, // 16 + 3*4 + 3
		"a small one above":              {Cold, exceeded(16, 32, map[string]float64{"relay/0": 32})},
		"a large one at its bound":       {"", exceeded(100, 122, map[string]float64{"relay/0": 122})}, // 100 + 2*10 + 2
		"a large one above":              {Cold, exceeded(100, 123, map[string]float64{"relay/0": 123})},
		"by relays of which few know it": {Cold, exceeded(100, 123, map[string]float64{"relay/0": 23, "relay/1": 50, "relay/2": 50})},
		"by many relays, a call each":    {Cold, exceeded(4, 14, map[string]float64{"relay/0": 1, "relay/1": 1, "relay/2": 1})}, // 4 + 3*2 + 3
	})
}
