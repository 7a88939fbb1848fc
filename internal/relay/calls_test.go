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

func caller() *Relay {
	r := &Relay{began: time.Now()}
	set := settings.Settings{DialTimeout: time.Second, IdleConn: time.Minute}
	set.Workers = 7
	r.hostSide.Store(newTransport(&set, 64, dialer(nil, set.DialTimeout).DialContext))
	r.set.Store(&standing{})
	r.notices = newNoticeSender(nil, nil, nil, nil)
	return r
}

func oneCall(addr, body string) *call {
	return &call{host: &host{addr: addr, waiting: &waiting{}}, body: []byte(body), key: "k", timeout: 20 * time.Second}
}

func outcome(r *Relay, ctx context.Context, c *call) choice.Outcome {
	o, _ := outcomeAndStale(r, ctx, c)
	return o
}

func outcomeAndStale(r *Relay, ctx context.Context, c *call) (choice.Outcome, bool) {
	ends, told := r.exchange(ctx, c, []string{"m1"})
	return ends[0].outcome, told.stale
}

// Guards against net/http sending a request again by itself: one with an Idempotency-Key goes out
// twice if its connection was kept from before and breaks. An empty body needs the guard too.
func TestNoResendAfterReset(t *testing.T) {
	defer func(d time.Duration) { staleIn = d }(staleIn)
	staleIn = time.Hour
	for _, body := range []string{"hello", ""} {
		var got atomic.Int32
		addr := bareHost(t, func(conn net.Conn) {
			for in := bufio.NewReader(conn); ; {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				io.Copy(io.Discard, req.Body)
				if got.Add(1) == 2 {
					return // read whole, never answered
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		r := caller()
		want(t, "first outcome", outcome(r, context.Background(), oneCall(addr, body)), choice.Served)
		o, stale := outcomeAndStale(r, context.Background(), oneCall(addr, body))
		want(t, "outcome of a call that breaks", o, choice.Reset)
		want(t, "it says that a kept connection was stale", stale, true)
		staleIn = 0
		outcome(r, context.Background(), oneCall(addr, body))
		got.Store(1)
		_, stale = outcomeAndStale(r, context.Background(), oneCall(addr, body))
		want(t, "the same of one that broke late", stale, false)
		staleIn = time.Hour
		got.Store(1)
		_, stale = outcomeAndStale(r, context.Background(), oneCall(addr, body))
		want(t, "the same of a new connection", stale, false)
		got.Store(2)
		want(t, "requests on the wire", got.Load(), 2)
	}
}

// Guards against calling it a reset where nothing can have run.
func TestRefusedConnectionNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	want(t, "outcome", outcome(caller(), context.Background(), oneCall(addr, "x")), choice.NoConnection)
}

// Guards against sending over a connection that came up only after its host began to drain or told another
// call to wait, or once a repeat would be taken for a new message.
func TestDrainWhileConnecting(t *testing.T) {
	for name, test := range map[string]struct {
		while  func(*Relay, *call)
		reason withheld
	}{
		"drains":               {func(_ *Relay, c *call) { c.host.closed.Store(true) }, endpointShut},
		"may drain, unheard":   {func(r *Relay, _ *call) { r.sendUntil.Store(1) }, listTooOld},
		"tells to wait":        {func(r *Relay, c *call) { c.host.waiting.heed(r.now() + time.Hour) }, toldToWait},
		"no longer a repeat":   {func(_ *Relay, c *call) { c.before = time.Now().Add(-time.Nanosecond) }, outOfTime},
		"handed over long ago": {func(r *Relay, _ *call) { r.passedAt.Store(time.Now().Add(-lateCall).UnixNano()) }, handedOver},
	} {
		t.Run(name, func(t *testing.T) { drainWhileConnecting(t, test.while, test.reason) })
	}
}

func drainWhileConnecting(t *testing.T, while func(*Relay, *call), reason withheld) {
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
	defer s.Close()
	r := caller()
	c := oneCall(s.Listener.Addr().String(), "x")
	dial := r.hostSide.Load().DialContext
	r.hostSide.Load().DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		while(r, c)
		return dial(ctx, network, addr)
	}
	want(t, "outcome", outcome(r, context.Background(), c), choice.NotSent)
	want(t, "requests", got.Load(), 0)
	want(t, "withheld by "+reason.String(), r.figures.unwritten[reason], 1)
}

// Guards against a call that gets its connection only when one of its messages has ended, for its own time was up:
// it would be sent after its end.
func TestNothingIsSentAfterItsEnd(t *testing.T) {
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
	defer s.Close()
	r := caller()
	r.began, r.inbox, r.calls = time.Now(), make(chan func(), 10), context.Background()
	over := make(chan struct{})
	dial := r.hostSide.Load().DialContext
	r.hostSide.Load().DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-over
		return dial(ctx, network, addr)
	}
	c := &call{host: &host{addr: s.Listener.Addr().String(), waiting: &waiting{}}}
	for id, due := range map[string]time.Duration{"short": 10 * time.Millisecond, "long": time.Hour} {
		c.members = append(c.members, &message{Entry: &journal.Entry{ID: id}, due: due})
		c.sends = append(c.sends, choice.Send{ID: id, Timeout: 20 * time.Second})
	}
	r.start(c)
	ends := map[string]choice.Outcome{}
	take := func() {
		wait(t, r.inbox, "end")()
		for _, e := range r.events {
			ends[e.(choice.Result).ID] = e.(choice.Result).Outcome
		}
		r.events = nil
	}
	take()
	want(t, "end of the one whose time is up", ends["short"], choice.Timeout)
	want(t, "ends", len(ends), 1)
	close(over)
	take()
	want(t, "end of the other", ends["long"], choice.NotSent)
	want(t, "calls that went out", got.Load(), 0)
}

// deadlines remembers the last one set for writing.
type deadlines struct {
	net.Conn
	last atomic.Pointer[time.Time]
}

func (d *deadlines) SetWriteDeadline(t time.Time) error {
	d.last.Store(&t)
	return d.Conn.SetWriteDeadline(t)
}

// Guards against a repeat whose last byte is written after its window, to a host that reads slowly; and
// against the next call on that connection failing by that deadline.
func TestRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	r, addr := caller(), s.Listener.Addr().String()
	dial := r.hostSide.Load().DialContext
	var conns []*deadlines
	r.hostSide.Load().DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		own := conn.(*hostConn)
		conns = append(conns, &deadlines{Conn: own.Conn})
		own.Conn = conns[len(conns)-1]
		return own, nil
	}
	c := oneCall(addr, "x")
	c.before = time.Now().Add(time.Hour)
	want(t, "outcome within the window", outcome(r, context.Background(), c), choice.Served)
	want(t, "deadline of a repeat", *conns[0].last.Load(), c.before)
	want(t, "outcome of the next call", outcome(r, context.Background(), oneCall(addr, "x")), choice.Served)
	want(t, "connections", len(conns), 1)
	want(t, "deadline of the next call", *conns[0].last.Load(), time.Time{})
}

// Guards against mixing up the ends of a call that nobody answers.
func TestUnansweredCalls(t *testing.T) {
	came := make(chan bool, 10)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		came <- true
		<-req.Context().Done()
	}))
	defer s.Close()
	r := caller()
	c := oneCall(s.Listener.Addr().String(), "x")
	c.timeout = 50 * time.Millisecond
	if o := outcome(r, context.Background(), c); o != choice.Timeout {
		// A machine so busy that the request was not even written in time proves it never ran.
		want(t, "outcome", o, choice.NoConnection)
	} else {
		wait(t, came, "call")
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c.timeout = time.Minute
	go func() { <-came; cancel(errCalled) }()
	want(t, "outcome", outcome(r, ctx, c), choice.Cancelled)
}

func TestStatuses(t *testing.T) {
	for status, o := range map[int]end{200: {choice.Served, false}, 500: {choice.Error, false}, 429: {choice.Refused, false},
		503: {choice.Refused, false}, 504: {choice.NotSent, false}, 410: {choice.NotSent, true}, 418: {choice.Error, false}} {
		want(t, fmt.Sprint("end after ", status), single(&http.Response{StatusCode: status}, false), o)
	}
	over := &http.Response{StatusCode: 503, Header: http.Header{"X-Over-Slots": {"1"}}}
	want(t, "end without a slot", single(over, false), end{choice.NotSent, false})
	want(t, "end of a call too large", single(&http.Response{StatusCode: 413}, true), end{choice.NotSent, false})
}

// Guards against hosts whose answers fill the memory: a head without end is no answer, but for what its first line says of
// a single message.
func TestVastAnswerIsBounded(t *testing.T) {
	for status, o := range map[int]choice.Outcome{200: choice.Served, 500: choice.Reset, 503: choice.Reset} {
		var wrote atomic.Int64
		addr := bareHost(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			fmt.Fprintf(conn, "HTTP/1.1 %d what\r\n", status)
			for {
				n, err := io.WriteString(conn, "X-Pad: "+strings.Repeat("p", 1000)+"\r\n")
				wrote.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		want(t, fmt.Sprint("outcome of ", status), outcome(caller(), context.Background(), oneCall(addr, "x")), o)
		if n := wrote.Load(); n > 32<<20 {
			t.Errorf("%d bytes were taken of a head", n)
		}
	}
}

// Guards against a connection for each message.
func TestConnectionsAreKept(t *testing.T) {
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", 10000))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	r := caller()
	for range 5 {
		want(t, "outcome", outcome(r, context.Background(), oneCall(s.Listener.Addr().String(), "x")), choice.Served)
	}
	want(t, "connections", conns.Load(), 1)
}

func TestBatch(t *testing.T) {
	bodies := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, _ := io.ReadAll(req.Body)
		bodies <- req.URL.Path + "\n" + string(b)
		w.Header().Set("Retry-After", "0.5")
		io.WriteString(w, "a ok\r\nb error\r\nc later\r\nd gone\r\ne exhausted\r\n")
	}))
	defer s.Close()
	r := caller()
	r.began, r.inbox = time.Now(), make(chan func(), 1)
	r.calls = context.Background()
	c := &call{host: &host{addr: s.Listener.Addr().String(), waiting: &waiting{}}}
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		c.members = append(c.members, &message{Entry: &journal.Entry{ID: id, Key: strings.Repeat("k", len(c.members)), Body: []byte("\r\n" + id)},
			due: time.Hour, over: true})
		c.sends = append(c.sends, choice.Send{ID: id, Timeout: 20 * time.Second})
	}
	r.start(c)
	want(t, "start of the request", strings.HasPrefix(wait(t, bodies, "call"), "/receive-many\na - 3\r\n\r\na\r\nb k 3\r\n"), true)
	wait(t, r.inbox, "result")()
	var got []choice.Outcome
	for _, e := range r.events {
		got = append(got, e.(choice.Result).Outcome)
		want(t, "wait", e.(choice.Result).Wait, 500*time.Millisecond)
	}
	if !slices.Equal(got, []choice.Outcome{choice.Served, choice.Error, choice.Refused, choice.NotSent, choice.NotSent, choice.Error}) {
		t.Fatalf("outcomes %v", got)
	}
	want(t, "end of the fourth", r.events[3].(choice.Result).Done, true)
	want(t, "end of the fifth", r.events[4].(choice.Result).Done, false)
}

// Guards against a wait that is forgotten because the rest of the answer that told it was cut off, and one
// told to messages that are over by then: nothing may go there all the same.
func TestWaitOfACutAnswerIsKept(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1000")
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "a ok\r\n") // and no more: the library breaks the connection
	}))
	defer s.Close()
	r, c := caller(), oneCall(s.Listener.Addr().String(), "x")
	ends, told := r.exchange(context.Background(), c, []string{"a", "b"})
	want(t, "outcome", ends[0].outcome, choice.Reset)
	want(t, "wait", told.wait, 1000*time.Second)
	ends, told = r.exchange(context.Background(), c, []string{"c"})
	want(t, "outcome of the next call", ends[0].outcome, choice.NotSent)
	if told.wait <= 0 || told.wait > 1000*time.Second {
		t.Errorf("the decisions hear of %v to wait, want what is left of 1000s", told.wait)
	}
}

// Guards against decisions that never hear the limits that hosts tell in their answers.
func TestLoadReportReachesTheDecisions(t *testing.T) {
	for text, want := range map[string][]float64{`{"x0":0.4,"x1":25}`: {25, 0.4}, `{"x1":3,"other":1}`: {3, 0},
		"": nil, "{": nil, `{"x1":"many"}`: nil, "[1]": nil} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Load", text)
		}))
		r := caller()
		r.set.Store(&standing{Settings: settings.Settings{ReportFields: []string{"x1", "x0"}}})
		r.calls, r.inbox = context.Background(), make(chan func(), 1)
		m := &message{Entry: &journal.Entry{ID: "m1"}, due: time.Hour, over: true}
		r.start(&call{host: &host{addr: s.Listener.Addr().String(), waiting: &waiting{}}, members: []*message{m},
			sends: []choice.Send{{ID: "m1", Timeout: 20 * time.Second}}})
		(<-r.inbox)()
		s.Close()
		if got := r.events[0].(choice.Result).Report; !slices.Equal(got, want) {
			t.Errorf("report %q is %v, want %v", text, got, want)
		}
	}
}

// Guards against a body over 64 KiB, which a host need not take: sends that do not fit one call go in another.
func TestLargeMessagesDoNotShareACall(t *testing.T) {
	r := caller()
	r.began, r.inbox, r.calls = time.Now(), make(chan func(), 10), context.Background()
	r.journal = openJournal(t)
	h := &host{id: "s-1", addr: "127.0.0.1:1", dest: 7, perCall: 5, waiting: &waiting{}}
	r.hosts, r.held = map[string]*host{"s-1": h}, map[string]*message{}
	var sends []choice.Send
	for i, size := range []int{maxBody, maxBody / 2, 10} {
		id := fmt.Sprint("m", i)
		if err := r.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: id, Class: "payment", Dest: 7, Due: 99, Body: make([]byte, size)}}); err != nil {
			t.Fatal(err)
		}
		r.held[id] = &message{Entry: r.journal.Entry(id), due: time.Hour}
		sends = append(sends, choice.Send{ID: id, Host: "s-1", Timeout: time.Minute})
	}
	r.dispatch(sends)
	want(t, "calls", r.out, 2)
	want(t, "messages in the second", len(r.held["m1"].call.members), 2)
}

// Guards against taking a message for safe to repeat that a garbled answer says nothing sure of.
func FuzzBatchEnds(f *testing.F) {
	f.Add("a ok\r\nb later\r\n")
	f.Add("a  gone\nb")
	f.Add("\x00 ok\r\na exhausted")
	f.Fuzz(func(t *testing.T, body string) {
		ids := []string{"a", "b"}
		ends := batchEnds([]byte(body), ids)
		if len(ends) != len(ids) {
			t.Fatalf("%d ends for %d messages", len(ends), len(ids))
		}
		for i, e := range ends {
			if e.outcome != choice.Error && !strings.Contains(body, ids[i]) {
				t.Fatalf("%q is %v without being named", ids[i], e)
			}
		}
	})
}

// Guards against a relay that its partners cannot know by its address on a machine that has several.
func TestConnectionsGoOutFromTheSource(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const source = "127.0.7.7"
	for range 2 { // a source serves more than one connection
		d := dialer(net.ParseIP(source), time.Second)
		c, err := d.DialContext(t.Context(), "tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		from, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		if ip := from.RemoteAddr().(*net.TCPAddr).IP.String(); ip != source {
			t.Errorf("the connection comes from %s, want %s", ip, source)
		}
	}
}
