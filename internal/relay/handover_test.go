package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// upgrade starts the next process of a relay beside the running one and waits until it is ready.
func upgrade(t *testing.T, p *fakePlatform, old *Relay) *Relay {
	t.Helper()
	next := startRelay(t, p, func(conf *Config) {
		withAdminAddr(conf)
		conf.Listen, conf.StateDir = old.Addr(), old.config.StateDir
	})
	for begin := time.Now(); ; time.Sleep(time.Millisecond) {
		if status, _ := operatorCall(t, next, "GET", "/ready"); status == 200 {
			return next
		}
		if time.Since(begin) > 30*time.Second {
			t.Fatal("the next process does not become ready")
		}
	}
}

// Guards against an upgrade under load that refuses clients on new or old connections, sends a message a second time,
// forgets a host's wait or an endpoint that operators disabled, counts what the previous process did, or misses what
// ends after the handover.
func TestHandoverKeepsMessagesCallsAndWaits(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	otherServer := testEndpoint("s-3", newFakeHost(t, "c", calls), "taller")
	otherServer.Cell = 8
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"), testEndpoint("s-2", newFakeHost(t, "b", calls), "taller"), otherServer)
	state := t.TempDir()
	old := startRelay(t, p, func(conf *Config) { withAdminAddr(conf); conf.StateDir = state })
	checkUp(t, old.Addr())
	if status, _ := operatorCall(t, old, "PUT", "/endpoints/disable/s-2"); status != 200 {
		t.Fatal(status)
	}
	oldConnClient := &http.Client{Transport: &http.Transport{}} // its connection stays with the previous process
	post := func(id string) *http.Response {
		t.Helper()
		req, _ := http.NewRequest("POST", "http://"+old.Addr()+"/api", strings.NewReader("body of "+id))
		for k, v := range map[string]string{"X-Request-Id": id, "X-Class": "payment", "X-Deadline-Ms": "15000", "X-Addressing": "dest=7"} {
			req.Header.Set(k, v)
		}
		resp, err := oldConnClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp
	}
	want(t, "m1", post("m1").StatusCode, 202)
	inFlight := receive(t, calls, "call")
	postMessage(t, old.Addr(), "m2", "payment", "X-Addressing", "dest=8")
	waitCall := receive(t, calls, "call")
	waitAdvisedAt := time.Now()
	waitCall.answer <- 429 // with a wait of 0.3 s
	awaitMetrics(t, old, "svc.attempts=2", "svc.in_flight=2")

	next := upgrade(t, p, old)
	next.clientListener.mu.Lock()
	maxConns := next.clientListener.limit
	next.clientListener.mu.Unlock()
	if n := old.clientListener.connCount(); n == 0 || maxConns+n > next.config.Sockets/2 {
		t.Errorf("clients have %d sockets at the previous process and may have %d at the next one, of %d", n, maxConns, next.config.Sockets)
	}
	awaitMetrics(t, next, "svc.attempts=0", "svc.in_flight=2", "svc.endpoints_known=3", "svc.endpoints_excluded=1",
		"svc.requests.payment.served=0")
	forwardedResponse := post("m3")
	want(t, "m3, on the old connection", forwardedResponse.StatusCode, 202)
	want(t, "the old connection ends with it", forwardedResponse.Close, true)
	want(t, "m1 again", post("m1").StatusCode, 202)
	want(t, "no class", func() int { s, _ := postMessage(t, old.Addr(), "m5", "none"); return s }(), 400)
	for n := range 2 { // m2 after its wait, and m3
		c := receive(t, calls, "call")
		if c.id != "m2" && c.id != "m3" || c.host == "b" {
			t.Fatalf("call %d has %s, at %s", n, c.id, c.host)
		}
		if c.id == "m2" && c.receivedAt.Sub(waitAdvisedAt) < 300*time.Millisecond {
			t.Errorf("m2 was sent %v after a wait of 0.3 s was advised", c.receivedAt.Sub(waitAdvisedAt))
		}
		c.answer <- 200
	}
	inFlight.answer <- 200
	awaitMetrics(t, next, "svc.requests.payment.served=3", "svc.attempts=2", "svc.in_flight=0")
	afterNext := upgrade(t, p, next)
	status, _ := postMessage(t, afterNext.Addr(), "m3", "payment")
	want(t, "m3 sent again, two processes later", status, 202)
	awaitMetrics(t, afterNext, "svc.requests.payment.served=0", "svc.in_flight=0")
	next.stop()
	next = afterNext
	awaitMetrics(t, old, "svc.requests.payment.served=0", "svc.attempts=2", "svc.in_flight=0")
	if status, _ := operatorCall(t, old, "PUT", "/endpoints/enable/s-2"); status != 503 {
		t.Errorf("the process that handed over answers operators %d, want 503", status)
	}
	want(t, "further calls", len(calls), 0)

	// What is in flight when the previous process ends may have run, so a payment is not sent again.
	third := upgrade(t, p, next)
	postMessage(t, third.Addr(), "m6", "payment")
	receive(t, calls, "call")
	fourth := upgrade(t, p, third)
	third.stop()
	want(t, "notice", receive(t, p.notices, "notice"), notice{ID: "m6", Status: undeliverable})
	awaitMetrics(t, fourth, "svc.requests.payment.failed=1", "svc.in_flight=0")
	want(t, "further calls", len(calls), 0)
}

// Guards against a relay that fails because the next process dies, sends garbage or hangs during the handover.
func TestRelayContinuesAfterFailedHandover(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	old := startRelay(t, p, withAdminAddr)
	checkUp(t, old.Addr())
	for i, sent := range []string{"", "hello", handoverHello, handoverHello + "tak", handoverHello + "mine!\n"} {
		conn, err := net.Dial("unix", filepath.Join(old.config.StateDir, handoverSocket))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, sent); err != nil {
			t.Fatal(err)
		}
		if sent == handoverHello { // opens the journal, as a next process does, and dies
			j, err := journal.Open(old.config.StateDir, 3e6)
			if err != nil {
				t.Fatal(err)
			}
			j.Close()
		}
		conn.Close()
		id := fmt.Sprint("m", i)
		status, _ := postMessage(t, old.Addr(), id, "payment")
		want(t, "status", status, 202)
		c := receive(t, calls, "call")
		want(t, "id", c.id, id)
		c.answer <- 200
	}
	awaitMetrics(t, old, "svc.requests.payment.served=5") // the next process counts what ends after the handover
	postMessage(t, old.Addr(), "m9", "payment")
	inFlight := receive(t, calls, "call")
	next := upgrade(t, p, old)
	awaitMetrics(t, next, "svc.in_flight=1")
	inFlight.answer <- 200
	awaitMetrics(t, next, "svc.requests.payment.served=1", "svc.in_flight=0")
}

// Guards against a process that exits while the previous one still has calls in flight and the next one waits for
// their results: both would count those calls as broken.
func TestStopWaitsForCallsOfEveryProcess(t *testing.T) {
	for _, test := range []struct {
		name                                  string
		inFlight, adopted, forwarded, pending int
		handedOver, stopped, idle             bool
	}{
		{name: "nothing", idle: true},
		{name: "a call", inFlight: 1, pending: 1, stopped: true},
		{name: "a message", pending: 1},
		{name: "a message, after the last send", pending: 1, stopped: true, idle: true},
		{name: "a call of the previous process", adopted: 1, pending: 1, stopped: true},
		{name: "the same, handed over", adopted: 1, pending: 1, handedOver: true, stopped: true},
		{name: "an answer to forward", forwarded: 1, pending: 1, handedOver: true, stopped: true},
		{name: "messages of the next process", pending: 1, handedOver: true, idle: true},
	} {
		r := &Relay{callsInFlight: test.inFlight, stopped: test.stopped, messageRecords: messageRecords{pending: map[string]*message{}},
			handoverState: handoverState{previousProcess: &previousProcess{calls: map[string]*call{}}, forwardedRequests: map[int64]*apiRequest{}}}
		if test.handedOver {
			r.nextProcess = &processLink{}
		}
		for i := range test.adopted {
			r.previousProcess.calls[fmt.Sprint("m", i)] = &call{}
		}
		for i := range test.forwarded {
			r.forwardedRequests[int64(i)] = &apiRequest{}
		}
		for i := range test.pending {
			r.pending[fmt.Sprint("m", i)] = &message{}
		}
		want(t, test.name, r.isIdle(), test.idle)
	}
}

// Guards against hosts that are counted as failed because a process of this relay ended.
func TestCallsOfEndedProcessAreCancelled(t *testing.T) {
	c := &call{host: &host{id: "s-1"}, startedAt: time.Now().Add(-time.Minute)}
	m := &message{Entry: &journal.Entry{ID: "m1"}, call: c}
	previous := &previousProcess{calls: map[string]*call{"m1": c}}
	r := &Relay{handoverState: handoverState{previousProcess: previous}, messageRecords: messageRecords{pending: map[string]*message{"m1": m}}}
	r.endOrphanedCalls(previous)
	want(t, "events", len(r.events), 1)
	e := r.events[0].(choice.Result)
	want(t, "outcome", e.Outcome, choice.Cancelled)
	want(t, "took", e.Took >= time.Minute, true)
	want(t, "it may have run", r.pendingRecords[0], journal.Record{Op: journal.OpOutcome, ID: "m1", Flag: true})
	want(t, "calls left", len(previous.calls), 0)
}

// unixPair returns the two ends of a connection between two processes.
func unixPair(t *testing.T) (local, remote *net.UnixConn) {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "s"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if remote, err = net.DialUnix("unix", nil, l.Addr().(*net.UnixAddr)); err != nil {
		t.Fatal(err)
	}
	if local, err = l.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { local.Close(); remote.Close() })
	return local, remote
}

// Guards against two processes that both continue as one relay because the confirmation arrives as the wait for it
// times out.
func TestConfirmationAtTimeoutCounts(t *testing.T) {
	local, remote := unixPair(t)
	if err := (&previousProcess{conn: remote}).confirm(); err != nil {
		t.Fatal(err)
	}
	local.SetDeadline(time.Now().Add(-time.Second))
	if err := awaitAccepted(local); err != nil {
		t.Errorf("the next process has taken over, but this one reports %v", err)
	}
	local, remote = unixPair(t)
	local.SetDeadline(time.Now().Add(-time.Second))
	if err := awaitAccepted(local); err == nil {
		t.Error("no confirmation arrived, but this process reports a completed handover")
	}
	if err := (&previousProcess{conn: remote}).confirm(); err == nil {
		t.Error("this process continues, but the next one reports that it has taken over")
	}
}

// Guards against an upgrade that fails because an earlier next process had asked for a handover and died within the
// same turn of the loop: the next process found the address in use and did not start.
func TestHandoverAfterRequesterDied(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	old := startRelay(t, p, withAdminAddr)
	checkUp(t, old.Addr())
	release := make(chan struct{})
	old.post(func() { <-release }) // a turn that lasts until both have asked
	deadConn, err := net.Dial("unix", filepath.Join(old.config.StateDir, handoverSocket))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(deadConn, handoverHello); err != nil {
		t.Fatal(err)
	}
	deadConn.Close()
	time.AfterFunc(100*time.Millisecond, func() { close(release) }) // both requests are in the loop's inbox by then
	next := upgrade(t, p, old)
	postMessage(t, next.Addr(), "m1", "payment")
	receive(t, calls, "call").answer <- 200
	awaitMetrics(t, next, "svc.requests.payment.served=1", "svc.in_flight=0")
}
