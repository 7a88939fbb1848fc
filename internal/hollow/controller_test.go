package hollow

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet/lease"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/lab/proc"
	"larchrouter/internal/settings/settingstest"
)

// configEnv names the environment variable with the path of a member process's ProcessConfig.
const configEnv = "HOLLOW_SHARE"

// TestMain runs the tests, or the members of a process that a test started.
func TestMain(m *testing.M) {
	if path := os.Getenv(configEnv); path != "" {
		var config ProcessConfig
		data, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(data, &config)
		}
		if err == nil {
			err = RunMembers(config)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// memberProcess is a process of members, as the controller sees it.
type memberProcess struct {
	*proc.Process
	conn  net.Conn
	mu    sync.Mutex // serializes writes to conn
	bytes int64      // read and written by its members so far; guarded by controller.mu
}

// controller runs a simulation: it starts keepers and member processes, sends commands and proposals, and records the history.
type controller struct {
	t         testing.TB
	keepers   *keepers
	members   int
	processes []*memberProcess
	readers   sync.WaitGroup

	mu            sync.Mutex
	transitions   []Transition
	current       map[int]Transition
	proposals     []ProposedChange
	lastProposed  uint64 // number of the newest change that keepers accepted
	proposalCount int
	recoveries    []Recovery
	failure       string
}

// baseDocumentBytes is about the size of a document without any kinds.
const baseDocumentBytes = 1450

// document returns the nth configuration document, of about that many bytes; consecutive documents differ.
func document(t testing.TB, n, bytes int) json.RawMessage {
	names := []string{}
	for i := 0; 12*len(names) < bytes-baseDocumentBytes; i++ {
		names = append(names, fmt.Sprintf("sku-%05d", i))
	}
	skus, _ := json.Marshal(names)
	return settingstest.Complete(t, fmt.Sprintf(`{"bounds":{"max-attempts":%d,"most-held":10,"conn-idle":5,"dial-timeout":1},"classes":[{"name":"order","aim":1,"give-up":4,"effect":"idempotent","group":"all","worth":1}],
	"family-info":{"workers":4,"per-call":[1]},"fleet-size":3,"rules":{"cold":4,"fall":2,"ask-within":10},"skus":%s,"tick":0.005,"zones":["a"]}`, 2+n%6, skus))
}

// newController starts the member processes; no member is started yet.
func newController(t testing.TB, k *keepers, members, processes, docBytes, listSize int) *controller {
	t.Helper()
	c := &controller{t: t, keepers: k, members: members, current: map[int]Transition{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	memberDirs, err := os.MkdirTemp(cmp.Or(*flagMemberDirs, k.dir), "members-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(memberDirs) })
	config := ProcessConfig{ControllerAddr: listener.Addr().String(), Dir: memberDirs, FleetSize: members, Keepers: k.wan.Keepers, Paths: k.wan.Paths,
		Settings: document(t, 0, docBytes), List: discovery.List{Version: 1, Full: true}}
	for i := range listSize {
		config.List.Servers = append(config.List.Servers, discovery.Server{ID: fmt.Sprintf("endpoint-%06d", i), Addr: fmt.Sprintf("10.0.%d.%d:443", i>>8, i&0xff),
			Zone: "a", Kind: "all", Cell: i, State: "up", Weight: 1})
	}
	for i := range processes {
		config.Members = nil
		for m := i * members / processes; m < (i+1)*members/processes; m++ {
			config.Members = append(config.Members, m)
		}
		data, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(k.dir, fmt.Sprintf("members-%d.json", i))
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
		started, err := proc.Start(proc.Spec{Name: fmt.Sprint("members/", i), Command: "exec " + os.Args[0], Dir: k.dir, Env: []string{configEnv + "=" + path},
			Log: filepath.Join(k.dir, fmt.Sprintf("members-%d.log", i))}, func(started *proc.Process) {
			if !started.Expected() && started.Err() != nil {
				t.Errorf("%s ended: %v", started.Name, started.Err())
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		listener.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		process := &memberProcess{Process: started, conn: conn}
		c.processes = append(c.processes, process)
		c.readers.Go(func() { c.readReports(process) })
	}
	t.Cleanup(c.stop)
	return c
}

// readReports records the reports of a process until its connection ends.
func (c *controller) readReports(process *memberProcess) {
	for decoder := json.NewDecoder(process.conn); ; {
		var report Report
		if decoder.Decode(&report) != nil {
			return
		}
		c.mu.Lock()
		process.bytes, c.transitions = report.Bytes, append(c.transitions, report.Transitions...)
		for _, a := range report.Transitions {
			c.current[a.Member] = a
		}
		if report.Error != "" {
			c.failure = process.Name + ": " + report.Error
		}
		c.mu.Unlock()
	}
}

// send sends a command to all member processes.
func (c *controller) send(command Command) {
	for _, process := range c.processes {
		process.mu.Lock()
		if err := json.NewEncoder(process.conn).Encode(command); err != nil {
			c.t.Error(err)
		}
		process.mu.Unlock()
	}
}

// stop ends the member processes, and kills those that have not ended after 10 s.
func (c *controller) stop() {
	for _, process := range c.processes {
		process.conn.(*net.TCPConn).CloseWrite()
		select {
		case <-process.Done():
		case <-time.After(10 * time.Second):
			process.Kill()
		}
		process.conn.Close()
	}
	c.readers.Wait()
}

// waitUntil waits until a condition holds for all members, and reports whether it did before the timeout.
func (c *controller) waitUntil(timeout time.Duration, condition func(Transition) bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.mu.Lock()
		all := true
		for m := range c.members {
			all = all && condition(c.current[m])
		}
		c.mu.Unlock()
		if all {
			return true
		}
	}
	return false
}

// propose proposes a change that was due at a time, on behalf of the operators, and retries until the keepers accept it.
func (c *controller) propose(due time.Duration, docBytes int) {
	c.proposalCount++
	doc := fmt.Appendf(nil, `{"settings":%s}`, document(c.t, c.proposalCount, docBytes))
	for try, operation := 0, 0; ; try++ {
		var created api.ChangeResponse
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := c.keepers.client.Call(ctx, http.MethodPost, api.GenerationsPath, api.Proposal{OperationID: fmt.Sprintf("op-%d-%d", c.proposalCount, operation), Base: c.lastProposed,
			Doc: doc, Who: "operators", Why: "a play"}, &created)
		cancel()
		var refused *api.RefusedError
		switch {
		case err == nil:
			c.mu.Lock()
			c.proposals, c.lastProposed = append(c.proposals, ProposedChange{created.Number, due}), created.Number
			c.mu.Unlock()
			return
		case errors.As(err, &refused): // the keepers' limit of pending changes is reached; the next try is a new operation
			operation++
		}
		if time.Sleep(100 * time.Millisecond); try > 1000 {
			c.t.Errorf("no keeper accepts the change: %v", err)
			return
		}
	}
}

// waitSettled waits until the newest change is in effect and all members with a session have confirmed it.
func (c *controller) waitSettled(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, a := range c.keepers.wan.Keepers {
			var generation api.Generation
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			err := c.keepers.client.CallKeeper(ctx, a.PublicAddr, http.MethodGet, fmt.Sprintf("%s/%d", api.GenerationsPath, c.lastProposed), nil, &generation)
			cancel()
			if err == nil && generation.Stage == "in force" {
				return true
			}
		}
	}
	return false
}

// countModes counts the members by mode.
func (c *controller) countModes() map[lease.Mode]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[lease.Mode]int{}
	for _, a := range c.current {
		counts[a.Mode]++
	}
	return counts
}
