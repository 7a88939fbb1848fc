package rules

import (
	"fmt"
	"testing"

	"larchrouter/internal/lab/history"
)

// Guards against a violation reported for a relay that does not count requests of clients that, as far as it can know,
// had disconnected; and against missing one for a relay that does not count the rejections of others.
func TestUncountedRefusals(t *testing.T) {
	for how, rule := range map[string]Rule{history.HalfClosed: "", "": Figures} {
		var events []history.Event
		for i := range int64(10) {
			h := submitted(100+i, fmt.Sprintf("m%d", i), "keyed")
			h.Detail = how
			events = append(events, h)
		}
		for i := range int64(10) {
			events = append(events, clientAnswer(120+i, fmt.Sprintf("m%d", i), 503))
		}
		figures := history.Event{At: 2000, CompleteAt: 2000, Kind: history.Metrics, Proc: "relay/0", Values: map[string]float64{"svc.requests.keyed.refused": 0}}
		checkCases(t, map[string]ruleCase{"refused, " + how: {rule, append(events, figures)}})
	}
}
