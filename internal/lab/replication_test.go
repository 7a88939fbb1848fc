package lab

import (
	"testing"
)

// Guards against accepted messages without exactly one outcome, and lost machines whose messages are not taken over, with eight
// relays, three keepers and two copies: one owner is cut off from the keepers, one is paused for longer than its lease, links
// between zones are delayed, two machines, which may be owner and replica, are lost at the same time, one of them for good and the
// other to come back empty, and one comes back with an old state of its disk.
func TestReplicationUnderFaults(t *testing.T) {
	o := buildPrograms(t)
	r := playScenario(t, parseScenario(t, `
duration = "22s"
seed = 9
[fleet]
relays = 8
keepers = 3
zones = ["a", "b"]
lease = "1500ms"
copies = 2
disk-mb = 8
[platform]
destinations = 4
latency = "150ms"
[load]
rate = 60.0
deadline = "5s"
classes = ["keyed", "safe", "once"]
[[fault]]
at = "2s"
for = "4s"
kind = "cut"
from = "relay/0"
to = "keepers"
both = true
[[fault]]
at = "3s"
for = "3s"
kind = "pause"
from = "relay/1"
[[fault]]
at = "7s"
for = "3s"
kind = "delay"
by = "60ms"
spread = "60ms"
from = "relays:zone=a"
to = "relays:zone=b"
both = true
[[fault]]
at = "8s"
kind = "lose"
from = "relay/2"
[[fault]]
at = "8s"
for = "5s"
kind = "lose"
from = "relay/3"
[[fault]]
at = "15s"
for = "1s"
kind = "rollback"
by = "3s"
from = "relay/4"
[[fault]]
at = "18s"
for = "1s"
kind = "kill"
from = "relays:part=0.7"
[expect]
promised = 0
`), o)
	if len(r.Failures) > 0 {
		logResult(t, r)
		t.Error("the run did not meet its expectations")
	}
	if len(r.Report.Takeovers) != 3 {
		t.Errorf("%d machines were lost, want 3", len(r.Report.Takeovers))
	}
	for _, over := range r.Report.Takeovers {
		if over.After < 0 {
			t.Error(over)
		}
	}
	if r.Report.InTime+r.Report.Late < r.Report.Asked/2 {
		t.Errorf("less than half of the messages were served: %s", r.Report)
	}
}
