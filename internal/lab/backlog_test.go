package lab

import (
	"sync/atomic"
	"testing"
)

// Three relays with a backlog on disk and a journal for a fraction of what waits: half of the destinations are out for most of
// the run, relays are killed, upgraded, stopped and restarted with messages on disk, and all is back at once. The rules hold.
func TestBacklogUnderFaults(t *testing.T) {
	o := relays(t)
	var most atomic.Int64
	o.Each = func(p Progress) {
		for _, row := range p.Rows {
			most.Store(max(most.Load(), int64(row.Figures["svc.backlog.messages"])))
		}
	}
	r := play(t, parse(t, `
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
		tell(t, r)
		t.Error("expectations did not hold")
	}
	if most.Load() < 20 {
		t.Errorf("%d messages were on a relay's disk at most: nothing was shown", most.Load())
	}
}
