package lab

import (
	"fmt"
	"strings"
	"testing"

	"larchrouter/internal/lab/rules"
)

// drainsWhile is a scenario in which endpoints drain one after the other while calls for the list are in trouble.
func drainsWhile(relays int, faults ...string) string {
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

// Seen: in a rolling release, relays sent requests to endpoints 1.1 to 1.5 s after they counted as told that those drain.
// Cause: each of them had had two to four calls for the list refused (503) in a row, and went on by the list it had: the pauses
// between calls saw to it that the next call came in time, and nothing ended the use of the list when that one failed, too.
// Proof: the change was newer than the last list written to each relay at fault, it counted as told 6 s after discovery had it,
// and between the two there is no call for the list but failed ones. So it is with any way for several calls to fail. A process that
// was started meanwhile went on by that list, too, and as if it had just heard of it.
func TestNothingGoesToDrainingEndpointsByAnOldList(t *testing.T) {
	o := relays(t)
	for name, text := range map[string]string{
		"refused, few relays":  drainsWhile(4, "at = \"2s\"\nfor = \"14s\"\nkind = \"busy-lists\"\npart = 1.0"),
		"refused, many relays": drainsWhile(14, "at = \"2s\"\nfor = \"14s\"\nkind = \"busy-lists\"\npart = 1.0"),
		"silent":               drainsWhile(4, "at = \"2s\"\nfor = \"14s\"\nkind = \"mute-lists\"\npart = 1.0"),
		"cut short":            drainsWhile(14, "at = \"2s\"\nfor = \"14s\"\nkind = \"cut-lists\"\npart = 1.0"),
		"stalled":              drainsWhile(4, "at = \"2s\"\nfor = \"14s\"\nkind = \"stalled-lists\"\npart = 1.0"),
		"restarted meanwhile": drainsWhile(6, "at = \"2s\"\nfor = \"14s\"\nkind = \"busy-lists\"\npart = 1.0") +
			"[[fault]]\nat = \"7s\"\nkind = \"kill\"\nfor = \"300ms\"\nfrom = \"relays:part=0.5\"\n[[fault]]\nat = \"8s\"\nkind = \"upgrade\"\nfrom = \"relay/5\"\n",
		"crowded": drainsWhile(16, "at = \"1s\"\nfor = \"15s\"\nkind = \"slow-lists\"\nby = \"900ms\""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, parse(t, text), o)
			if r.Report.Broken[rules.Drain] > 0 || len(r.Failures) > 0 {
				tell(t, r)
				t.Errorf("%d requests went to endpoints that drain or are gone", r.Report.Broken[rules.Drain])
			}
			if r.Report.Checked[rules.Drain] == 0 || r.Report.InTime == 0 {
				t.Errorf("nothing was served: %s", r.Report)
			}
		})
	}
}

// Seen: in a rolling release, requests went to an endpoint 1.1 to 1.4 s after it counted as told that it drains, from processes whose
// calls for the list had all been answered until then.
// Cause: such a process held its list for the time that the settings give for asking, 10 s, and only for 6 s once a call had
// failed. But a call that fails has changes count as told 6 s after they were made, also for what went out before it: what a
// list is good for must not hang on how the next call will end.
// Proof: the log of a process at fault has its list asked for 9.9 s and answered 8 s before the request, no call between, and the next
// one refused 0.7 s behind it; the change was made 7.2 s before the request.
// Here answers come late, so that calls are far between, and then all are refused.
func TestNothingGoesOutThatTheNextCallMayForbid(t *testing.T) {
	r := play(t, parse(t, drainsWhile(16, "at = \"0s\"\nfor = \"6s\"\nkind = \"slow-lists\"\nby = \"200ms\"",
		"at = \"6s\"\nfor = \"11s\"\nkind = \"busy-lists\"\npart = 1.0")), relays(t))
	if r.Report.Broken[rules.Drain] > 0 || len(r.Failures) > 0 {
		tell(t, r)
		t.Errorf("%d requests went to endpoints that drain or are gone", r.Report.Broken[rules.Drain])
	}
	if r.Report.Checked[rules.Drain] == 0 || r.Report.InTime == 0 {
		t.Errorf("nothing was served: %s", r.Report)
	}
}
