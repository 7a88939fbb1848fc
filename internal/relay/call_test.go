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

// Guards against a shared call whose first message is the first to end: what its endpoint answers after that counts for
// none of the others, though this relay takes them for delivered.
func TestTheLongestLeadsASharedCall(t *testing.T) {
	bodies := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, _ := io.ReadAll(req.Body)
		bodies <- string(b)
		io.WriteString(w, "a error\r\nb ok\r\nc later\r\n")
	}))
	defer s.Close()
	r := caller()
	r.inbox = make(chan func(), 1)
	r.calls = context.Background()
	c := &call{host: &host{addr: s.Listener.Addr().String(), waiting: &waiting{}}}
	for i, id := range []string{"a", "b", "c"} {
		c.members = append(c.members, &message{Entry: &journal.Entry{ID: id}, ended: true, due: []time.Duration{1, 3, 2}[i] * time.Hour})
		c.sends = append(c.sends, choice.Send{ID: id, Timeout: time.Duration(i+1) * time.Minute})
	}
	r.start(c)
	want(t, "the message that leads", strings.Fields(wait(t, bodies, "call"))[0], "b")
	want(t, "its send", c.sends[0].ID, "b")
	wait(t, r.inbox, "result")()
	got := map[string]choice.Outcome{}
	for _, e := range r.events {
		got[e.(choice.Result).ID] = e.(choice.Result).Outcome
	}
	want(t, "ends of all", len(got), 3)
	want(t, "end of a", got["a"], choice.Error)
	want(t, "end of b", got["b"], choice.Served)
	want(t, "end of c", got["c"], choice.Refused)
}

// Guards against two ends, or none, of a member of a shared call whose time is up in the instant of the answer: either may
// come to the loop first.
func TestAnAnswerInTheInstantOfAMembersEnd(t *testing.T) {
	for name, endFirst := range map[string]bool{"its end first": true, "the answer first": false} {
		ended := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			io.Copy(io.Discard, req.Body)
			<-ended
			io.WriteString(w, "short ok\r\nlong ok\r\n")
		}))
		r := caller()
		r.inbox, r.calls, r.pending = make(chan func(), 2), context.Background(), map[string]*message{}
		c := &call{host: &host{addr: s.Listener.Addr().String(), waiting: &waiting{}}}
		for id, due := range map[string]time.Duration{"short": 500 * time.Millisecond, "long": time.Hour} {
			m := &message{Entry: &journal.Entry{ID: id}, due: due}
			r.pending[id] = m
			c.members, c.sends = append(c.members, m), append(c.sends, choice.Send{ID: id, Timeout: 20 * time.Second})
		}
		r.start(c)
		end := wait(t, r.inbox, "end of the short one")
		close(ended)
		answered := wait(t, r.inbox, "answer")
		s.Close()
		order := []func(){answered, end}
		if endFirst {
			order = []func(){end, answered}
		}
		for _, f := range order {
			f()
		}
		want(t, name+": ends", len(r.events), 2)
		outcomes := map[string]choice.Outcome{}
		for _, e := range r.events {
			outcomes[e.(choice.Result).ID] = e.(choice.Result).Outcome
		}
		want(t, name+": the long one", outcomes["long"], choice.Served)
		want(t, name+": records", len(r.pendingRecords), 2)
		short := map[bool]choice.Outcome{true: choice.Timeout, false: choice.Served}[endFirst]
		want(t, name+": the short one", outcomes["short"], short)
		want(t, name+": it is held, for the decisions to end it", r.pending["short"] != nil, endFirst)
	}
}

// Guards against a second effect where an answer tells of a message twice, and not the same: it may have run.
func TestAnAnswerThatContradictsItself(t *testing.T) {
	for body, outcome := range map[string]choice.Outcome{
		"a ok\r\na later\r\n": choice.Error, "a later\r\na ok\r\n": choice.Error, "a gone\r\na ok\r\n": choice.Error,
		"a ok\r\na later\r\na later\r\n": choice.Error, "a exhausted\r\na later\r\n": choice.Error,
		"a ok\r\na ok\r\n": choice.Served, "a later\r\na later\r\n": choice.Refused,
	} {
		want(t, fmt.Sprintf("end after %q", body), batchEnds([]byte(body), []string{"a"})[0], end{outcome: outcome})
	}
}

// Guards against a call that outlasts its message's time by as long as it waited to begin: for the rest of the step, and for a
// core.
func TestACallEndsWithItsMessagesTime(t *testing.T) {
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
	defer s.Close()
	r := caller()
	r.inbox, r.calls = make(chan func(), 1), context.Background()
	c := &call{host: &host{addr: s.Listener.Addr().String(), waiting: &waiting{}}, sends: []choice.Send{{ID: "m1", Timeout: time.Hour}},
		members: []*message{{Entry: &journal.Entry{ID: "m1"}, due: time.Minute}}}
	r.start(c)
	wait(t, r.inbox, "result")()
	if c.timeout > time.Minute {
		t.Errorf("it has %v, and its message a minute", c.timeout)
	}
	want(t, "calls", got.Load(), 1)
	late := oneCall(s.Listener.Addr().String(), "x")
	late.began = time.Now().Add(-late.timeout)
	want(t, "outcome of one that begins as its time is up", outcome(r, context.Background(), late), choice.NoConnection)
	want(t, "calls", got.Load(), 1)
}
