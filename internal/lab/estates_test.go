package lab

import (
	"testing"
)

// Eight relays, three keepers, two copies: an owner is cut off from keepers, one is stopped past its lease, the links between
// zones are late, a machine is lost for good with a holder's at the same time, one comes back with its folder as it was, one
// empty. What was taken on has its one end, and what the lost ones held is taken over.
func TestEstatesUnderFaults(t *testing.T) {
	o := relays(t)
	r := play(t, parse(t, `
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
		tell(t, r)
		t.Error("expectations did not hold")
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
		t.Errorf("serving did not go on: %s", r.Report)
	}
}
