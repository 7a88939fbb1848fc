package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
)

func withAdmin(conf *Config) { conf.Admin = "127.0.0.1:0" }

// operate makes one call of an operator and returns its status and body.
func operate(t *testing.T, r *Relay, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.adminAt.String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// shows waits until the figures hold all of the given lines: they may trail what a test sees elsewhere.
func shows(t *testing.T, r *Relay, lines ...string) {
	t.Helper()
	var body string
	for begin := time.Now(); time.Since(begin) < 30*time.Second; time.Sleep(time.Millisecond) {
		_, body = operate(t, r, "GET", "/metrics")
		left := 0
		for _, l := range lines {
			if !strings.Contains("\n"+body, "\n"+l+"\n") {
				left++
			}
		}
		if left == 0 {
			return
		}
	}
	t.Fatalf("figures are\n%s\nwant %v among them", body, lines)
}

// Guards against figures that do not tell what happened: an end of each kind, a refused attempt, a
// message sent again by its client, and one that nobody takes.
func TestFigures(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	r := startRelay(t, p, withAdmin)
	shows(t, r, "svc.requests.payment.served=0", "svc.attempts=0", "svc.in_flight=0", "svc.endpoints_known=1",
		"svc.endpoints_excluded=0", "svc.reloads_ok=0", "svc.reloads_failed=0")
	postMessage(t, r.Addr(), "m1", "payment")
	postMessage(t, r.Addr(), "m1", "payment")
	first := receive(t, calls, "call")
	shows(t, r, "svc.attempts=1", "svc.in_flight=1", "svc.requests.payment.served=0")
	first.answer <- 200
	postMessage(t, r.Addr(), "m2", "payment")
	receive(t, calls, "call").answer <- 500 // it may have run, and may not be repeated
	postMessage(t, r.Addr(), "m3", "status-update")
	receive(t, calls, "call").answer <- 429
	receive(t, calls, "call").answer <- 200
	postMessage(t, r.Addr(), "m4", "job-order", "X-Addressing", "dest=99")
	shows(t, r, "svc.requests.payment.served=1", "svc.requests.payment.failed=1", "svc.requests.payment.refused=0",
		"svc.requests.status-update.served=1", "svc.requests.status-update.refused=0",
		"svc.requests.job-order.failed=1", "svc.attempts=4", "svc.in_flight=0")
}

// Guards against an attempt that is counted before its last byte is written, or only with its answer.
func TestAttemptCountsOnceWritten(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	r := newCallingRelay()
	conn := &hostConn{Conn: near}
	body := newHostRequest(bytes.Repeat([]byte{7}, 10), func() { r.figures.attempted(3) })
	conn.writing.Store(body)
	go io.Copy(io.Discard, far)
	w := bufio.NewWriterSize(conn, 16)
	w.WriteString("a head that is longer than the buffer")
	want(t, "attempts after the head", r.figures.attempts, 0)
	io.Copy(w, body.requestBody())
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	want(t, "attempts", r.figures.attempts, 3)
	want(t, "written", body.fullyWritten.Load(), true)

	far.Close()
	lost := newHostRequest(nil, func() { t.Error("counted though the write failed") })
	conn.writing.Store(lost)
	if _, err := conn.Write([]byte("head")); err == nil {
		t.Fatal("a write to a closed connection went well")
	}
	want(t, "written", lost.fullyWritten.Load(), false)
}

// Guards against a second address that says yes too early or too late, keeps connections, or is held up
// by callers that finish no call and by a loop that is busy.
func TestSecondAddressAnswersAtOnce(t *testing.T) {
	p := newFakePlatform(t)
	r := startRelay(t, p, withAdmin)
	for range 2 * adminMost {
		conn, err := net.Dial("tcp", r.adminAt.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.Write([]byte("GET /metr"))
	}
	busy, done := make(chan struct{}), make(chan struct{})
	r.post(func() { close(busy); <-done })
	<-busy
	defer close(done)
	for path, status := range map[string]int{"/ready": 200, "/metrics": 200, "/else": 404} {
		// Places that are all taken by calls under way are free again after adminIn at the latest.
		var resp *http.Response
		var err error
		for range 30000 {
			if resp, err = http.Get("http://" + r.adminAt.String() + path); err == nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		want(t, path, resp.StatusCode, status)
		want(t, path+" closes", resp.Close, true)
	}
	r.ready.Store(false)
	status, _ := operate(t, r, "GET", "/ready")
	want(t, "not ready", status, 503)
}

// Guards against a figure of endpoints in use that counts those the decisions keep away from.
func TestExcludedBySuspicion(t *testing.T) {
	p := newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller"), testEndpoint("s-2", "127.0.0.1:1", "taller"))
	r := startRelay(t, p, withAdmin)
	r.post(func() { r.events = append(r.events, choice.Unwell{Host: "s-1", Base: 1}) })
	shows(t, r, "svc.endpoints_known=2", "svc.endpoints_excluded=1")
}

// Guards against calls to an endpoint that operators took out: across the list, an endpoint's new
// address and a kill; against a no for what they may ask, and a yes for an endpoint that nobody has.
func TestEndpointOutByHand(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	one, two := newFakeHost(t, "a", calls), newFakeHost(t, "b", calls)
	p := newFakePlatform(t, testEndpoint("s-1", one, "taller"), testEndpoint("s-2", two, "taller"))
	state := t.TempDir()
	r := startRelay(t, p, func(conf *Config) { withAdmin(conf); conf.State = state })
	do := func(r *Relay, want int, what, id string) {
		t.Helper()
		if got, body := operate(t, r, "PUT", "/endpoints/"+what+"/"+id); got != want {
			t.Errorf("%s %s: %d %s, want %d", what, id, got, body, want)
		}
	}
	goesTo := func(r *Relay, id, host string) {
		t.Helper()
		postMessage(t, r.Addr(), id, "payment")
		c := receive(t, calls, "call")
		want(t, "host of "+id, c.host, host)
		c.answer <- 200
	}
	do(r, 404, "disable", "s-9")
	do(r, 404, "enable", "s-9")
	do(r, 200, "enable", "s-1")
	do(r, 200, "disable", "s-1")
	do(r, 200, "disable", "s-1")
	shows(t, r, "svc.endpoints_known=2", "svc.endpoints_excluded=1")
	for i := range 4 {
		goesTo(r, fmt.Sprint("m", i), "b")
	}
	p.publish(2, true, testEndpoint("s-2", two, "taller"))
	shows(t, r, "svc.endpoints_known=1")
	do(r, 200, "disable", "s-1") // it is out, though it is not on the list
	p.publish(3, true, testEndpoint("s-1", one, "taller"))
	shows(t, r, "svc.endpoints_known=1", "svc.endpoints_excluded=1")
	postMessage(t, r.Addr(), "m4", "payment")
	r.stop()

	next := startRelay(t, p, func(conf *Config) { withAdmin(conf); conf.State = state })
	shows(t, next, "svc.in_flight=1", "svc.attempts=0", "svc.endpoints_excluded=1")
	do(next, 200, "enable", "s-1")
	c := receive(t, calls, "call")
	want(t, "what waited goes", c.id+c.host, "m4a")
	c.answer <- 200
	shows(t, next, "svc.in_flight=0", "svc.endpoints_excluded=0")
}

// Guards against a crash, or a second address that stays taken, where a relay cannot start.
func TestStartThatFailsFreesTheSecondAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	p := newFakePlatform(t)
	conf, err := readTestConfig(t, testConfig(t, p), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	conf.Admin, conf.Listen = "127.0.0.1:0", taken.Addr().String()
	r, err := New(conf)
	if err == nil {
		t.Fatalf("a relay started at an address that is taken: %v", r)
	}
	if !strings.Contains(err.Error(), "address already in use") {
		t.Fatal(err)
	}
}
