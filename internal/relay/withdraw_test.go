package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

// leaving is a request whose client is there so many times that it is asked for.
func leaving(r *Relay, id string, there int32) (w *httptest.ResponseRecorder, answered chan bool) {
	req := httptest.NewRequest("POST", "/api", strings.NewReader("x"))
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": "payment", "X-Deadline-Ms": "9000", "X-Addressing": "dest=7"} {
		req.Header.Set(k, v)
	}
	client := &leaver{Context: context.Background()}
	client.there.Store(there)
	w, answered = httptest.NewRecorder(), make(chan bool)
	go func() { r.serveAPI(w, req.WithContext(client)); close(answered) }()
	return w, answered
}

// turn runs what has come in, and lets the decisions step: one turn of the loop.
func turn(t *testing.T, r *Relay) {
	t.Helper()
	wait(t, r.inbox, "request")()
	r.step()
}

// Guards against 503 for a message that is still on record: the next start would deliver it, and the client hand it in again.
func TestAMessageIsWithdrawnOnlyWithItsRecord(t *testing.T) {
	r := unserved(t, newPlatform(t, leavingHost()), t.TempDir())
	w, answered := leaving(r, "m1", 1)
	turn(t, r)
	withdrawal := wait(t, r.inbox, "withdrawal")
	r.journal.StopWriting(errors.New("disk gone"))
	withdrawal()
	wait(t, answered, "answer")
	want(t, "status while nothing can be written", w.Code, http.StatusAccepted)
	want(t, "it is held", r.held["m1"] != nil, true)
	if err := r.journal.Compact(); err != nil {
		t.Fatal(err)
	}
	w, answered = leaving(r, "m2", 1)
	turn(t, r)
	wait(t, r.inbox, "withdrawal")()
	wait(t, answered, "answer")
	want(t, "status", w.Code, http.StatusServiceUnavailable)
	want(t, "it is on record", r.journal.Entry("m2") != nil, false)
}

// Guards against 202 for a message that is withdrawn as the loop ends: its handler may find both at once. On one processor it
// does so in each round, and went by the one or the other by chance.
func TestAWithdrawalHoldsAsTheLoopEnds(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	r := unserved(t, newPlatform(t, leavingHost()), t.TempDir())
	r.inbox = make(chan func())
	for n := range 40 {
		in := request(t, r, context.Background(), fmt.Sprint("m", n), "payment", time.Minute)
		r.take(in)
		r.step()
		want(t, "status", status(in), http.StatusAccepted)
		r.halted = make(chan struct{})
		said := make(chan answer)
		go func() { said <- r.afterLeaving(in) }()
		for range 100 { // until the handler stands before the loop's inbox
			runtime.Gosched()
		}
		wait(t, r.inbox, "withdrawal")()
		close(r.halted)
		want(t, in.entry.ID+": status", wait(t, said, "answer").status, http.StatusServiceUnavailable)
		want(t, "it is on record", r.journal.Entry(in.entry.ID) != nil, false)
	}
}

// Guards against either answer to a withdrawal that the loop did not come to: the message is on record, and owed its end.
func TestAWithdrawalThatTheLoopDidNotSee(t *testing.T) {
	r := unserved(t, newPlatform(t, leavingHost()), t.TempDir())
	in := request(t, r, context.Background(), "m1", "payment", time.Minute)
	r.take(in)
	r.step()
	r.stop()
	close(r.halted)
	want(t, "status", r.afterLeaving(in).status, http.StatusAccepted)
	want(t, "it is on record", r.journal.Entry("m1") != nil, true)
}

// Guards each order in which a client that ended its sending and a second connection with the same message can come. Whoever
// hears 202 is owed an end; whoever hears 503 has a message that is neither held nor on record.
func TestTheSameMessageOnTwoConnections(t *testing.T) {
	second := func(r *Relay) *intake {
		in := request(t, r, context.Background(), "m1", "payment", time.Minute)
		r.take(in)
		return in
	}
	for _, c := range []struct {
		when              string
		one, two          int
		first, last       func(r *Relay) *intake // before the first is taken on, and after its withdrawal
		between, recorded func(r *Relay) *intake // of take and step, and of record and withdrawal
	}{
		{when: "before it", first: second, one: http.StatusAccepted, two: http.StatusAccepted},
		{when: "between take and step", between: second, one: http.StatusAccepted, two: http.StatusAccepted},
		{when: "between record and withdrawal", recorded: second, one: http.StatusAccepted, two: http.StatusAccepted},
		{when: "in the turn of the withdrawal, after it", last: second, one: http.StatusServiceUnavailable, two: http.StatusAccepted},
	} {
		t.Run(c.when, func(t *testing.T) {
			state := t.TempDir()
			p := newPlatform(t, leavingHost())
			r := unserved(t, p, state)
			var two *intake
			at := func(f func(r *Relay) *intake) {
				if f != nil {
					two = f(r)
				}
			}
			at(c.first)
			there := int32(1) // as the loop takes the message on
			if c.first != nil {
				there = 0 // that is not asked for one that is held
			}
			w, answered := leaving(r, "m1", there)
			wait(t, r.inbox, "request")()
			at(c.between)
			r.step()
			withdrawal := wait(t, r.inbox, "withdrawal")
			at(c.recorded)
			withdrawal()
			at(c.last)
			r.step()
			wait(t, answered, "answer")
			want(t, "status on the first", w.Code, c.one)
			want(t, "status on the second", status(two), c.two)
			want(t, "messages held", len(r.held), 1)
			next := reopened(t, p, r, state)
			want(t, "messages held after a kill", len(next.held), 1)
		})
	}
}

// reopened is the next process, after a kill of this one.
func reopened(t *testing.T, p *platform, r *Relay, state string) *Relay {
	t.Helper()
	r.endCalls(errStopping)
	r.journal.Close()
	return unserved(t, p, state)
}

// Guards against 503 on a second connection, whose client has ended its sending, for a message that the first one was told is
// taken on: it is delivered, and the client would hand it in once more.
func TestASecondConnectionHearsOfWhatIsHeld(t *testing.T) {
	r := unserved(t, newPlatform(t, leavingHost()), t.TempDir())
	first := request(t, r, context.Background(), "m1", "payment", time.Minute)
	r.take(first)
	r.step()
	want(t, "status on the first", status(first), http.StatusAccepted)
	for _, name := range []string{"held", "ended"} {
		ended := name == "ended"
		if ended {
			r.give(r.held["m1"], notice{ID: "m1", Status: undeliverable})
			r.step()
		}
		w, answered := leaving(r, "m1", 0)
		for over := false; !over; {
			select {
			case f := <-r.inbox:
				f()
			case <-answered:
				over = true
			}
		}
		want(t, "status on the second, of one that is "+name, w.Code, http.StatusAccepted)
		want(t, "it is held", r.held["m1"] != nil, !ended)
	}
}
