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

// Guards against judging a request by settings that were reloaded while it arrived: its class may have another index,
// name or effect there, or be gone.
func TestRequestKeepsSettingsOfItsFirstByte(t *testing.T) {
	defer func(d time.Duration) { earlierTermsGrace = d }(earlierTermsGrace)
	earlierTermsGrace = 0 // nothing but the requests themselves refers to the old settings
	for name, pairs := range map[string][]string{
		"renamed":        {`"name":"status-update"`, `"name":"other"`},
		"another effect": {`"effect":"idempotent"`, `"effect":"at_most_once"`},
		"another index":  {`"name":"payment"`, `"name":"status-update"`, `"name":"status-update"`, `"name":"payment"`},
		"fewer attempts": {`"max-attempts":6`, `"max-attempts":1`},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *receivedCall, 10)
			p := newFakePlatform(t, testEndpoint("s1", newFakeHost(t, "s1", calls), "taller"))
			r := startRelay(t, p, nil)
			conn, err := net.Dial("tcp", r.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			send := func(id, class, head, rest string) { // the file changes between head and rest
				text := fmt.Sprintf("X-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: 15000\r\nIdempotency-Key: k\r\n"+
					"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi", id, class)
				io.WriteString(conn, head)
				for begun := false; !begun; time.Sleep(time.Millisecond) {
					r.clientListener.mu.Lock()
					for c := range r.clientListener.open {
						begun = begun || !c.requestStart.IsZero() && !c.responded
					}
					r.clientListener.mu.Unlock()
				}
				if rest != "" {
					if err := reloadConfig(t, r, replaceOnce(t, testConfig(t, p), pairs...)); err != nil {
						t.Fatal(err)
					}
				}
				io.WriteString(conn, rest+text)
			}
			send("first", "status-update", "POST /api HT", "TP/1.1\r\nHost: x\r\n")
			status, _, err := readResponse(reader)
			if err != nil {
				t.Fatal(err)
			}
			want(t, "response to a request that began before the reload", status, http.StatusAccepted)
			terms := make(chan choice.Terms, 1)
			r.post(func() { terms <- *r.pending["first"].Terms })
			got := receive(t, terms, "terms")
			want(t, "attempts of its terms", got.Attempts, 6)
			want(t, "effect of its class", got.Class.Effect, choice.Safe)
			want(t, "aim of its class", got.Class.Aim, 3*time.Second)
			receive(t, calls, "call").answer <- 500 // it may be repeated, as its class allowed when it was accepted
			repeated := receive(t, calls, "call")
			want(t, "repeat", repeated.id, "first")
			repeated.answer <- 200
		})
	}
}

// Guards against applying the current version of a class to a client that knows the previous one, and the reverse.
func TestChangedClassAppliesStricterTerms(t *testing.T) {
	class := func(e choice.Effect, window time.Duration) choice.Class {
		return choice.Class{Name: "a", Aim: time.Second, Deadline: time.Minute, Effect: e, Window: window}
	}
	follow := func(was, is choice.Class) *activeSettings {
		first, next := activeSettings{}, activeSettings{}
		first.Classes, next.Classes = []choice.Class{was}, []choice.Class{is}
		first.MaxAttempts, next.MaxAttempts = 5, 5
		return (&activeSettings{}).replacedBy(first.Settings, 0).replacedBy(next.Settings, time.Hour)
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
		active := follow(class(c.was, 9*time.Second), class(c.is, 9*time.Second))
		want(t, fmt.Sprint(c, " while clients may know either version"), active.termsFor("a", c.keyed, time.Hour+earlierTermsGrace-1).Class.Effect, c.want)
		want(t, fmt.Sprint(c, " later"), active.termsFor("a", c.keyed, time.Hour+earlierTermsGrace).Class.Effect, c.is)
	}
	active := follow(class(choice.Keyed, 9*time.Second), class(choice.Keyed, time.Second))
	want(t, "window", active.termsFor("a", true, time.Hour).Class.Window, time.Second)
	active = follow(class(choice.Keyed, time.Second), class(choice.Keyed, 9*time.Second))
	want(t, "window", active.termsFor("a", true, time.Hour).Class.Window, time.Second)
	want(t, "window after the grace period", active.termsFor("a", true, 2*time.Hour).Class.Window, 9*time.Second)
}
