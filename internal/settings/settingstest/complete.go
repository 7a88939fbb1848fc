// Package settingstest helps tests with settings objects.
package settingstest

import (
	"encoding/json"
	"testing"
)

// example is a settings object with all members that settings.Schema requires.
const example = `{"bounds":{"cancel":true,"conn-idle":10,"cpu-us-per-request":0,"cpu-us-per-s":637500,"dial-timeout":1.5,"max-attempts":8,"max-retry-after":3,
"most-held":344,"peers":false,"probes":false,"retry-after":true,"second-copies":false,"streams-per-conn":8},
"classes":[{"aim":3,"effect":"deduplicated","give-up":24,"group":"all","late-share":0.3,"name":"order","stream":false,"window":15,"worth":1}],
"client-habits":{"marks-retry":false},"domain-type":"deliver",
"family-info":{"late":"halving","notes":"","own-limits":[false],"per-call":[20],"refused-price":0.05,"report-x0":"","report-x1":"","workers":27,"zone-fee":[0]},
"fleet-size":2,"goal":{"whole":0.4,"worst-class":0,"worst-tenant":0.35,"worst-window":0.25},"index":0,"load-report":{"columns":[],"how":"off"},
"over-share-worth":0.05,"prices":{"connection":0,"cross-zone":0,"handshake":0.06,"late-fail":0.03,"moves":0,"origin":0,"peer":0,"probe":0,"registry-mode":0,"waste":0.05},
"registry-mode":"automatic","rules":{"ask-within":0,"cold":12,"cold-from":0.29,"drain-grace":1,"fall":2,"grace-to-answer":0.02,"overload-factor":1.5},
"skus":["big"],"tenants":[],"tick":0.005,"tier":0,"tiers":["partners"],"weights":"off","worth-by":"request","zone":0,"zones":["a"]}`

// Complete adds the members that a settings object lacks to a copy of it.
func Complete(t testing.TB, partial string) json.RawMessage {
	t.Helper()
	var object, defaults map[string]any
	for text, into := range map[string]*map[string]any{partial: &object, example: &defaults} {
		if err := json.Unmarshal([]byte(text), into); err != nil {
			t.Fatal(err)
		}
	}
	addMissing(object, defaults)
	completed, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return completed
}

// addMissing adds to a value the members that its defaults have. Each object in a list gets those of the first one in
// the defaults.
func addMissing(value, defaults any) {
	switch defaults := defaults.(type) {
	case map[string]any:
		object, ok := value.(map[string]any)
		if !ok {
			return
		}
		for name, member := range defaults {
			if _, present := object[name]; !present {
				object[name] = member
				continue
			}
			addMissing(object[name], member)
		}
	case []any:
		elements, ok := value.([]any)
		if !ok || len(defaults) == 0 {
			return
		}
		for _, element := range elements {
			addMissing(element, defaults[0])
		}
	}
}
