package lab

import (
	"sync/atomic"
	"testing"
)

// Guards against messages in the backlog on disk that are lost, repeated or forgotten. The journal has space for only a fraction
// of the pending messages: half of the destinations are down for most of the run, and meanwhile the three relays are killed,
// upgraded and paused. Then all destinations recover.
func TestBacklogUnderFaults(t *testing.T) {
	o := buildPrograms(t)
	var mostQueued atomic.Int64
	o.OnProgress = func(p Progress) {
		for _, row := range p.Rows {
			mostQueued.Store(max(mostQueued.Load(), int64(row.Metrics["svc.backlog.messages"])))
		}
	}
	r := playScenario(t, parseScenario(t, `
duration = "15s"
seed = 6
[fleet]
relays = 3
zones = ["a", "b"]
disk-mb = 4.1
backlog-mb = 3
[platform]
destinations = 4
cold = "2s"
[load]
rate = 240.0
deadline = "7s"
classes = ["keyed", "safe", "once"]
[[fault]]
at = "1s"
for = "7s"
kind = "outage"
from = "endpoints:dest=0"
[[fault]]
at = "1s"
for = "10s"
kind = "outage"
from = "endpoints:dest=2"
[[fault]]
at = "5s"
for = "500ms"
kind = "kill"
from = "relay/0"
[[fault]]
at = "5500ms"
kind = "upgrade"
from = "relay/1"
[[fault]]
at = "6s"
for = "1s"
kind = "pause"
from = "relay/2"
[[fault]]
at = "9s"
for = "500ms"
kind = "kill"
from = "relays:part=0.7"
[expect]
promised = 0
`), o)
	if len(r.Failures) > 0 {
		logResult(t, r)
		t.Error("the run did not meet its expectations")
	}
	if mostQueued.Load() < 20 {
		t.Errorf("a relay had at most %d messages on disk, want at least 20: the backlog was not tested", mostQueued.Load())
	}
}
