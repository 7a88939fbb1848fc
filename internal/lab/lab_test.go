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

// Run as a child, this binary is a stand-in for a relay.
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

// calm is the error of the lab's stamps up to which a test takes a run's word: half of the rules' slack.
const calm = 25

// play plays a scenario, again while the machine is too busy for its stamps to show anything.
func play(t *testing.T, s *scenario.Scenario, o Options) *Result {
	t.Helper()
	for try := 1; ; try++ {
		r, err := Run(context.Background(), s, o)
		if err != nil {
			t.Fatal(err)
		}
		if r.Void == "" && r.Lateness.Max <= calm || try == 6 {
			return r
		}
		t.Logf("played again: the lab's timers came up to %.0f ms late", r.Lateness.Max)
	}
}

func parse(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func tell(t *testing.T, r *Result) {
	t.Helper()
	t.Log(r.Report)
	for _, b := range r.Report.Shown {
		t.Log(b)
		for _, e := range b.Lines {
			t.Log("   ", e)
		}
	}
	for _, f := range r.Failures {
		t.Log("not held:", f.Expectation, f.Text)
	}
}

// relays builds the relay once, and says how it is started.
func relays(t *testing.T) Options {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "bin")+"/", "larchrouter/cmd/larchrouter", "larchrouter/cmd/larchkeeper").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return Options{Root: dir, Command: "exec bin/larchrouter", Keeper: "exec bin/larchkeeper"}
}

// Several real relays under load, one killed, one paused, one upgraded, one restarted in order, a zone cut and an
// endpoint drained meanwhile: the rules hold, and what was taken on has its end.
func TestRelaysUnderFaults(t *testing.T) {
	o := relays(t)
	o.History = filepath.Join(t.TempDir(), "history")
	s := parse(t, `
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
	r := play(t, s, o)
	if len(r.Failures) > 0 {
		tell(t, r)
		t.Error("expectations did not hold")
	}
	if r.Report.Asked == 0 || r.Report.InTime+r.Report.Late == 0 {
		t.Errorf("nothing was done: %s", r.Report)
	}
	for _, rule := range []rules.Rule{rules.End, rules.Once, rules.Twice, rules.Repeat, rules.Wait, rules.Drain, rules.Own, rules.Process, rules.Figures} {
		if r.Report.Looked[rule] == 0 && rule != rules.Twice && rule != rules.Repeat {
			t.Errorf("nothing tried the rule %q", rule)
		}
	}
	// The history alone tells the same.
	f, err := os.Open(o.History)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	checker := rules.New()
	if cut, err := history.Read(f, checker.See); err != nil || cut {
		t.Fatal(cut, err)
	}
	again := checker.Close()
	if again.String() != r.Report.String() {
		t.Errorf("the history read again tells %s, the run told %s", again, r.Report)
	}
}

// Three keepers and six relays: the keeper that leads is killed as a change comes, relays are cut off from keepers and
// stopped past their lease, the next leader is stopped in the middle of a turn. Relays never contradict each other for
// longer than the stated time, what operators were told to be accepted is known at the end, and serving goes on.
func TestKeepersUnderFaults(t *testing.T) {
	o := relays(t)
	r := play(t, parse(t, `
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
		tell(t, r)
		t.Error("expectations did not hold")
	}
	if a := r.Report.Agreed; a == nil || len(a.Seen) < 4 || a.Calls["fallback"] == 0 {
		t.Errorf("%v: not all of it was tried", a)
	}
	if r.Report.InTime+r.Report.Late < r.Report.Asked/2 {
		t.Errorf("serving did not go on: %s", r.Report)
	}
}
