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

// scriptedHost is an endpoint that answers its first call by a function and all others with 200, and counts its calls.
type scriptedHost struct {
	addr  string
	mu    sync.Mutex
	calls int
}

func newScriptedHost(t *testing.T, first func(w http.ResponseWriter)) *scriptedHost {
	host := &scriptedHost{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		host.mu.Lock()
		host.calls++
		n := host.calls
		host.mu.Unlock()
		if n == 1 {
			first(w)
		}
	}))
	server.Config.ErrorLog = nil
	t.Cleanup(server.CloseClientConnections)
	host.addr = server.Listener.Addr().String()
	return host
}

func (e *scriptedHost) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

func answerStatus(status int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.WriteHeader(status) }
}

// Guards against wrong ends of messages whose outcome arrives as the loop ends, and is dropped. Whatever the outcome
// was, the next start treats the attempt as one that may have run, sends only repeatable messages again, and ends each
// message exactly once.
func TestDroppedOutcomeOfSingleCall(t *testing.T) {
	closedAddr := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		return listener.Addr().String()
	}
	for kind, first := range map[string]func(http.ResponseWriter){
		"served": answerStatus(200), "refused": answerStatus(503), "gone": answerStatus(410), "error": answerStatus(500), "no slot": answerStatus(504),
		"cut off":       func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"no connection": nil,
	} {
		for class, repeatable := range map[string]bool{"status-update": true, "job-order": true, "payment": false} {
			t.Run(kind+", "+class, func(t *testing.T) {
				host := newScriptedHost(t, first)
				server := testEndpoint("s-1", host.addr, "taller")
				want := 1
				if kind == "no connection" {
					server.Addr, want = closedAddr(), 0
				}
				if repeatable {
					want++
				}
				state := t.TempDir()
				sendAndDropOutcomes(t, newFakePlatform(t, server), state, class, "m1")
				if kind == "no connection" {
					host.calls, server.Addr = 1, host.addr // skips the first answer
					want++
				}
				wantEndedOnce(t, server, state, class, repeatable, "m1")
				if n := host.count(); n != want {
					t.Errorf("%d calls, want %d", n, want)
				}
			})
		}
	}
}

// Guards against the same for the members of a shared call.
func TestDroppedOutcomeOfSharedCall(t *testing.T) {
	for class, repeatable := range map[string]bool{"status-update": true, "payment": false} {
		host := newScriptedHost(t, func(w http.ResponseWriter) { io.WriteString(w, "m1 ok\r\nm2 later\r\nm3 gone\r\n") })
		server := testEndpoint("s-1", host.addr, "taller")
		server.Kind = "marketplace"
		state := t.TempDir()
		sendAndDropOutcomes(t, newFakePlatform(t, server), state, class, "m1", "m2", "m3")
		want(t, "calls", host.count(), 1)
		server.Kind = "customer-system" // one message per call, which 200 delivers
		wantEndedOnce(t, server, state, class, repeatable, "m1", "m2", "m3")
	}
}

// sendAndDropOutcomes accepts messages, has them sent, and stops the relay while their outcomes are queued but not
// processed.
func sendAndDropOutcomes(t *testing.T, platform *fakePlatform, state, class string, ids ...string) {
	t.Helper()
	relay := newSteppedRelay(t, platform, state)
	for _, id := range ids {
		in := newAPIRequest(t, relay, context.Background(), id, class, time.Minute)
		relay.submit(in)
		defer func() { want(t, "status", replyStatus(in), http.StatusAccepted) }()
	}
	relay.step()
	for len(relay.events) > 0 {
		relay.step()
	}
	want(t, "calls in flight", relay.callsInFlight, 1)
	receive(t, relay.inbox, "outcome") // received, but not run
	relay.stop()
	relay.journal.Close()
}

// wantEndedOnce starts the next process, and checks that each message is delivered if it may be repeated, and is ended
// by one notice otherwise.
func wantEndedOnce(t *testing.T, server discovery.Server, state, class string, repeatable bool, ids ...string) {
	t.Helper()
	platform := newFakePlatform(t, server)
	relay := startRelay(t, platform, func(config *Config) { config.StateDir = state })
	for pending := -1; pending != 0; {
		counts := make(chan int, 1)
		relay.post(func() { counts <- len(relay.pending) + relay.pendingNotices + relay.journal.Len() })
		pending = receive(t, counts, "count")
	}
	var ended []string
	for len(platform.notices) > 0 {
		n := <-platform.notices
		want(t, fmt.Sprint("status of ", class), n.Status, undeliverable)
		ended = append(ended, n.ID)
	}
	slices.Sort(ended)
	if repeatable {
		ids = nil
	}
	if !slices.Equal(ended, ids) {
		t.Errorf("%s: notices for %v, want %v", class, ended, ids)
	}
}
