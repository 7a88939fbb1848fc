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

// upgrade starts the next process of a relay beside it.
func upgrade(t *testing.T, p *platform, old *Relay) *Relay {
	t.Helper()
	next := startRelay(t, p, func(conf *Config) {
		withAdmin(conf)
		conf.Listen, conf.State = old.Addr(), old.conf.State
	})
	for begin := time.Now(); ; time.Sleep(time.Millisecond) {
		if status, _ := operate(t, next, "GET", "/ready"); status == 200 {
			return next
		}
		if time.Since(begin) > 30*time.Second {
			t.Fatal("the next process does not say that it is ready")
		}
	}
}

// Guards against all that a new version under load may not do: turn clients back, on new and on old
// connections; send what is out a second time; forget a wait, or what operators took out; count
// what the process before it did, or miss what ends after it took over.
func TestHandOver(t *testing.T) {
	calls := make(chan *seen, 10)
	other := at("s-3", fakeHost(t, "c", calls), "taller")
	other.Cell = 8
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"), at("s-2", fakeHost(t, "b", calls), "taller"), other)
	state := t.TempDir()
	old := startRelay(t, p, func(conf *Config) { withAdmin(conf); conf.State = state })
	up(t, old.Addr())
	if status, _ := operate(t, old, "PUT", "/endpoints/disable/s-2"); status != 200 {
		t.Fatal(status)
	}
	kept := &http.Client{Transport: &http.Transport{}} // its connection stays with the old process
	post := func(id string) *http.Response {
		t.Helper()
		req, _ := http.NewRequest("POST", "http://"+old.Addr()+"/api", strings.NewReader("body of "+id))
		for k, v := range map[string]string{"X-Request-Id": id, "X-Class": "payment", "X-Deadline-Ms": "15000", "X-Addressing": "dest=7"} {
			req.Header.Set(k, v)
		}
		resp, err := kept.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp
	}
	want(t, "m1", post("m1").StatusCode, 202)
	out := wait(t, calls, "call")
	hand(t, old.Addr(), "m2", "payment", "X-Addressing", "dest=8")
	told := wait(t, calls, "call")
	toldAt := time.Now()
	told.answer <- 429 // and to wait 0.3 s
	shows(t, old, "svc.attempts=2", "svc.in_flight=2")

	next := upgrade(t, p, old)
	next.listener.mu.Lock()
	most := next.listener.most
	next.listener.mu.Unlock()
	if n := old.listener.count(); n == 0 || most+n > next.conf.Sockets/2 {
		t.Errorf("clients hold %d sockets here and may hold %d there, of %d", n, most, next.conf.Sockets)
	}
	shows(t, next, "svc.attempts=0", "svc.in_flight=2", "svc.endpoints_known=3", "svc.endpoints_excluded=1",
		"svc.requests.payment.served=0")
	passed := post("m3")
	want(t, "m3, on the old connection", passed.StatusCode, 202)
	want(t, "the old connection ends with it", passed.Close, true)
	want(t, "m1 again", post("m1").StatusCode, 202)
	want(t, "no class", func() int { s, _ := hand(t, old.Addr(), "m5", "none"); return s }(), 400)
	for n := range 2 { // m2 after its wait, and m3
		c := wait(t, calls, "call")
		if c.id != "m2" && c.id != "m3" || c.host == "b" {
			t.Fatalf("call %d has %s, at %s", n, c.id, c.host)
		}
		if c.id == "m2" && c.at.Sub(toldAt) < 300*time.Millisecond {
			t.Errorf("m2 went %v after a wait of 0.3 s was told", c.at.Sub(toldAt))
		}
		c.answer <- 200
	}
	out.answer <- 200
	shows(t, next, "svc.requests.payment.served=3", "svc.attempts=2", "svc.in_flight=0")
	after := upgrade(t, p, next)
	status, _ := hand(t, after.Addr(), "m3", "payment")
	want(t, "m3 once more, two processes on", status, 202)
	shows(t, after, "svc.requests.payment.served=0", "svc.in_flight=0")
	next.stop()
	next = after
	shows(t, old, "svc.requests.payment.served=0", "svc.attempts=2", "svc.in_flight=0")
	if status, _ := operate(t, old, "PUT", "/endpoints/enable/s-2"); status != 503 {
		t.Errorf("the process that handed over answers operators %d, want 503", status)
	}
	want(t, "further calls", len(calls), 0)

	// What is out when the old process ends may have run: a payment is not sent again.
	third := upgrade(t, p, next)
	hand(t, third.Addr(), "m6", "payment")
	wait(t, calls, "call")
	fourth := upgrade(t, p, third)
	third.stop()
	want(t, "notice", wait(t, p.notices, "notice"), notice{ID: "m6", Status: undeliverable})
	shows(t, fourth, "svc.requests.payment.failed=1", "svc.in_flight=0")
	want(t, "further calls", len(calls), 0)
}

// Guards against a relay that is lost to a next process which dies, lies or hangs as it takes over.
func TestHandOverThatFails(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	old := startRelay(t, p, withAdmin)
	up(t, old.Addr())
	for i, says := range []string{"", "hello", handoverHello, handoverHello + "tak", handoverHello + "mine!\n"} {
		conn, err := net.Dial("unix", filepath.Join(old.conf.State, handoverName))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, says); err != nil {
			t.Fatal(err)
		}
		if says == handoverHello { // it replaces the journal, as it would, and dies
			j, err := journal.Open(old.conf.State, 3e6)
			if err != nil {
				t.Fatal(err)
			}
			j.Close()
		}
		conn.Close()
		id := fmt.Sprint("m", i)
		status, _ := hand(t, old.Addr(), id, "payment")
		want(t, "status", status, 202)
		c := wait(t, calls, "call")
		want(t, "id", c.id, id)
		c.answer <- 200
	}
	hand(t, old.Addr(), "m9", "payment")
	out := wait(t, calls, "call")
	next := upgrade(t, p, old)
	shows(t, next, "svc.in_flight=1")
	out.answer <- 200
	shows(t, next, "svc.requests.payment.served=1", "svc.in_flight=0")
}

// Guards against a process that ends between the one before it, which has calls out, and the next
// one, which waits for their ends: both would take those calls for broken.
func TestStopWaitsForCallsOfAllProcesses(t *testing.T) {
	for _, c := range []struct {
		name                      string
		out, adopted, asked, held int
		passed, stopped, idle     bool
	}{
		{name: "nothing", idle: true},
		{name: "a call", out: 1, held: 1, stopped: true},
		{name: "a message", held: 1},
		{name: "a message, past sending", held: 1, stopped: true, idle: true},
		{name: "a call of the process before", adopted: 1, held: 1, stopped: true},
		{name: "the same, handed over", adopted: 1, held: 1, passed: true, stopped: true},
		{name: "an answer to pass back", asked: 1, held: 1, passed: true, stopped: true},
		{name: "messages of the next process", held: 1, passed: true, idle: true},
	} {
		r := &Relay{out: c.out, stopped: c.stopped, books: books{held: map[string]*message{}},
			succession: succession{heritage: &heritage{calls: map[string]*call{}}, asked: map[int64]*intake{}}}
		if c.passed {
			r.heir = &link{}
		}
		for i := range c.adopted {
			r.heritage.calls[fmt.Sprint("m", i)] = &call{}
		}
		for i := range c.asked {
			r.asked[int64(i)] = &intake{}
		}
		for i := range c.held {
			r.held[fmt.Sprint("m", i)] = &message{}
		}
		want(t, c.name, r.idle(), c.idle)
	}
}

// Guards against hosts that are taken for broken because a process of this relay ended.
func TestCallsOfAProcessThatEndedAreCalledOff(t *testing.T) {
	c := &call{host: &host{id: "s-1"}, began: time.Now().Add(-time.Minute)}
	m := &message{Entry: &journal.Entry{ID: "m1"}, call: c}
	h := &heritage{calls: map[string]*call{"m1": c}}
	r := &Relay{succession: succession{heritage: h}, books: books{held: map[string]*message{"m1": m}}}
	r.orphaned(h)
	want(t, "events", len(r.events), 1)
	e := r.events[0].(choice.Result)
	want(t, "outcome", e.Outcome, choice.Cancelled)
	want(t, "took", e.Took >= time.Minute, true)
	want(t, "it may have run", r.records[0], journal.Record{Op: journal.OpOutcome, ID: "m1", Flag: true})
	want(t, "calls left", len(h.calls), 0)
}

// unixPair are the two ends of a connection between two processes.
func unixPair(t *testing.T) (here, there *net.UnixConn) {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "s"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if there, err = net.DialUnix("unix", nil, l.Addr().(*net.UnixAddr)); err != nil {
		t.Fatal(err)
	}
	if here, err = l.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close(); there.Close() })
	return here, there
}

// Guards against two processes that both go on as one relay: the word of the next one comes as this one stops waiting.
func TestTheWordThatComesAsWaitingEnds(t *testing.T) {
	here, there := unixPair(t)
	if err := (&heritage{conn: there}).accept(); err != nil {
		t.Fatal(err)
	}
	here.SetDeadline(time.Now().Add(-time.Second))
	if err := awaitTaken(here); err != nil {
		t.Errorf("the next process has taken over, and this one finds %v", err)
	}
	here, there = unixPair(t)
	here.SetDeadline(time.Now().Add(-time.Second))
	if err := awaitTaken(here); err == nil {
		t.Error("no word came, and this process finds that it has handed over")
	}
	if err := (&heritage{conn: there}).accept(); err == nil {
		t.Error("this process goes on, and the next one finds that it has taken over")
	}
}

// Guards against an upgrade that is refused because the process before it asked, and died, in the same turn of the loop: it
// found the address taken, and did not start.
func TestHandOverAfterOneThatDied(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	old := startRelay(t, p, withAdmin)
	up(t, old.Addr())
	goOn := make(chan struct{})
	old.post(func() { <-goOn }) // a turn that lasts until both have asked
	dead, err := net.Dial("unix", filepath.Join(old.conf.State, handoverName))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(dead, handoverHello); err != nil {
		t.Fatal(err)
	}
	dead.Close()
	time.AfterFunc(100*time.Millisecond, func() { close(goOn) }) // both wait in the loop's inbox by then
	next := upgrade(t, p, old)
	hand(t, next.Addr(), "m1", "payment")
	wait(t, calls, "call").answer <- 200
	shows(t, next, "svc.requests.payment.served=1", "svc.in_flight=0")
}
