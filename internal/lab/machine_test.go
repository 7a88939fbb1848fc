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

// What a run does with the machine that it runs on.

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
	o := Options{Root: t.TempDir(), Folder: dir, Command: "echo $$ >> pids; exec " + self, Env: []string{standin.FlawEnv + "="},
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
		w := &world{scenario: s, checker: rules.New(), net: link.NewNet(history.NewClock()), clients: platform.NewClients(platform.Env{Scenario: s}, platform.NewRelayPool())}
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
