package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/journal"
)

var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "larchrouter")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "larchrouter")
	out, err := exec.Command("go", "build", "-o", path, "larchrouter/cmd/larchrouter").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// startProcess starts the program, and returns its address once it serves.
func startProcess(t *testing.T, platform *fakePlatform, state string) (*exec.Cmd, string) {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, testConfig(t, platform), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_STATE="+state)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	addr := make(chan string, 1)
	go func() {
		for s := bufio.NewScanner(logs); s.Scan(); {
			if _, a, ok := strings.Cut(s.Text(), "addr="); ok {
				addr <- a
			}
		}
	}()
	return cmd, receive(t, addr, "address")
}

func checkUp(t *testing.T, addr string) {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/up")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "status of /up", resp.StatusCode, 200)
}

// Guards against a lost message and against a second effect when a relay is killed with a call in flight: an idempotent
// message is sent again, one with a key is sent again in the same zone, and one that must not run twice ends with a
// notice.
func TestKillAndRestart(t *testing.T) {
	for _, class := range []string{"job-order", "status-update", "payment"} {
		t.Run(class, func(t *testing.T) {
			calls := make(chan *receivedCall, 10)
			platform := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"), testEndpoint("s-2", newFakeHost(t, "b", calls), "almacen"))
			state := t.TempDir()
			cmd, addr := startProcess(t, platform, state)
			checkUp(t, addr)
			status, _ := postMessage(t, addr, "m1", class)
			want(t, "status", status, 202)
			first := receive(t, calls, "call")
			cmd.Process.Kill()
			cmd.Wait()
			_, addr = startProcess(t, platform, state)
			checkUp(t, addr)
			if class == "payment" {
				want(t, "notice", receive(t, platform.notices, "notice"), notice{ID: "m1", Status: undeliverable})
				postMessage(t, addr, "m2", class)
				call := receive(t, calls, "call")
				want(t, "id of the next call", call.id, "m2")
				call.answer <- 200
				return
			}
			call := receive(t, calls, "call after the restart")
			want(t, "id", call.id, "m1")
			want(t, "body", call.body, first.body)
			want(t, "key", call.key, first.key)
			if class == "job-order" {
				want(t, "host, the only one that knows the key", call.host, first.host)
			}
			call.answer <- 200
		})
	}
}

// Guards against a stop that drops a call in flight, or refuses clients that still connect.
func TestSIGTERM(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	platform := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	cmd, addr := startProcess(t, platform, t.TempDir())
	postMessage(t, addr, "m1", "payment")
	first := receive(t, calls, "call")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	status, _ := postMessage(t, addr, "m2", "payment")
	want(t, "status after SIGTERM", status, 202)
	first.answer <- 200
	receive(t, calls, "second call").answer <- 200
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v, want status 0", err)
	}
	if len(platform.notices) > 0 {
		t.Fatalf("notice %v, want none", <-platform.notices)
	}
}

// Guards against a relay that exits on SIGHUP, or that keeps using the platform's previous address. A configuration
// that cannot be read changes nothing.
func TestSIGHUP(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	host := testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")
	old, moved := newFakePlatform(t, host), newFakePlatform(t, host)
	cmd, addr := startProcess(t, old, t.TempDir())
	checkUp(t, addr)
	var path string
	for _, v := range cmd.Env {
		if p, ok := strings.CutPrefix(v, "BALANCER_CONFIG="); ok {
			path = p
		}
	}
	for _, data := range [][]byte{[]byte("{"), testConfig(t, moved)} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		checkUp(t, addr)
	}
	want(t, "first query at the new address", receive(t, moved.queries, "query"), "")
	want(t, "next query has the known version", strings.HasPrefix(receive(t, moved.queries, "query"), "since=1&"), true)
	postMessage(t, addr, "m1", "payment")
	receive(t, calls, "call").answer <- 500
	want(t, "notice", receive(t, moved.notices, "notice"), notice{ID: "m1", Status: undeliverable})
}

// Guards against a late notice for a message whose time expired while the relay was down.
func TestExpiredMessageIsReportedAtStart(t *testing.T) {
	for _, test := range []struct {
		class, status string
		tried         bool
	}{{"status-update", deferred, true}, {"payment", deferred, false}, {"payment", undeliverable, true}} {
		calls := make(chan *receivedCall, 10)
		platform := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
		startRelay(t, platform, func(config *Config) {
			records, err := journal.Open(config.StateDir, 3e6)
			if err != nil {
				t.Fatal(err)
			}
			expiredAt := time.Now().Add(-time.Second).UnixMilli()
			recs := []journal.Record{{Op: journal.OpAccepted, Entry: &journal.Entry{ID: "m1", Class: test.class, Dest: 7, Due: expiredAt}}}
			if test.tried {
				recs = append(recs, journal.Record{Op: journal.OpTry, ID: "m1", At: expiredAt})
			}
			if err := records.Append(recs...); err != nil {
				t.Fatal(err)
			}
		})
		want(t, "status", receive(t, platform.notices, "notice").Status, test.status)
		want(t, "calls", len(calls), 0)
	}
}

// Guards the two most important rules across every kind of failure and two kills, or two upgrades: each accepted
// message ends, and a message that must not be repeated is not. The hosts answer, refuse, fail, reset and hang in turn.
func TestNothingLostOrRepeatedAcrossProcesses(t *testing.T) {
	t.Run("kills", func(t *testing.T) {
		testAcrossProcesses(t, func(old *exec.Cmd, next func() (*exec.Cmd, string)) (*exec.Cmd, string) {
			old.Process.Kill()
			old.Wait()
			return next()
		})
	})
	t.Run("upgrades", func(t *testing.T) {
		testAcrossProcesses(t, func(old *exec.Cmd, next func() (*exec.Cmd, string)) (*exec.Cmd, string) {
			cmd, addr := next()
			if err := old.Process.Signal(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			return cmd, addr
		})
	})
}

func testAcrossProcesses(t *testing.T, replace func(old *exec.Cmd, next func() (*exec.Cmd, string)) (*exec.Cmd, string)) {
	const messages = 60
	classes := []string{"job-order", "status-update", "payment"}
	type run struct{ host, id string }
	var mu sync.Mutex
	runs, tries, ended := map[run]int{}, map[string]int{}, map[string]bool{}
	progress := make(chan struct{}, 10000)
	newHost := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			id := req.Header.Get("X-Request-Id")
			n, _ := strconv.Atoi(id[1:])
			mu.Lock()
			tries[id]++
			behaviour := (n/3 + tries[id] - 1) % 5
			if behaviour != 1 {
				runs[run{name, id}]++
			}
			ended[id] = ended[id] || behaviour == 0
			mu.Unlock()
			progress <- struct{}{}
			switch behaviour {
			case 1:
				w.Header().Set("Retry-After", "0.02")
				w.WriteHeader(429)
			case 2:
				w.WriteHeader(500)
			case 3:
				panic(http.ErrAbortHandler)
			case 4:
				<-req.Context().Done()
			}
		}))
		server.Config.ErrorLog = nil
		t.Cleanup(server.CloseClientConnections)
		return server.Listener.Addr().String()
	}
	platform := newFakePlatform(t, testEndpoint("s-1", newHost("a"), "taller"), testEndpoint("s-2", newHost("b"), "almacen"))
	state := t.TempDir()
	cmd, addr := startProcess(t, platform, state)
	accepted := map[string]bool{}
	for n := range messages {
		if n == messages/3 || n == 2*messages/3 {
			receive(t, progress, "call")
			cmd, addr = replace(cmd, func() (*exec.Cmd, string) { return startProcess(t, platform, state) })
		}
		id := fmt.Sprint("m", n)
		status, _ := postMessage(t, addr, id, classes[n%3], "X-Deadline-Ms", "2000")
		accepted[id] = status == 202
	}
	for unfinished := true; unfinished; {
		select {
		case n := <-platform.notices:
			mu.Lock()
			ended[n.ID] = true
			mu.Unlock()
		case <-progress:
		case <-time.After(30 * time.Second):
			t.Fatal("some messages have not ended")
		}
		unfinished = false
		mu.Lock()
		for id, ok := range accepted {
			unfinished = unfinished || ok && !ended[id]
		}
		mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	for n := range messages {
		id := fmt.Sprint("m", n)
		inFirst, inSecond := runs[run{"a", id}], runs[run{"b", id}]
		if classes[n%3] == "payment" && inFirst+inSecond > 1 {
			t.Errorf("payment %s may have run %d times", id, inFirst+inSecond)
		}
		if classes[n%3] == "job-order" && inFirst > 0 && inSecond > 0 {
			t.Errorf("job order %s may have run in both zones", id)
		}
		if tries[id] > 6 {
			t.Errorf("%s was sent %d times, want 6 at most", id, tries[id])
		}
	}
}

// Guards against a stop that waits for a host that never answers, until SIGKILL ends it: the call is left to the
// journal, and the next process ends the message.
func TestSIGTERMWithHangingCall(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	platform := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	state := t.TempDir()
	cmd, addr := startProcess(t, platform, state)
	postMessage(t, addr, "m1", "payment")
	receive(t, calls, "call")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v, want status 0", err)
	}
	if len(platform.notices) > 0 {
		t.Fatalf("notice %v before the message's deadline", <-platform.notices)
	}
	startProcess(t, platform, state)
	want(t, "notice", receive(t, platform.notices, "notice"), notice{ID: "m1", Status: undeliverable})
	want(t, "further calls", len(calls), 0)
}

// Guards against a crash where a refusal is due: a relay whose disk is full answers 503 and continues.
func TestFullDiskRefuses(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	relay.post(func() { relay.journal.StopWriting(journal.ErrFull) })
	status, _ := postMessage(t, relay.Addr(), "m1", "payment")
	want(t, "status", status, 503)
	relay.post(func() { relay.journal.Compact() })
	status, _ = postMessage(t, relay.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	c := receive(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}
