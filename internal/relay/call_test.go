package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// Guards against a shared call whose first message times out before the others: the endpoint identifies the call by
// that message, so its answer would count for none of the others although this relay takes them for delivered.
func TestLongestLivedMessageLeadsSharedCall(t *testing.T) {
	bodies := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, _ := io.ReadAll(req.Body)
		bodies <- string(b)
		io.WriteString(w, "a error\r\nb ok\r\nc later\r\n")
	}))
	defer server.Close()
	relay := newCallingRelay()
	relay.inbox = make(chan func(), 1)
	relay.callContext = context.Background()
	hostCall := &call{host: &host{addr: server.Listener.Addr().String(), wait: &hostWait{}}}
	for i, id := range []string{"a", "b", "c"} {
		hostCall.members = append(hostCall.members, &message{Entry: &journal.Entry{ID: id}, ended: true, due: []time.Duration{1, 3, 2}[i] * time.Hour})
		hostCall.sends = append(hostCall.sends, choice.Send{ID: id, Timeout: time.Duration(i+1) * time.Minute})
	}
	relay.startCall(hostCall)
	want(t, "first message of the call", strings.Fields(receive(t, bodies, "call"))[0], "b")
	want(t, "first send of the call", hostCall.sends[0].ID, "b")
	receive(t, relay.inbox, "result")()
	got := map[string]choice.Outcome{}
	for _, e := range relay.events {
		got[e.(choice.Result).ID] = e.(choice.Result).Outcome
	}
	want(t, "number of results", len(got), 3)
	want(t, "result of a", got["a"], choice.Error)
	want(t, "result of b", got["b"], choice.Served)
	want(t, "result of c", got["c"], choice.Refused)
}

// Guards against two results, or none, for a member of a shared call that times out at the moment of the answer: the
// loop may receive either one first.
func TestAnswerRacesMemberTimeout(t *testing.T) {
	for name, timeoutFirst := range map[string]bool{"time-out first": true, "answer first": false} {
		ended := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			<-ended
			io.WriteString(w, "short ok\r\nlong ok\r\n")
		}))
		relay := newCallingRelay()
		relay.inbox, relay.callContext, relay.pending = make(chan func(), 2), context.Background(), map[string]*message{}
		hostCall := &call{host: &host{addr: server.Listener.Addr().String(), wait: &hostWait{}}}
		for id, due := range map[string]time.Duration{"short": 500 * time.Millisecond, "long": time.Hour} {
			m := &message{Entry: &journal.Entry{ID: id}, due: due}
			relay.pending[id] = m
			hostCall.members, hostCall.sends = append(hostCall.members, m), append(hostCall.sends, choice.Send{ID: id, Timeout: 20 * time.Second})
		}
		relay.startCall(hostCall)
		timedOut := receive(t, relay.inbox, "time-out of the short one")
		close(ended)
		answered := receive(t, relay.inbox, "answer")
		server.Close()
		order := []func(){answered, timedOut}
		if timeoutFirst {
			order = []func(){timedOut, answered}
		}
		for _, f := range order {
			f()
		}
		want(t, name+": results", len(relay.events), 2)
		outcomes := map[string]choice.Outcome{}
		for _, e := range relay.events {
			outcomes[e.(choice.Result).ID] = e.(choice.Result).Outcome
		}
		want(t, name+": the long one", outcomes["long"], choice.Served)
		want(t, name+": records", len(relay.pendingRecords), 2)
		short := map[bool]choice.Outcome{true: choice.Timeout, false: choice.Served}[timeoutFirst]
		want(t, name+": the short one", outcomes["short"], short)
		want(t, name+": it is pending until the Chooser ends it", relay.pending["short"] != nil, timeoutFirst)
	}
}

// Guards against a second effect if an answer mentions a message twice with different statuses: the message may have
// run.
func TestContradictoryBatchAnswer(t *testing.T) {
	for body, outcome := range map[string]choice.Outcome{
		"a ok\r\na later\r\n": choice.Error, "a later\r\na ok\r\n": choice.Error, "a gone\r\na ok\r\n": choice.Error,
		"a ok\r\na later\r\na later\r\n": choice.Error, "a exhausted\r\na later\r\n": choice.Error,
		"a ok\r\na ok\r\n": choice.Served, "a later\r\na later\r\n": choice.Refused,
	} {
		want(t, fmt.Sprintf("result of %q", body), parseBatchResults([]byte(body), []string{"a"})[0], memberResult{outcome: outcome})
	}
}

// Guards against a call that outlasts its message's deadline by the time that it waited to start: for the rest of the
// step, or for a CPU.
func TestCallEndsAtMessageDeadline(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	relay := newCallingRelay()
	relay.inbox, relay.callContext = make(chan func(), 1), context.Background()
	hostCall := &call{host: &host{addr: server.Listener.Addr().String(), wait: &hostWait{}}, sends: []choice.Send{{ID: "m1", Timeout: time.Hour}},
		members: []*message{{Entry: &journal.Entry{ID: "m1"}, due: time.Minute}}}
	relay.startCall(hostCall)
	receive(t, relay.inbox, "result")()
	if hostCall.timeout > time.Minute {
		t.Errorf("the call has a time-out of %v, want at most the minute that its message has", hostCall.timeout)
	}
	want(t, "calls", received.Load(), 1)
	late := newSingleCall(server.Listener.Addr().String(), "x")
	late.startedAt = time.Now().Add(-late.timeout)
	want(t, "outcome of a call that starts at its deadline", callOutcome(relay, context.Background(), late), choice.NoConnection)
	want(t, "calls", received.Load(), 1)
}
