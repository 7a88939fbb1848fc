package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
)

func TestMessageIsDeliveredUnchanged(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	status, _ := postMessage(t, relay.Addr(), "m1", "job-order", "X-Retry", "again")
	want(t, "status", status, 202)
	call := receive(t, calls, "call")
	want(t, "id", call.id, "m1")
	want(t, "key", call.key, "key-m1")
	want(t, "body", call.body, "body of m1")
	call.answer <- 200
}

// Guards against a second delivery when a client repeats an id after its connection broke.
func TestRepeatedIDIsAcceptedOnce(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	for range 2 {
		status, _ := postMessage(t, relay.Addr(), "m1", "payment")
		want(t, "status", status, 202)
	}
	receive(t, calls, "call").answer <- 200
	status, _ := postMessage(t, relay.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	call := receive(t, calls, "call")
	want(t, "id of the next call", call.id, "m2")
	call.answer <- 200
	status, _ = postMessage(t, relay.Addr(), "m1", "payment") // it has ended by now
	want(t, "status", status, 202)
	postMessage(t, relay.Addr(), "m3", "payment")
	call = receive(t, calls, "call")
	want(t, "id of the next call", call.id, "m3")
	call.answer <- 200
}

// Guards against accepting a message whose client has already disconnected.
func TestMessageOfDepartedClientIsNotAccepted(t *testing.T) {
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", make(chan *receivedCall, 10)), "taller")), nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pending := make(chan int, 1)
	in := &apiRequest{entry: &journal.Entry{ID: "m1", Class: "payment", Dest: 7}, due: relay.now() + time.Second, ctx: ctx,
		reply: make(chan apiResponse, 1)}
	relay.post(func() { relay.submit(in); pending <- len(relay.pending) })
	want(t, "pending messages", receive(t, pending, "count"), 0)
}

// leavingContext is the context of a client that disconnects after a number of checks whether it is still there.
type leavingContext struct {
	context.Context
	checksLeft atomic.Int32
}

func (l *leavingContext) Err() error {
	if l.checksLeft.Add(-1) >= 0 {
		return nil
	}
	return context.Canceled
}

// Guards against a handler, and its connection, that waits forever once the client has disconnected, and against the
// answer 200 that net/http gives by default to a message that is given up.
func TestLeavingClientIsRefused(t *testing.T) {
	leaving := testEndpoint("s-1", "127.0.0.1:1", "taller")
	leaving.State = "leaving" // so that messages wait
	relay := startRelay(t, newFakePlatform(t, leaving), nil)
	for name, there := range map[string]int32{"before the message is accepted": 0, "after the message is accepted": 1} {
		req := httptest.NewRequest("POST", "/api", strings.NewReader("x"))
		for k, v := range map[string]string{"X-Request-Id": "m1", "X-Class": "payment", "X-Deadline-Ms": "9000",
			"X-Addressing": "dest=7"} {
			req.Header.Set(k, v)
		}
		clientContext := &leavingContext{Context: context.Background()}
		clientContext.checksLeft.Store(there)
		recorder, done := httptest.NewRecorder(), make(chan bool)
		go func() { relay.serveAPI(recorder, req.WithContext(clientContext)); close(done) }()
		receive(t, done, "answer to a client that disconnects "+name)
		want(t, "status for a client that disconnects "+name, recorder.Code, 503)
		pending := make(chan int, 1)
		relay.post(func() { pending <- len(relay.pending) })
		want(t, "pending messages", receive(t, pending, "count"), 0)
	}
}

// Guards against losing a message that arrived on two connections when the first one broke.
func TestWithdrawKeepsMessageReceivedTwice(t *testing.T) {
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller")), nil)
	pending := make(chan int, 1)
	relay.post(func() {
		for _, id := range []string{"once", "twice"} {
			relay.pending[id] = &message{Entry: &journal.Entry{ID: id}, resent: id == "twice"}
			relay.withdraw(id, nil)
		}
		pending <- len(relay.pending)
		delete(relay.pending, "twice")
	})
	want(t, "pending messages", receive(t, pending, "count"), 1)
}

func TestMalformedRequests(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	for _, c := range [][2]string{{"X-Request-Id", ""}, {"X-Request-Id", "a b"}, {"X-Class", "nothing"}, {"X-Class", ""},
		{"X-Deadline-Ms", "0"}, {"X-Deadline-Ms", "-5"}, {"X-Deadline-Ms", "soon"}, {"X-Deadline-Ms", "99999999999999999999"},
		{"X-Addressing", ""}, {"X-Addressing", "dest=x"}, {"X-Addressing", "dest=8"}, {"Idempotency-Key", ""},
		{"X-Request-Id", strings.Repeat("x", maxNameBytes+1)}} {
		if status, _ := postMessage(t, relay.Addr(), "m1", "job-order", c[0], c[1]); status < 400 || status > 499 {
			t.Errorf("%s %q: status %d, want 4xx", c[0], c[1], status)
		}
	}
	req := httptest.NewRequest("POST", "/api", bytes.NewReader(make([]byte, maxBodyBytes+1)))
	for k, v := range map[string]string{"X-Request-Id": "m1", "X-Class": "payment", "X-Deadline-Ms": "9", "X-Addressing": "dest=7"} {
		req.Header.Set(k, v)
	}
	recorder := httptest.NewRecorder()
	relay.serveAPI(recorder, req)
	want(t, "status of a body too long", recorder.Code, 413)
	conn, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "no HTTP at all\r\n\r\n")
	io.Copy(io.Discard, conn)
	conn.Close()
	status, _ := postMessage(t, relay.Addr(), "m2", "payment")
	want(t, "status of a valid request", status, 202)
	c := receive(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}

// Guards against request smuggling: a client gives the length of a body in two ways, the relay trusts the shorter one,
// and reads the rest of the body as another message.
func TestBodyIsNeverParsedAsRequest(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	post := func(id, framing, body string) string {
		return "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + id + "\r\nX-Class: payment\r\n" +
			"X-Deadline-Ms: 9000\r\nX-Addressing: dest=7\r\n" + framing + "\r\n\r\n" + body
	}
	inner := post("inner", "Content-Length: 0", "")
	for _, coding := range []string{"chunked", "Chunked", "chunked\r\nTransfer-Encoding: chunked", "identity"} {
		body := "0\r\n\r\n" + inner
		framing := fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: %s", len(body), coding)
		conn, err := net.Dial("tcp", relay.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprint(conn, post("outer", framing, body))
		response, _ := io.ReadAll(conn) // the relay closes the connection
		conn.Close()
		if n := strings.Count(string(response), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(response), "HTTP/1.1 4") &&
			!strings.HasPrefix(string(response), "HTTP/1.1 5") {
			t.Errorf("%q: answered %q, want one error", coding, response)
		}
	}
	status, _ := postMessage(t, relay.Addr(), "m1", "payment")
	want(t, "status of a valid request", status, 202)
	c := receive(t, calls, "call")
	want(t, "id of the only call", c.id, "m1")
	c.answer <- 200
}

// Guards against accepting more messages than the settings allow, and against a refusal without a Retry-After time.
func TestFullRelayRefuses(t *testing.T) {
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", make(chan *receivedCall, 10)), "taller")),
		func(c *Config) { c.Settings.MaxPending = 1 })
	var status int
	var after string
	for i := range 3 {
		status, after = postMessage(t, relay.Addr(), fmt.Sprint("m", i), "payment")
	}
	want(t, "status", status, 503)
	if s, err := strconv.ParseFloat(after, 64); err != nil || s <= 0 {
		t.Fatalf("Retry-After is %q, want a positive number", after)
	}
}

// Guards against a call before the end of a wait, here one with a fraction of a second.
func TestRetryAfterIsHonoured(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	postMessage(t, relay.Addr(), "m1", "status-update")
	call := receive(t, calls, "call")
	answeredAt := time.Now()
	call.answer <- 429
	call = receive(t, calls, "second call")
	if gap := call.receivedAt.Sub(answeredAt); gap < 300*time.Millisecond {
		t.Fatalf("second call after %v, want at least the advised 300 ms", gap)
	}
	call.answer <- 200
}

func TestParseRetryAfter(t *testing.T) {
	for text, d := range map[string]time.Duration{"1": time.Second, "0.25": 250 * time.Millisecond,
		"0.0001": time.Millisecond, "": 0, "x": 0, "-1": 0, "NaN": 0, "1e99": time.Hour} {
		want(t, "wait for "+text, parseRetryAfter(http.Header{"Retry-After": {text}}), d)
	}
}

// Guards against calls to a host that the list marks as leaving while messages arrive.
func TestLeavingHostGetsNoNewCalls(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	leaving, staying := testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"), testEndpoint("s-2", newFakeHost(t, "b", calls), "almacen")
	platform := newFakePlatform(t, leaving, staying)
	relay := startRelay(t, platform, nil)
	for q := ""; !strings.Contains(q, "since=1&"); {
		q = receive(t, platform.queries, "watch")
	}
	leaving.State = "leaving"
	platform.publish(2, false, leaving)
	for q := ""; !strings.Contains(q, "since=2&"); {
		q = receive(t, platform.queries, "next query") // it is sent after the change was passed to the loop
	}
	for i := range 5 {
		postMessage(t, relay.Addr(), fmt.Sprint("m", i), "payment")
		c := receive(t, calls, "call")
		want(t, "host", c.host, "b")
		c.answer <- 200
	}
}

func openJournal(t *testing.T) *journal.Journal {
	t.Helper()
	records, err := journal.Open(t.TempDir(), 3e6)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { records.Close() })
	return records
}

// Guards against a full list that closes hosts which it contains, or leaves hosts open which it omits. A manually
// disabled host stays closed, and a host with a new address is closed under the old one only.
func TestFullListClosesMissingHosts(t *testing.T) {
	relay := &Relay{endpointList: endpointList{hosts: map[string]*host{}, destWaits: map[int]*hostWait{}}, messageRecords: messageRecords{journal: openJournal(t)}}
	relay.settings.Store(&activeSettings{})
	if err := relay.journal.Append(journal.Record{Op: journal.OpDisabled, ID: "s-4", Flag: true}); err != nil {
		t.Fatal(err)
	}
	relay.applyList(discovery.List{Version: 1, Full: true, Servers: []discovery.Server{testEndpoint("s-1", "x:1", "taller"), testEndpoint("s-2", "x:2", "taller"), testEndpoint("s-3", "x:3", "taller")}})
	one, two, three := relay.hosts["s-1"], relay.hosts["s-2"], relay.hosts["s-3"]
	relay.applyList(discovery.List{Version: 2, Full: true, Servers: []discovery.Server{testEndpoint("s-1", "x:1", "taller"), testEndpoint("s-3", "x:9", "taller")}})
	relay.applyList(discovery.List{Version: 3, Servers: []discovery.Server{testEndpoint("s-4", "x:4", "taller")}})
	want(t, "manually disabled host is closed", relay.hosts["s-4"].closed.Load(), true)
	relay.applyList(discovery.List{Version: 4, Servers: []discovery.Server{testEndpoint("s-4", "x:4", "taller")}})
	want(t, "manually disabled host is closed", relay.hosts["s-4"].closed.Load(), true)
	want(t, "host that stays is closed", one.closed.Load(), false)
	want(t, "omitted host is closed", two.closed.Load(), true)
	want(t, "moved host is closed at its old address", three.closed.Load(), true)
	want(t, "moved host is closed at its new address", relay.hosts["s-3"].closed.Load(), false)
}

// Guards against attempts that are neither sent nor reported while the disk is broken.
func TestBrokenJournalSendsNothing(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	set := make(chan bool)
	relay.post(func() {
		relay.journal.StopWriting(errors.New("disk gone"))
		close(set)
	})
	<-set
	status, _ := postMessage(t, relay.Addr(), "m1", "payment")
	want(t, "status", status, 503)
	relay.post(func() { relay.journal.Compact() })
	status, _ = postMessage(t, relay.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	c := receive(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}

// Guards against applying changes on top of a list with another history: a list older than the known one causes a
// request for the full list.
func TestOlderListVersionCausesResync(t *testing.T) {
	platform := newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller"))
	startRelay(t, platform, nil)
	for q := "x"; !strings.Contains(q, "since=1&"); {
		q = receive(t, platform.queries, "watch")
	}
	platform.publish(0, false)
	want(t, "query after an older version", receive(t, platform.queries, "query"), "")
}

// Guards against losing a notice that the platform did not accept at first.
func TestRejectedNoticeIsRetried(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	platform := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	platform.failingNotices = 2
	relay := startRelay(t, platform, nil)
	postMessage(t, relay.Addr(), "m1", "payment")
	receive(t, calls, "call").answer <- 500 // it may have run, and must not run again
	queued := receive(t, platform.notices, "notice")
	want(t, "notice", queued, notice{ID: "m1", Status: undeliverable})
	pending := make(chan int)
	for {
		relay.post(func() { pending <- relay.pendingNotices + relay.journal.Len() })
		if receive(t, pending, "count") == 0 {
			break
		}
	}
}

func TestConfigErrors(t *testing.T) {
	platform := newFakePlatform(t)
	good := string(testConfig(t, platform))
	if _, err := readTestConfig(t, []byte(good), t.TempDir()); err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{{`"listen"`, `"nothing"`}, {`"workers":7`, `"workers":0`}, {`"sockets":1024`, `"sockets":0`},
		{"{", "["}, {`"seed":"8`, `"seed":"x`}, {`"seed"`, `"source":"here","seed"`}, {"deduplicated", "odd"}} {
		config, err := readTestConfig(t, []byte(strings.Replace(good, change[0], change[1], 1)), t.TempDir())
		if err == nil {
			_, err = New(config)
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error is %v, want one line", change[1], change[0], err)
		}
	}
	if _, err := ReadConfig(func(string) string { return "" }); err == nil {
		t.Error("no error without BALANCER_CONFIG")
	}
}

// Guards against a loop that sleeps past a deadline: a step for another event runs just after a wake-up was due and
// before its tick was read.
func TestDueWakeUpIsReplaced(t *testing.T) {
	relay := &Relay{wakeTimer: time.NewTimer(time.Hour)}
	relay.armWake(0, time.Nanosecond)
	relay.armWake(time.Second, 50*time.Millisecond)
	want(t, "next wake-up", relay.wakeAt, time.Second+50*time.Millisecond)
	startedAt := time.Now()
	<-relay.wakeTimer.C
	if early := time.Since(startedAt) < 40*time.Millisecond; early {
		t.Fatal("the old tick was not dropped")
	}
	relay.armWake(2*time.Second, time.Second)
	relay.armWake(2*time.Second, time.Minute)
	want(t, "earlier wake-up", relay.wakeAt, 3*time.Second)
}

// The tests below run the program in processes of its own.
