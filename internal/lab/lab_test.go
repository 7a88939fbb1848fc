package lab

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/rules"
	"larchrouter/internal/lab/scenario"
	"larchrouter/internal/lab/standin"
)

// Run as a child, this binary is a stand-in for a relay.
func TestMain(m *testing.M) {
	if flaw, ok := os.LookupEnv(standin.Env); ok {
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

// Guards against a rule that cannot be broken, and against one that an honest relay breaks: each flaw of a
// stand-in must be caught by the rule that is meant for it.
func TestFlawsAreCaught(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	const base = "duration = \"3s\"\n[fleet]\nrelays = 2\nzones = [\"a\"]\n[platform]\ndestinations = 3\nlatency = \"30ms\"\ncold = \"2s\"\n[load]\nrate = 40.0\nclients = 3\ndeadline = \"2s\"\n"
	drains := "[[step]]\nat = \"0s\"\ndo = \"drain\"\nto = \"endpoint/0\"\n"
	fails := "[[fault]]\nat = \"0s\"\nfor = \"3s\"\nkind = \"errors\"\npart = 0.5\nfrom = \"endpoints:dest=0\"\n"
	shut := "[[fault]]\nat = \"500ms\"\nfor = \"2s\"\nkind = \"shut\"\nfrom = \"endpoints:dest=0\"\n"
	const once, strangers = "classes = [\"once\"]", "strangers = 30.0"
	for _, c := range []struct {
		flaw standin.Flaw
		more string
		rule rules.Rule
	}{
		{standin.None, drains + fails + shut, ""},
		{standin.None, strangers, ""},
		{standin.Patient, strangers, rules.Strange},
		{standin.Welcomes, strangers, rules.Strange},
		{standin.Late, fails + once, rules.Repeat},
		{standin.Twice, "", rules.Twice},
		{standin.Late, fails, rules.Repeat},
		{standin.Waits, shut, rules.Wait},
		{standin.Drains, "duration = \"9s\"\n" + drains, rules.Drain},
		{standin.Bans, "[[step]]\nat = \"500ms\"\ndo = \"ban\"\nto = \"endpoint/0\"\n", rules.Drain},
		{standin.Forgets, "", rules.End},
		{standin.TwoEnds, "", rules.Once},
		{standin.Lies, "", rules.Figures},
		{standin.Changes, "", rules.Own},
		{standin.Strays, "", rules.Own},
		{standin.Invented, "", rules.Own},
		{standin.Endless, strings.Replace(fails, "0.5", "1.0", 1), rules.Attempts},
		{standin.Dies, "", rules.Process},
		{standin.None, "[[fault]]\nat = \"1s\"\nkind = \"kill\"\nfrom = \"relays\"\n", rules.End}, // it has no journal
	} {
		t.Run(fmt.Sprintf("%s,%s", c.flaw, c.rule), func(t *testing.T) {
			t.Parallel()
			text := base + c.more
			if more, ok := strings.CutPrefix(c.more, "duration = \"9s\"\n"); ok {
				text = strings.Replace(base, "3s", "9s", 1) + more
			}
			if c.more == strangers {
				text = base + c.more // of load, the last table
			} else if more, ok := strings.CutSuffix(c.more, once); ok {
				text = base + once + "\n" + more
			}
			r := play(t, parse(t, text), Options{Root: t.TempDir(), Command: "exec " + self, Env: []string{standin.Env + "=" + string(c.flaw)}})
			if c.rule != "" && r.Report.Broken[c.rule] == 0 || c.rule == "" && len(r.Failures) > 0 {
				tell(t, r)
				t.Errorf("rule %q: broken %d times", c.rule, r.Report.Broken[c.rule])
			}
			if c.rule == "" && r.Report.Served == 0 {
				t.Error("nothing was served")
			}
		})
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

// Guards against a lab that blames a relay, or waits for ever, where a process does not start.
func TestProcessesThatDoNotStart(t *testing.T) {
	s := parse(t, "duration = \"1s\"\n[fleet]\nrelays = 2")
	for command, want := range map[string]string{
		"echo no such thing >&2; exit 7": "no such thing",
		"exec /nowhere/at/all":           "ended before it could serve",
	} {
		begin := time.Now()
		_, err := Run(context.Background(), s, Options{Root: t.TempDir(), Folder: t.TempDir(), Command: command})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", command, err, want)
		}
		if time.Since(begin) > readyIn {
			t.Errorf("%s: it took %v to see that it had ended", command, time.Since(begin))
		}
	}
}

// Guards against processes and folders that outlast a run which is interrupted.
func TestInterrupted(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var pids []int
	dir := t.TempDir()
	o := Options{Root: t.TempDir(), Folder: dir, Command: "echo $$ >> pids; exec " + self, Env: []string{standin.Env + "="},
		Each: func(Progress) { cancel() }}
	if _, err := Run(ctx, parse(t, "duration = \"1h\"\n[fleet]\nrelays = 2"), o); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(o.Root, "pids"))
	if err != nil {
		t.Fatal(err)
	}
	for _, word := range strings.Fields(string(data)) {
		var pid int
		fmt.Sscan(word, &pid)
		pids = append(pids, pid)
		if syscall.Kill(pid, 0) == nil {
			t.Errorf("process %d outlasts the run", pid)
		}
	}
	if len(pids) != 2 {
		t.Errorf("%d processes were started, want 2", len(pids))
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) > 0 {
		t.Errorf("%v outlast the run", left)
	}
}

// Guards against relays that are blamed for a machine on which the lab itself comes too late.
func TestTooBusyIsVoid(t *testing.T) {
	for _, c := range []struct {
		late Lateness
		void bool
	}{{Lateness{1, 49, 300}, false}, {Lateness{1, 51, 300}, true}} {
		s := scenario.Default()
		w := &world{scenario: s, checker: rules.New(), net: link.NewNet(history.NewClock()), clients: platform.NewClients(platform.Env{Scenario: s}, platform.NewFront())}
		if r := w.result(c.late); (r.Void != "") != c.void {
			t.Errorf("%+v: void is %q", c.late, r.Void)
		}
	}
}

// Guards against a relay that takes a port which another program has, and two runs that share addresses.
func TestAddresses(t *testing.T) {
	a, err := takeBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer a.lock.Close()
	b, err := takeBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer b.lock.Close()
	if a.prefix == b.prefix || a.relayIP(0) == a.relayIP(250) || a.relayIP(0) == a.clientIP(0) {
		t.Errorf("%s and %s, %s, %s, %s", a.prefix, b.prefix, a.relayIP(0), a.relayIP(250), a.clientIP(0))
	}
	first, err := freeAddr(a.relayIP(0), clientPort)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", first)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if second, err := freeAddr(a.relayIP(0), clientPort); err != nil || second == first {
		t.Errorf("%s, %v while somebody listens at %s", second, err, first)
	}
}
