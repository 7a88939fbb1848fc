package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/discovery"
)

// scripted is an endpoint that answers its first call by a script and all others with 200, and notes what it got.
type scripted struct {
	addr  string
	mu    sync.Mutex
	calls int
}

func newScripted(t *testing.T, first func(w http.ResponseWriter)) *scripted {
	e := &scripted{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		e.mu.Lock()
		e.calls++
		n := e.calls
		e.mu.Unlock()
		if n == 1 {
			first(w)
		}
	}))
	s.Config.ErrorLog = nil
	t.Cleanup(s.CloseClientConnections)
	e.addr = s.Listener.Addr().String()
	return e
}

func (e *scripted) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

func says(status int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.WriteHeader(status) }
}

// Guards the end of a message whose outcome comes as the loop ends, and is dropped: whatever it was, the next start takes the
// attempt for one that may have run, sends again only what may be repeated, and ends each message exactly once.
func TestAnOutcomeThatTheLoopDropped(t *testing.T) {
	dead := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	for kind, first := range map[string]func(http.ResponseWriter){
		"served": says(200), "refused": says(503), "gone": says(410), "error": says(500), "no slot": says(504),
		"cut off":       func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"no connection": nil,
	} {
		for class, repeats := range map[string]bool{"status-update": true, "job-order": true, "payment": false} {
			t.Run(kind+", "+class, func(t *testing.T) {
				host := newScripted(t, first)
				server := at("s-1", host.addr, "taller")
				want := 1
				if kind == "no connection" {
					server.Addr, want = dead(), 0
				}
				if repeats {
					want++
				}
				state := t.TempDir()
				dropOutcomes(t, newPlatform(t, server), state, class, "m1")
				if kind == "no connection" {
					host.calls, server.Addr = 1, host.addr // its first answer is over
					want++
				}
				endsOnce(t, server, state, class, repeats, "m1")
				if n := host.count(); n != want {
					t.Errorf("%d calls came, want %d", n, want)
				}
			})
		}
	}
}

// Guards the same for the members of a shared call.
func TestAnOutcomeOfASharedCallThatTheLoopDropped(t *testing.T) {
	for class, repeats := range map[string]bool{"status-update": true, "payment": false} {
		host := newScripted(t, func(w http.ResponseWriter) { io.WriteString(w, "m1 ok\r\nm2 later\r\nm3 gone\r\n") })
		server := at("s-1", host.addr, "taller")
		server.Kind = "marketplace"
		state := t.TempDir()
		dropOutcomes(t, newPlatform(t, server), state, class, "m1", "m2", "m3")
		want(t, "calls", host.count(), 1)
		server.Kind = "customer-system" // one message a call, which 200 delivers
		endsOnce(t, server, state, class, repeats, "m1", "m2", "m3")
	}
}

// dropOutcomes takes messages on, has them go out, and kills the relay with their outcomes ready and not taken in.
func dropOutcomes(t *testing.T, p *platform, state, class string, ids ...string) {
	t.Helper()
	r := newSteppedRelay(t, p, state)
	for _, id := range ids {
		in := newIntake(t, r, context.Background(), id, class, time.Minute)
		r.take(in)
		defer func() { want(t, "status", replyStatus(in), http.StatusAccepted) }()
	}
	r.step()
	for len(r.events) > 0 {
		r.step()
	}
	want(t, "calls out", r.out, 1)
	wait(t, r.inbox, "outcome") // and not run
	r.stop()
	r.journal.Close()
}

// endsOnce starts the next process, and wants each message delivered if it may be repeated, else ended by one notice.
func endsOnce(t *testing.T, server discovery.Server, state, class string, repeats bool, ids ...string) {
	t.Helper()
	p := newPlatform(t, server)
	r := startRelay(t, p, func(conf *Config) { conf.State = state })
	for held := -1; held != 0; {
		counts := make(chan int, 1)
		r.post(func() { counts <- len(r.pending) + r.pendingNotices + r.journal.Len() })
		held = wait(t, counts, "count")
	}
	var ended []string
	for len(p.notices) > 0 {
		n := <-p.notices
		want(t, fmt.Sprint("status of ", class), n.Status, undeliverable)
		ended = append(ended, n.ID)
	}
	slices.Sort(ended)
	if repeats {
		ids = nil
	}
	if !slices.Equal(ended, ids) {
		t.Errorf("%s: notices for %v, want %v", class, ended, ids)
	}
}
