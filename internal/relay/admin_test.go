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

func withAdminAddr(conf *Config) { conf.AdminAddr = "127.0.0.1:0" }

// operatorCall makes one operator's call and returns the status and the body of the response.
func operatorCall(t *testing.T, r *Relay, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.adminAddr.String()+path, nil)
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

// awaitMetrics waits until the metrics contain all of the given lines, as they may lag behind what a test sees
// elsewhere.
func awaitMetrics(t *testing.T, r *Relay, lines ...string) {
	t.Helper()
	var body string
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(time.Millisecond) {
		_, body = operatorCall(t, r, "GET", "/metrics")
		missing := 0
		for _, l := range lines {
			if !strings.Contains("\n"+body, "\n"+l+"\n") {
				missing++
			}
		}
		if missing == 0 {
			return
		}
	}
	t.Fatalf("metrics are\n%s\nwant %v among them", body, lines)
}

// Guards against metrics that miscount: each outcome once, a refused attempt, a message submitted twice by its
// client, and one for an unknown destination.
func TestMetricsCountOutcomes(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	r := startRelay(t, p, withAdminAddr)
	awaitMetrics(t, r, "svc.requests.payment.served=0", "svc.attempts=0", "svc.in_flight=0", "svc.endpoints_known=1",
		"svc.endpoints_excluded=0", "svc.reloads_ok=0", "svc.reloads_failed=0")
	postMessage(t, r.Addr(), "m1", "payment")
	postMessage(t, r.Addr(), "m1", "payment")
	first := receive(t, calls, "call")
	awaitMetrics(t, r, "svc.attempts=1", "svc.in_flight=1", "svc.requests.payment.served=0")
	first.answer <- 200
	postMessage(t, r.Addr(), "m2", "payment")
	receive(t, calls, "call").answer <- 500 // it may have been executed, and must not be repeated
	postMessage(t, r.Addr(), "m3", "status-update")
	receive(t, calls, "call").answer <- 429
	receive(t, calls, "call").answer <- 200
	postMessage(t, r.Addr(), "m4", "job-order", "X-Addressing", "dest=99")
	awaitMetrics(t, r, "svc.requests.payment.served=1", "svc.requests.payment.failed=1", "svc.requests.payment.refused=0",
		"svc.requests.status-update.served=1", "svc.requests.status-update.refused=0",
		"svc.requests.job-order.failed=1", "svc.attempts=4", "svc.in_flight=0")
}

// Guards against counting an attempt before its last byte is written, or only when it is answered.
func TestAttemptIsCountedWhenWritten(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	r := newCallingRelay()
	conn := &hostConn{Conn: near}
	body := newHostRequest(bytes.Repeat([]byte{7}, 10), func() { r.metrics.countAttempts(3) })
	conn.writing.Store(body)
	go io.Copy(io.Discard, far)
	w := bufio.NewWriterSize(conn, 16)
	w.WriteString("a head that is longer than the buffer")
	want(t, "attempts after the head", r.metrics.attempts, 0)
	io.Copy(w, body.requestBody())
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	want(t, "attempts", r.metrics.attempts, 3)
	want(t, "written", body.fullyWritten.Load(), true)

	far.Close()
	failedRequest := newHostRequest(nil, func() { t.Error("the attempt was counted although the write failed") })
	conn.writing.Store(failedRequest)
	if _, err := conn.Write([]byte("head")); err == nil {
		t.Fatal("a write to a closed connection succeeded")
	}
	want(t, "written", failedRequest.fullyWritten.Load(), false)
}

// Guards against an admin address that reports readiness too early or too late, keeps connections open, or is blocked
// by callers that send incomplete requests or by a busy loop.
func TestAdminAddressRespondsPromptly(t *testing.T) {
	p := newFakePlatform(t)
	r := startRelay(t, p, withAdminAddr)
	for range 2 * maxAdminConns {
		conn, err := net.Dial("tcp", r.adminAddr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.Write([]byte("GET /metr"))
	}
	loopBlocked, done := make(chan struct{}), make(chan struct{})
	r.post(func() { close(loopBlocked); <-done })
	<-loopBlocked
	defer close(done)
	for path, status := range map[string]int{"/ready": 200, "/metrics": 200, "/else": 404} {
		// If requests in progress occupy all places, they are free again after adminTimeout at the latest.
		var resp *http.Response
		var err error
		for range 30000 {
			if resp, err = http.Get("http://" + r.adminAddr.String() + path); err == nil {
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
	status, _ := operatorCall(t, r, "GET", "/ready")
	want(t, "status when not ready", status, 503)
}

// Guards against a metric of excluded endpoints that omits those the chooser avoids.
func TestSuspectedEndpointIsExcludedInMetrics(t *testing.T) {
	p := newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller"), testEndpoint("s-2", "127.0.0.1:1", "taller"))
	r := startRelay(t, p, withAdminAddr)
	r.post(func() { r.events = append(r.events, choice.KnownOutage{Host: "s-1", BaseRate: 1}) })
	awaitMetrics(t, r, "svc.endpoints_known=2", "svc.endpoints_excluded=1")
}

// Guards against calls to a manually disabled endpoint: it has to stay disabled when it leaves the list, returns with
// a new address, and after a kill. Also guards against rejecting a valid request of operators, and accepting one for
// an unknown endpoint.
func TestManuallyDisabledEndpoint(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	one, two := newFakeHost(t, "a", calls), newFakeHost(t, "b", calls)
	p := newFakePlatform(t, testEndpoint("s-1", one, "taller"), testEndpoint("s-2", two, "taller"))
	state := t.TempDir()
	r := startRelay(t, p, func(conf *Config) { withAdminAddr(conf); conf.StateDir = state })
	operate := func(r *Relay, want int, what, id string) {
		t.Helper()
		if got, body := operatorCall(t, r, "PUT", "/endpoints/"+what+"/"+id); got != want {
			t.Errorf("%s %s: %d %s, want %d", what, id, got, body, want)
		}
	}
	wantDeliveredTo := func(r *Relay, id, host string) {
		t.Helper()
		postMessage(t, r.Addr(), id, "payment")
		c := receive(t, calls, "call")
		want(t, "endpoint of "+id, c.host, host)
		c.answer <- 200
	}
	operate(r, 404, "disable", "s-9")
	operate(r, 404, "enable", "s-9")
	operate(r, 200, "enable", "s-1")
	operate(r, 200, "disable", "s-1")
	operate(r, 200, "disable", "s-1")
	awaitMetrics(t, r, "svc.endpoints_known=2", "svc.endpoints_excluded=1")
	for i := range 4 {
		wantDeliveredTo(r, fmt.Sprint("m", i), "b")
	}
	p.publish(2, true, testEndpoint("s-2", two, "taller"))
	awaitMetrics(t, r, "svc.endpoints_known=1")
	operate(r, 200, "disable", "s-1") // it is disabled although it is not on the list
	p.publish(3, true, testEndpoint("s-1", one, "taller"))
	awaitMetrics(t, r, "svc.endpoints_known=1", "svc.endpoints_excluded=1")
	postMessage(t, r.Addr(), "m4", "payment")
	r.stop()

	next := startRelay(t, p, func(conf *Config) { withAdminAddr(conf); conf.StateDir = state })
	awaitMetrics(t, next, "svc.in_flight=1", "svc.attempts=0", "svc.endpoints_excluded=1")
	operate(next, 200, "enable", "s-1")
	c := receive(t, calls, "call")
	want(t, "delivery of the waiting message", c.id+c.host, "m4a")
	c.answer <- 200
	awaitMetrics(t, next, "svc.in_flight=0", "svc.endpoints_excluded=0")
}

// Guards against a crash, or an admin address that stays occupied, when a relay fails to start.
func TestFailedStartReleasesAdminAddress(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	p := newFakePlatform(t)
	conf, err := readTestConfig(t, testConfig(t, p), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	conf.AdminAddr, conf.Listen = "127.0.0.1:0", occupied.Addr().String()
	r, err := New(conf)
	if err == nil {
		t.Fatalf("a relay started at an occupied address: %v", r)
	}
	if !strings.Contains(err.Error(), "address already in use") {
		t.Fatal(err)
	}
}
