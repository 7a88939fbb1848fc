package lab

import (
	"fmt"
	"strings"
	"testing"

	"larchrouter/internal/lab/rules"
)

// drainScenario returns a scenario in which endpoints drain one after the other while calls for discovery's list have faults.
func drainScenario(relays int, faults ...string) string {
	var s strings.Builder
	fmt.Fprintf(&s, `duration = "17s"
seed = 3
[fleet]
relays = %d
cores = 2.0
[platform]
destinations = 3
endpoints = 5
latency = "30ms"
limit = 400.0
[load]
rate = 150.0
deadline = "4s"
`, relays)
	for _, fault := range faults {
		fmt.Fprintf(&s, "[[fault]]\nfrom = \"discovery\"\n%s\n", fault)
	}
	for i, endpoint := range []int{0, 5, 10, 1, 6, 11} {
		fmt.Fprintf(&s, "[[step]]\nat = \"%dms\"\ndo = \"drain\"\nto = \"endpoint/%d\"\n", 500+900*i, endpoint)
	}
	return s.String()
}

// Guards against relays that go on using their list of endpoints after several calls for a new one have failed in a row, in
// whatever way. A change counts as received 6 s after discovery had it; relays whose last two to four calls were refused (503)
// then sent requests to draining endpoints 1.1 to 1.5 s after that, because the pauses between calls only ensured that the next
// call was made in time, and nothing ended the use of the list when that call failed too. A process that was started meanwhile
// used the old list as if it had just received it.
func TestStaleListIsNotUsedForDrainingEndpoints(t *testing.T) {
	o := buildPrograms(t)
	for name, text := range map[string]string{
		"refused, few relays":  drainScenario(4, "at = \"2s\"\nfor = \"14s\"\nkind = \"busy-lists\"\npart = 1.0"),
		"refused, many relays": drainScenario(14, "at = \"2s\"\nfor = \"14s\"\nkind = \"busy-lists\"\npart = 1.0"),
		"silent":               drainScenario(4, "at = \"2s\"\nfor = \"14s\"\nkind = \"mute-lists\"\npart = 1.0"),
		"cut short":            drainScenario(14, "at = \"2s\"\nfor = \"14s\"\nkind = \"cut-lists\"\npart = 1.0"),
		"stalled":              drainScenario(4, "at = \"2s\"\nfor = \"14s\"\nkind = \"stalled-lists\"\npart = 1.0"),
		"restarted meanwhile": drainScenario(6, "at = \"2s\"\nfor = \"14s\"\nkind = \"busy-lists\"\npart = 1.0") +
			"[[fault]]\nat = \"7s\"\nkind = \"kill\"\nfor = \"300ms\"\nfrom = \"relays:part=0.5\"\n[[fault]]\nat = \"8s\"\nkind = \"upgrade\"\nfrom = \"relay/5\"\n",
		"crowded": drainScenario(16, "at = \"1s\"\nfor = \"15s\"\nkind = \"slow-lists\"\nby = \"900ms\""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playScenario(t, parseScenario(t, text), o)
			if r.Report.Broken[rules.Drain] > 0 || len(r.Failures) > 0 {
				logResult(t, r)
				t.Errorf("%d requests went to draining or removed endpoints", r.Report.Broken[rules.Drain])
			}
			if r.Report.Checked[rules.Drain] == 0 || r.Report.InTime == 0 {
				t.Errorf("nothing was served: %s", r.Report)
			}
		})
	}
}

// Guards against a list whose validity depends on how the next call for it will end. If that call fails, changes count as received
// 6 s after they were made, also for requests that were sent before the failure. Processes used a list for 10 s, the time that the
// settings give for asking, and for 6 s only once a call had failed, so that they sent requests to a draining endpoint 1.1 to
// 1.4 s after its change counted as received. In one case the list was requested 9.9 s and received 8 s before the request, the
// change was made 7.2 s before it, and the next call was refused 0.7 s after it.
// Here answers are late, so that calls are far apart, and then all calls are refused.
func TestListExpiryAllowsForAFailingNextCall(t *testing.T) {
	r := playScenario(t, parseScenario(t, drainScenario(16, "at = \"0s\"\nfor = \"6s\"\nkind = \"slow-lists\"\nby = \"200ms\"",
		"at = \"6s\"\nfor = \"11s\"\nkind = \"busy-lists\"\npart = 1.0")), buildPrograms(t))
	if r.Report.Broken[rules.Drain] > 0 || len(r.Failures) > 0 {
		logResult(t, r)
		t.Errorf("%d requests went to draining or removed endpoints", r.Report.Broken[rules.Drain])
	}
	if r.Report.Checked[rules.Drain] == 0 || r.Report.InTime == 0 {
		t.Errorf("nothing was served: %s", r.Report)
	}
}
