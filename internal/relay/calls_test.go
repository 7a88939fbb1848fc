package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/settings"
)

func newCallingRelay() *Relay {
	relay := &Relay{startedAt: time.Now()}
	set := settings.Settings{DialTimeout: time.Second, ConnIdleTimeout: time.Minute}
	set.Workers = 7
	relay.hostTransport.Store(newHostTransport(&set, 64, newDialer(nil, set.DialTimeout).DialContext))
	relay.settings.Store(&activeSettings{})
	relay.notices = newNoticeSender(nil, nil, nil, nil)
	return relay
}

func newSingleCall(addr, body string) *call {
	return &call{host: &host{addr: addr, wait: &hostWait{}}, body: []byte(body), key: "k", timeout: 20 * time.Second}
}

func callOutcome(r *Relay, ctx context.Context, c *call) choice.Outcome {
	o, _ := callOutcomeAndStale(r, ctx, c)
	return o
}

func callOutcomeAndStale(r *Relay, ctx context.Context, c *call) (choice.Outcome, bool) {
	ends, feedback := r.exchange(ctx, c, []string{"m1"})
	return ends[0].outcome, feedback.staleConn
}

// Guards against net/http resending a request by itself: one with an Idempotency-Key is sent twice if its reused
// connection breaks. An empty body is affected, too.
func TestNoResendAfterReset(t *testing.T) {
	defer func(d time.Duration) { staleConnWindow = d }(staleConnWindow)
	staleConnWindow = time.Hour
	for _, body := range []string{"hello", ""} {
		var got atomic.Int32
		addr := newRawHost(t, func(conn net.Conn) {
			for reader := bufio.NewReader(conn); ; {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.Copy(io.Discard, req.Body)
				if got.Add(1) == 2 {
					return // the request was read completely and is never answered
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		relay := newCallingRelay()
		want(t, "first outcome", callOutcome(relay, context.Background(), newSingleCall(addr, body)), choice.Served)
		outcome, stale := callOutcomeAndStale(relay, context.Background(), newSingleCall(addr, body))
		want(t, "outcome of a call that breaks", outcome, choice.Reset)
		want(t, "reused connection is reported stale", stale, true)
		staleConnWindow = 0
		callOutcome(relay, context.Background(), newSingleCall(addr, body))
		got.Store(1)
		_, stale = callOutcomeAndStale(relay, context.Background(), newSingleCall(addr, body))
		want(t, "reused connection that broke late is reported stale", stale, false)
		staleConnWindow = time.Hour
		got.Store(1)
		_, stale = callOutcomeAndStale(relay, context.Background(), newSingleCall(addr, body))
		want(t, "new connection is reported stale", stale, false)
		got.Store(2)
		want(t, "requests on the wire", got.Load(), 2)
	}
}

// Guards against reporting a reset where the request cannot have run.
func TestRefusedConnectionNeverRan(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	want(t, "outcome", callOutcome(newCallingRelay(), context.Background(), newSingleCall(addr, "x")), choice.NoConnection)
}

// Guards against sending a call whose connection was established only after sending it was forbidden: its host began to
// drain or advised another call to wait, the list or the message's window expired, or the relay was handed over.
func TestCallIsWithheldAfterConnecting(t *testing.T) {
	for name, test := range map[string]struct {
		while  func(*Relay, *call)
		reason withholdReason
	}{
		"drains":                             {func(_ *Relay, c *call) { c.host.closed.Store(true) }, endpointUnavailable},
		"may drain by a change not received": {func(r *Relay, _ *call) { r.sendUntil.Store(1) }, listLeaseExpired},
		"advises a wait":                     {func(r *Relay, c *call) { c.host.wait.extend(r.now() + time.Hour) }, retryAfterPending},
		"repeat window has ended":            {func(_ *Relay, c *call) { c.writeBy = time.Now().Add(-time.Nanosecond) }, timeExpired},
		"handed over long ago":               {func(r *Relay, _ *call) { r.handedOverAt.Store(time.Now().Add(-lateDialLimit).UnixNano()) }, handedOver},
	} {
		t.Run(name, func(t *testing.T) { testWithheldAfterConnecting(t, test.while, test.reason) })
	}
}

func testWithheldAfterConnecting(t *testing.T, duringDial func(*Relay, *call), reason withholdReason) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	relay := newCallingRelay()
	hostCall := newSingleCall(server.Listener.Addr().String(), "x")
	dial := relay.hostTransport.Load().DialContext
	relay.hostTransport.Load().DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		duringDial(relay, hostCall)
		return dial(ctx, network, addr)
	}
	want(t, "outcome", callOutcome(relay, context.Background(), hostCall), choice.NotSent)
	want(t, "requests", requests.Load(), 0)
	want(t, "withheld by "+reason.String(), relay.metrics.withheldMessages[reason], 1)
}

// Guards against a shared call whose connection is established only after one of its messages has timed out: that
// message would be sent after its end.
func TestSharedCallIsNotSentAfterMemberTimeout(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	relay := newCallingRelay()
	relay.startedAt, relay.inbox, relay.callContext = time.Now(), make(chan func(), 10), context.Background()
	connect := make(chan struct{})
	dial := relay.hostTransport.Load().DialContext
	relay.hostTransport.Load().DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-connect
		return dial(ctx, network, addr)
	}
	hostCall := &call{host: &host{addr: server.Listener.Addr().String(), wait: &hostWait{}}}
	for id, due := range map[string]time.Duration{"short": 10 * time.Millisecond, "long": time.Hour} {
		hostCall.members = append(hostCall.members, &message{Entry: &journal.Entry{ID: id}, due: due})
		hostCall.sends = append(hostCall.sends, choice.Send{ID: id, Timeout: 20 * time.Second})
	}
	relay.startCall(hostCall)
	ends := map[string]choice.Outcome{}
	runNext := func() {
		receive(t, relay.inbox, "end")()
		for _, e := range relay.events {
			ends[e.(choice.Result).ID] = e.(choice.Result).Outcome
		}
		relay.events = nil
	}
	runNext()
	want(t, "result of the timed-out message", ends["short"], choice.Timeout)
	want(t, "ends", len(ends), 1)
	close(connect)
	runNext()
	want(t, "result of the other message", ends["long"], choice.NotSent)
	want(t, "requests sent", requests.Load(), 0)
}

// deadlineRecorder records the last write deadline of a connection.
type deadlineRecorder struct {
	net.Conn
	last atomic.Pointer[time.Time]
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.last.Store(&t)
	return d.Conn.SetWriteDeadline(t)
}

// Guards against a repeat whose last byte is written after its window, to a host that reads slowly, and against the
// next call on that connection failing because of that deadline.
func TestRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	relay, addr := newCallingRelay(), server.Listener.Addr().String()
	dial := relay.hostTransport.Load().DialContext
	var conns []*deadlineRecorder
	relay.hostTransport.Load().DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		recorded := conn.(*hostConn)
		conns = append(conns, &deadlineRecorder{Conn: recorded.Conn})
		recorded.Conn = conns[len(conns)-1]
		return recorded, nil
	}
	call := newSingleCall(addr, "x")
	call.writeBy = time.Now().Add(time.Hour)
	want(t, "outcome within the window", callOutcome(relay, context.Background(), call), choice.Served)
	want(t, "deadline of a repeat", *conns[0].last.Load(), call.writeBy)
	want(t, "outcome of the next call", callOutcome(relay, context.Background(), newSingleCall(addr, "x")), choice.Served)
	want(t, "connections", len(conns), 1)
	want(t, "deadline of the next call", *conns[0].last.Load(), time.Time{})
}

// Guards against confusing the outcomes of a call that is not answered.
func TestUnansweredCalls(t *testing.T) {
	received := make(chan bool, 10)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		received <- true
		<-req.Context().Done()
	}))
	defer server.Close()
	relay := newCallingRelay()
	call := newSingleCall(server.Listener.Addr().String(), "x")
	call.timeout = 50 * time.Millisecond
	if outcome := callOutcome(relay, context.Background(), call); outcome != choice.Timeout {
		// On a machine so busy that the request was not written in time, the call certainly never ran.
		want(t, "outcome", outcome, choice.NoConnection)
	} else {
		receive(t, received, "call")
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	call.timeout = time.Minute
	go func() { <-received; cancel(errCancelled) }()
	want(t, "outcome", callOutcome(relay, ctx, call), choice.Cancelled)
}

func TestSingleResultByStatus(t *testing.T) {
	for status, o := range map[int]memberResult{200: {choice.Served, false}, 500: {choice.Error, false}, 429: {choice.Refused, false},
		503: {choice.Refused, false}, 504: {choice.NotSent, false}, 410: {choice.NotSent, true}, 418: {choice.Error, false}} {
		want(t, fmt.Sprint("result of status ", status), singleResult(&http.Response{StatusCode: status}, false), o)
	}
	noSlot := &http.Response{StatusCode: 503, Header: http.Header{"X-Over-Slots": {"1"}}}
	want(t, "result without a slot", singleResult(noSlot, false), memberResult{choice.NotSent, false})
	want(t, "result of a call that is too large", singleResult(&http.Response{StatusCode: 413}, true), memberResult{choice.NotSent, false})
}

// Guards against hosts whose answers exhaust the memory: an answer with an endless header is no answer, except that its
// status line counts for a single message.
func TestResponseHeadSizeIsBounded(t *testing.T) {
	for status, outcome := range map[int]choice.Outcome{200: choice.Served, 500: choice.Reset, 503: choice.Reset} {
		var written atomic.Int64
		addr := newRawHost(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			fmt.Fprintf(conn, "HTTP/1.1 %d what\r\n", status)
			for {
				n, err := io.WriteString(conn, "X-Pad: "+strings.Repeat("p", 1000)+"\r\n")
				written.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		want(t, fmt.Sprint("outcome of ", status), callOutcome(newCallingRelay(), context.Background(), newSingleCall(addr, "x")), outcome)
		if n := written.Load(); n > 32<<20 {
			t.Errorf("%d bytes of a header were accepted", n)
		}
	}
}

// Guards against a new connection for each message.
func TestConnectionsAreReused(t *testing.T) {
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", 10000))
	}))
	server.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	relay := newCallingRelay()
	for range 5 {
		want(t, "outcome", callOutcome(relay, context.Background(), newSingleCall(server.Listener.Addr().String(), "x")), choice.Served)
	}
	want(t, "connections", conns.Load(), 1)
}

func TestBatchCall(t *testing.T) {
	bodies := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, _ := io.ReadAll(req.Body)
		bodies <- req.URL.Path + "\n" + string(b)
		w.Header().Set("Retry-After", "0.5")
		io.WriteString(w, "a ok\r\nb error\r\nc later\r\nd gone\r\ne exhausted\r\n")
	}))
	defer server.Close()
	relay := newCallingRelay()
	relay.startedAt, relay.inbox = time.Now(), make(chan func(), 1)
	relay.callContext = context.Background()
	hostCall := &call{host: &host{addr: server.Listener.Addr().String(), wait: &hostWait{}}}
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		hostCall.members = append(hostCall.members, &message{Entry: &journal.Entry{ID: id, Key: strings.Repeat("k", len(hostCall.members)), Body: []byte("\r\n" + id)},
			due: time.Hour, ended: true})
		hostCall.sends = append(hostCall.sends, choice.Send{ID: id, Timeout: 20 * time.Second})
	}
	relay.startCall(hostCall)
	want(t, "start of the request", strings.HasPrefix(receive(t, bodies, "call"), "/receive-many\na - 3\r\n\r\na\r\nb k 3\r\n"), true)
	receive(t, relay.inbox, "result")()
	var got []choice.Outcome
	for _, e := range relay.events {
		got = append(got, e.(choice.Result).Outcome)
		want(t, "wait", e.(choice.Result).RetryAfter, 500*time.Millisecond)
	}
	if !slices.Equal(got, []choice.Outcome{choice.Served, choice.Error, choice.Refused, choice.NotSent, choice.NotSent, choice.Error}) {
		t.Fatalf("outcomes %v", got)
	}
	want(t, "done of the fourth", relay.events[3].(choice.Result).Done, true)
	want(t, "done of the fifth", relay.events[4].(choice.Result).Done, false)
}

// Guards against losing a retry-after time because the rest of its answer was cut off, or because the messages of its
// call have ended by then: nothing may be sent to the destination all the same.
func TestRetryAfterOfTruncatedAnswerIsHonoured(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1000")
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "a ok\r\n") // and no more: net/http closes the connection
	}))
	defer server.Close()
	relay, call := newCallingRelay(), newSingleCall(server.Listener.Addr().String(), "x")
	ends, feedback := relay.exchange(context.Background(), call, []string{"a", "b"})
	want(t, "outcome", ends[0].outcome, choice.Reset)
	want(t, "wait", feedback.retryAfter, 1000*time.Second)
	ends, feedback = relay.exchange(context.Background(), call, []string{"c"})
	want(t, "outcome of the next call", ends[0].outcome, choice.NotSent)
	if feedback.retryAfter <= 0 || feedback.retryAfter > 1000*time.Second {
		t.Errorf("the call reports a wait of %v, want the rest of 1000s", feedback.retryAfter)
	}
}

// Guards against load reports in hosts' answers that do not reach the Chooser.
func TestLoadReportReachesChooser(t *testing.T) {
	for text, want := range map[string][]float64{`{"x0":0.4,"x1":25}`: {25, 0.4}, `{"x1":3,"other":1}`: {3, 0},
		"": nil, "{": nil, `{"x1":"many"}`: nil, "[1]": nil} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Load", text)
		}))
		relay := newCallingRelay()
		relay.settings.Store(&activeSettings{Settings: settings.Settings{ReportFields: []string{"x1", "x0"}}})
		relay.callContext, relay.inbox = context.Background(), make(chan func(), 1)
		msg := &message{Entry: &journal.Entry{ID: "m1"}, due: time.Hour, ended: true}
		relay.startCall(&call{host: &host{addr: server.Listener.Addr().String(), wait: &hostWait{}}, members: []*message{msg},
			sends: []choice.Send{{ID: "m1", Timeout: 20 * time.Second}}})
		(<-relay.inbox)()
		server.Close()
		if got := relay.events[0].(choice.Result).Report; !slices.Equal(got, want) {
			t.Errorf("report %q is %v, want %v", text, got, want)
		}
	}
}

// Guards against a body over 64 KiB, which a host need not accept: sends that do not fit into one call go into another
// one.
func TestLargeMessagesDoNotShareACall(t *testing.T) {
	relay := newCallingRelay()
	relay.startedAt, relay.inbox, relay.callContext = time.Now(), make(chan func(), 10), context.Background()
	relay.journal = openJournal(t)
	endpoint := &host{id: "s-1", addr: "127.0.0.1:1", dest: 7, maxPerCall: 5, wait: &hostWait{}}
	relay.hosts, relay.pending = map[string]*host{"s-1": endpoint}, map[string]*message{}
	var sends []choice.Send
	for i, size := range []int{maxBodyBytes, maxBodyBytes / 2, 10} {
		id := fmt.Sprint("m", i)
		if err := relay.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: 99, Body: make([]byte, size)}}); err != nil {
			t.Fatal(err)
		}
		relay.pending[id] = &message{Entry: relay.journal.Entry(id), due: time.Hour}
		sends = append(sends, choice.Send{ID: id, Host: "s-1", Timeout: time.Minute})
	}
	relay.dispatch(sends)
	want(t, "calls", relay.callsInFlight, 2)
	want(t, "messages in the second call", len(relay.pending["m1"].call.members), 2)
}

// Guards against treating a message as safe to repeat if a garbled answer does not clearly say so.
func FuzzParseBatchResults(f *testing.F) {
	f.Add("a ok\r\nb later\r\n")
	f.Add("a  gone\nb")
	f.Add("\x00 ok\r\na exhausted")
	f.Fuzz(func(t *testing.T, body string) {
		ids := []string{"a", "b"}
		ends := parseBatchResults([]byte(body), ids)
		if len(ends) != len(ids) {
			t.Fatalf("%d results for %d messages", len(ends), len(ids))
		}
		for i, e := range ends {
			if e.outcome != choice.Error && !strings.Contains(body, ids[i]) {
				t.Fatalf("%q has result %v without being named", ids[i], e)
			}
		}
	})
}

// Guards against a relay that its partners cannot identify by its address on a machine with several addresses.
func TestConnectionsUseSourceAddress(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const source = "127.0.7.7"
	for range 2 { // a source address serves more than one connection
		d := newDialer(net.ParseIP(source), time.Second)
		conn, err := d.DialContext(t.Context(), "tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		from, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		if ip := from.RemoteAddr().(*net.TCPAddr).IP.String(); ip != source {
			t.Errorf("the connection comes from %s, want %s", ip, source)
		}
	}
}
