package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"larchrouter/choice"
)

// Guards against a request that comes under one file of settings and is judged by the next, which was taken up while it
// came: its class may have another place, name or effect there, or be gone.
func TestARequestKeepsTheSettingsOfItsFirstByte(t *testing.T) {
	defer func(d time.Duration) { retiredFor = d }(retiredFor)
	retiredFor = 0 // nothing of the old settings is left but what requests hold of them
	for name, pairs := range map[string][]string{
		"renamed":        {`"name":"status-update"`, `"name":"other"`},
		"another effect": {`"effect":"idempotent"`, `"effect":"at_most_once"`},
		"another place":  {`"name":"payment"`, `"name":"status-update"`, `"name":"status-update"`, `"name":"payment"`},
		"fewer attempts": {`"max-attempts":6`, `"max-attempts":1`},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *seen, 10)
			p := newPlatform(t, at("s1", fakeHost(t, "s1", calls), "taller"))
			r := startRelay(t, p, nil)
			conn, err := net.Dial("tcp", r.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			send := func(id, class, head, rest string) { // the file changes between the two
				text := fmt.Sprintf("X-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: 15000\r\nIdempotency-Key: k\r\n"+
					"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi", id, class)
				io.WriteString(conn, head)
				for begun := false; !begun; time.Sleep(time.Millisecond) {
					r.listener.mu.Lock()
					for c := range r.listener.open {
						begun = begun || !c.begun.IsZero() && !c.answered
					}
					r.listener.mu.Unlock()
				}
				if rest != "" {
					if err := reload(t, r, changed(t, testConfig(t, p), pairs...)); err != nil {
						t.Fatal(err)
					}
				}
				io.WriteString(conn, rest+text)
			}
			send("first", "status-update", "POST /api HT", "TP/1.1\r\nHost: x\r\n")
			status, _, err := answered(in)
			if err != nil {
				t.Fatal(err)
			}
			want(t, "answer to one that began before", status, http.StatusAccepted)
			terms := make(chan choice.Terms, 1)
			r.post(func() { terms <- *r.pending["first"].Terms })
			got := wait(t, terms, "terms")
			want(t, "its attempts", got.Attempts, 6)
			want(t, "its effect", got.Class.Effect, choice.Safe)
			want(t, "its aim", got.Class.Aim, 3*time.Second)
			wait(t, calls, "call").answer <- 500 // it may be repeated, as it could when it came
			again := wait(t, calls, "call")
			want(t, "repeat", again.id, "first")
			again.answer <- 200
		})
	}
}

// Guards against a client that is held to the class as it is now when it knows it as it was, or the other way round.
func TestAClassThatChangesUnderItsName(t *testing.T) {
	class := func(e choice.Effect, window time.Duration) choice.Class {
		return choice.Class{Name: "a", Aim: time.Second, Deadline: time.Minute, Effect: e, Window: window}
	}
	follow := func(was, is choice.Class) *standing {
		first, next := standing{}, standing{}
		first.Classes, next.Classes = []choice.Class{was}, []choice.Class{is}
		first.MaxAttempts, next.MaxAttempts = 5, 5
		return (&standing{}).succeed(first.Settings, 0).succeed(next.Settings, time.Hour)
	}
	for _, c := range []struct {
		was, is choice.Effect
		keyed   bool
		want    choice.Effect
	}{
		{choice.Safe, choice.Unsafe, false, choice.Unsafe}, {choice.Unsafe, choice.Safe, true, choice.Unsafe},
		{choice.Keyed, choice.Safe, true, choice.Keyed}, {choice.Keyed, choice.Safe, false, choice.Safe},
		{choice.Safe, choice.Keyed, false, choice.Safe}, {choice.Safe, choice.Keyed, true, choice.Keyed},
	} {
		s := follow(class(c.was, 9*time.Second), class(c.is, 9*time.Second))
		want(t, fmt.Sprint(c, " while either may be known"), s.terms(0, c.keyed, time.Hour+retiredFor-1).Class.Effect, c.want)
		want(t, fmt.Sprint(c, " later"), s.terms(0, c.keyed, time.Hour+retiredFor).Class.Effect, c.is)
	}
	s := follow(class(choice.Keyed, 9*time.Second), class(choice.Keyed, time.Second))
	want(t, "window", s.terms(0, true, time.Hour).Class.Window, time.Second)
	s = follow(class(choice.Keyed, time.Second), class(choice.Keyed, 9*time.Second))
	want(t, "window", s.terms(0, true, time.Hour).Class.Window, time.Second)
	want(t, "window later", s.terms(0, true, 2*time.Hour).Class.Window, 9*time.Second)
}
