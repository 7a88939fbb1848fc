package lab

import (
	"fmt"
	"testing"

	"larchrouter/internal/lab/rules"
)

// coldReturnScenario returns a scenario in which two of three destinations have an outage and return cold, while clients go on
// submitting messages that may wait for longer than the outage. One relay is restarted just before it. Endpoints queue what they
// cannot execute, and relays have slots for more calls than a cold destination withstands.
func coldReturnScenario(kind string, relays int, seed uint64) string {
	return fmt.Sprintf(`
name = "cold return after %[1]s, %[2]d relays, seed %[3]d"
duration = "27s"
seed = %[3]d
[fleet]
relays = %[2]d
cores = 2.0
[platform]
destinations = 3
endpoints = 2
latency = "60ms"
cold = "12s"
limit = 0.0
queue = "60s"
[load]
rate = 60.0
deadline = "24s"
[[step]]
at = "100ms"
do = "settings"
to = "relays"
set = { "workers" = 40 }
[[fault]]
at = "2200ms"
kind = "term"
from = "relay/0"
[[fault]]
at = "4s"
for = "12s"
kind = %[1]q
from = "endpoints:dest=0"
[[fault]]
at = "4s"
for = "12s"
kind = %[1]q
from = "endpoints:dest=2"
`, kind, relays, seed)
}

// Guards against relays that take a destination for healthy at its first answer after an outage in which it was silent, and push
// it over while it is cold.
func TestSilentDestinationIsNotOverloadedOnReturn(t *testing.T) {
	o := buildPrograms(t)
	for _, c := range []struct {
		kind   string
		relays int
	}{{"hang", 3}, {"hang", 6}, {"vanish", 3}, {"outage", 6}} {
		playColdReturns(t, o, c.kind, c.relays)
	}
}

// Guards against relays that push over a destination that refused all calls, when it is back and cold. Most refusals tell a wait
// to the end of the outage; choice's TestColdFleetAfterDestinationWasShut has those with short waits and none.
func TestShutDestinationIsNotOverloadedOnReturn(t *testing.T) {
	playColdReturns(t, buildPrograms(t), "shut", 6)
}

// playColdReturns plays a cold return with the seeds of the command line, and checks the rule on cold destinations.
func playColdReturns(t *testing.T, o Options, kind string, relays int) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("%s, %d relays, %d", kind, relays, seed), func(t *testing.T) {
			t.Parallel()
			r := playScenario(t, parseScenario(t, coldReturnScenario(kind, relays, seed)), o)
			if r.Report.Broken[rules.Cold] > 0 || len(r.Failures) > 0 {
				logResult(t, r)
				t.Errorf("%d destinations were pushed over while they were cold", r.Report.Broken[rules.Cold])
			}
			if r.Report.Checked[rules.Cold] == 0 || r.Report.InTime == 0 {
				t.Errorf("no destination came back cold, or nothing was served: %s", r.Report)
			}
		})
	}
}
