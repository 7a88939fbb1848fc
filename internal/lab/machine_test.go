package lab

import (
	"context"
	"fmt"
	"net"
	"os"
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

// Guards against a lab that blames a relay, or waits forever, if a process does not start.
func TestFailedStartIsReported(t *testing.T) {
	s := parseScenario(t, "duration = \"1s\"\n[fleet]\nrelays = 2")
	for command, want := range map[string]string{
		"echo no such thing >&2; exit 7": "no such thing",
		"exec /nowhere/at/all":           "ended before it could serve",
	} {
		begin := time.Now()
		_, err := Run(context.Background(), s, Options{Root: t.TempDir(), RunDirParent: t.TempDir(), RelayCommand: command})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", command, err, want)
		}
		if time.Since(begin) > readyTimeout {
			t.Errorf("%s: it took %v to detect that the process had ended", command, time.Since(begin))
		}
	}
}

// Guards against processes and directories that remain after an interrupted run.
func TestInterruptedRunLeavesNothingBehind(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var pids []int
	dir := t.TempDir()
	o := Options{Root: t.TempDir(), RunDirParent: dir, RelayCommand: "echo $$ >> pids; exec " + self, Env: []string{standin.FlawEnv + "="},
		OnProgress: func(Progress) { cancel() }}
	if _, err := Run(ctx, parseScenario(t, "duration = \"1h\"\n[fleet]\nrelays = 2"), o); err != nil {
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
			t.Errorf("process %d still exists after the run", pid)
		}
	}
	if len(pids) != 2 {
		t.Errorf("%d processes were started, want 2", len(pids))
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) > 0 {
		t.Errorf("%v still exist after the run", left)
	}
}

// Guards against relays that are blamed when the machine is so busy that the lab's own timers are late.
func TestOverloadedMachineMakesRunVoid(t *testing.T) {
	for _, c := range []struct {
		late Lateness
		void bool
	}{{Lateness{1, 49, 300}, false}, {Lateness{1, 51, 300}, true}} {
		s := scenario.Default()
		run := &labRun{scenario: s, checker: rules.New(), network: link.NewNet(history.NewClock()), clients: platform.NewClients(platform.Env{Scenario: s}, platform.NewRelayPool())}
		if r := run.result(c.late); (r.VoidReason != "") != c.void {
			t.Errorf("%+v: the reason for a void run is %q", c.late, r.VoidReason)
		}
	}
}

// Guards against a relay that is given a port that another program uses, and two runs that share addresses.
func TestRunsGetSeparateAddresses(t *testing.T) {
	a, err := reserveBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer a.lock.Close()
	b, err := reserveBlock()
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
		t.Errorf("got %s, %v while %s is in use", second, err, first)
	}
}
