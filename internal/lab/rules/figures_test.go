package rules

import (
	"fmt"
	"testing"

	"larchrouter/internal/lab/history"
)

// Guards against a relay that is blamed for not counting what clients wanted that had left, as far as it can know, and against one
// that does not count what others were refused.
func TestRefusalsThatAreNotCounted(t *testing.T) {
	for how, rule := range map[string]Rule{history.HalfClosed: "", "": Figures} {
		var events []history.Event
		for i := range int64(10) {
			h := hand(100+i, fmt.Sprintf("m%d", i), "keyed")
			h.Detail = how
			events = append(events, h)
		}
		for i := range int64(10) {
			events = append(events, heard(120+i, fmt.Sprintf("m%d", i), 503))
		}
		figures := history.Event{At: 2000, CompleteAt: 2000, Kind: history.Metrics, Proc: "relay/0", Values: map[string]float64{"svc.requests.keyed.refused": 0}}
		check(t, map[string]ruleCase{"refused, " + how: {rule, append(events, figures)}})
	}
}
