package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/rules"
	"larchrouter/internal/lab/scenario"
	"larchrouter/internal/lab/standin"
)

// TestMain lets this binary, run as a child process, act as a stand-in for a relay.
func TestMain(m *testing.M) {
	if flaw, ok := os.LookupEnv(standin.FlawEnv); ok {
		if err := standin.Main(standin.Flaw(flaw)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// maxTestLatenessMs is the error of the lab's timestamps in milliseconds up to which a test accepts a run: half of the rules'
// tolerance.
const maxTestLatenessMs = 25

// playScenario plays a scenario, up to six times while the machine is too busy for the timestamps to be exact enough.
func playScenario(t *testing.T, s *scenario.Scenario, o Options) *Result {
	t.Helper()
	for attempt := 1; ; attempt++ {
		r, err := Run(context.Background(), s, o)
		if err != nil {
			t.Fatal(err)
		}
		if r.VoidReason == "" && r.Lateness.Max <= maxTestLatenessMs || attempt == 6 {
			return r
		}
		t.Logf("playing again: the lab's timers were up to %.0f ms late", r.Lateness.Max)
	}
}

func parseScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func logResult(t *testing.T, r *Result) {
	t.Helper()
	t.Log(r.Report)
	for _, b := range r.Report.Violations {
		t.Log(b)
		for _, e := range b.Events {
			t.Log("   ", e)
		}
	}
	for _, f := range r.Failures {
		t.Log("expectation not met:", f.Expectation, f.Text)
	}
}

// buildPrograms builds the relay and the keeper and returns options that start them.
func buildPrograms(t *testing.T) Options {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "bin")+"/", "larchrouter/cmd/larchrouter", "larchrouter/cmd/larchkeeper").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return Options{Root: dir, RelayCommand: "exec bin/larchrouter", KeeperCommand: "exec bin/larchkeeper"}
}

// Guards against relays that break a rule, or lose accepted messages, when faults come together: of five relays under load one
// is killed, one paused, one upgraded and one restarted in order, while a zone is cut off and an endpoint drains.
func TestRelaysUnderFaults(t *testing.T) {
	o := buildPrograms(t)
	o.HistoryPath = filepath.Join(t.TempDir(), "history")
	s := parseScenario(t, `
duration = "7s"
seed = 5
[fleet]
relays = 5
zones = ["a", "b"]
[platform]
destinations = 4
cold = "2s"
[load]
rate = 60.0
deadline = "5s"
[[fault]]
at = "1s"
kind = "kill"
from = "relay/0"
[[fault]]
at = "1500ms"
for = "1s"
kind = "pause"
from = "relay/1"
[[fault]]
at = "2s"
kind = "upgrade"
from = "relay/2"
[[fault]]
at = "1s"
for = "2s"
kind = "cut"
from = "relays"
to = "endpoints:zone=b"
both = true
[[fault]]
at = "4s"
for = "1s"
kind = "reset"
bytes = 200
from = "relay/3"
to = "endpoints"
[[fault]]
at = "3s"
kind = "term"
from = "relay/4"
[[step]]
at = "500ms"
do = "drain"
to = "endpoint/1"
[[step]]
at = "2s"
do = "settings"
to = "relay/3"
break = "cut"
`)
	r := playScenario(t, s, o)
	if len(r.Failures) > 0 {
		logResult(t, r)
		t.Error("the run did not meet its expectations")
	}
	if r.Report.Asked == 0 || r.Report.InTime+r.Report.Late == 0 {
		t.Errorf("no message was sent or delivered: %s", r.Report)
	}
	for _, rule := range []rules.Rule{rules.End, rules.Once, rules.Twice, rules.Repeat, rules.Wait, rules.Drain, rules.Own, rules.Process, rules.Figures} {
		if r.Report.Checked[rule] == 0 && rule != rules.Twice && rule != rules.Repeat {
			t.Errorf("nothing was checked by the rule %q", rule)
		}
	}
	// Checking the stored history again must give the same report.
	f, err := os.Open(o.HistoryPath)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	checker := rules.New()
	if cut, err := history.Read(f, checker.Observe); err != nil || cut {
		t.Fatal(cut, err)
	}
	again := checker.Close()
	if again.String() != r.Report.String() {
		t.Errorf("the stored history gives %s, the run gave %s", again, r.Report)
	}
}

// Guards against relays that follow contradicting configurations for longer than allowed, accepted changes that are lost, and
// service that stops, with three keepers and six relays: the leading keeper is killed right after a change is proposed, relays are
// cut off from keepers and paused for longer than their lease, and the next leader is paused while a change is rolled out.
func TestKeepersUnderFaults(t *testing.T) {
	o := buildPrograms(t)
	r := playScenario(t, parseScenario(t, `
duration = "14s"
seed = 6
[fleet]
relays = 6
keepers = 3
zones = ["a", "b"]
lease = "1500ms"
[platform]
destinations = 4
[load]
rate = 60.0
deadline = "4s"
[[step]]
at = "1s"
do = "settings"
set = { "max-attempts" = 6 }
[[fault]]
at = "1010ms"
for = "600ms"
kind = "kill"
from = "keeper/leader"
[[fault]]
at = "4s"
for = "4s"
kind = "cut"
from = "relays:zone=a"
to = "keepers"
both = true
[[step]]
at = "4500ms"
do = "settings"
set = { "max-attempts" = 4 }
[[fault]]
at = "8500ms"
for = "2500ms"
kind = "pause"
from = "relay/1"
[[step]]
at = "8600ms"
do = "settings"
set = { "max-attempts" = 7 }
[[fault]]
at = "11s"
for = "1500ms"
kind = "pause"
from = "keeper/leader"
[[step]]
at = "11010ms"
do = "settings"
set = { "max-attempts" = 5 }
[[step]]
at = "12s"
do = "settings"
break = "missing"
[expect]
contradiction = "1515ms"
`), o)
	if len(r.Failures) > 0 {
		logResult(t, r)
		t.Error("the run did not meet its expectations")
	}
	if a := r.Report.Generations; a == nil || len(a.Generations) < 4 || a.Calls["fallback"] == 0 {
		t.Errorf("%v: want four generations in use and calls in fallback mode", a)
	}
	if r.Report.InTime+r.Report.Late < r.Report.Asked/2 {
		t.Errorf("less than half of the messages were served: %s", r.Report)
	}
}
