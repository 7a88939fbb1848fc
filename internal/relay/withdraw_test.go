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

// submitAndDisconnect submits a message for a client that counts as connected for the given number of checks.
func submitAndDisconnect(r *Relay, id string, connectedChecks int32) (w *httptest.ResponseRecorder, answered chan bool) {
	req := httptest.NewRequest("POST", "/api", strings.NewReader("x"))
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": "payment", "X-Deadline-Ms": "9000", "X-Addressing": "dest=7"} {
		req.Header.Set(k, v)
	}
	client := &leavingContext{Context: context.Background()}
	client.checksLeft.Store(connectedChecks)
	w, answered = httptest.NewRecorder(), make(chan bool)
	go func() { r.serveAPI(w, req.WithContext(client)); close(answered) }()
	return w, answered
}

// runLoopTurn runs the next function in the inbox and lets the chooser decide, like one turn of the loop.
func runLoopTurn(t *testing.T, r *Relay) {
	t.Helper()
	receive(t, r.inbox, "request")()
	r.step()
}

// Guards against answering 503 for a message that is still on record: it would be delivered after a restart, and also
// submitted again by its client.
func TestWithdrawalRequiresItsRecord(t *testing.T) {
	r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), t.TempDir())
	w, answered := submitAndDisconnect(r, "m1", 1)
	runLoopTurn(t, r)
	withdrawal := receive(t, r.inbox, "withdrawal")
	r.journal.StopWriting(errors.New("disk gone"))
	withdrawal()
	receive(t, answered, "answer")
	want(t, "status while nothing can be written", w.Code, http.StatusAccepted)
	want(t, "it is pending", r.pending["m1"] != nil, true)
	if err := r.journal.Compact(); err != nil {
		t.Fatal(err)
	}
	w, answered = submitAndDisconnect(r, "m2", 1)
	runLoopTurn(t, r)
	receive(t, r.inbox, "withdrawal")()
	receive(t, answered, "answer")
	want(t, "status", w.Code, http.StatusServiceUnavailable)
	want(t, "it is on record", r.journal.Entry("m2") != nil, false)
}

// Guards against answering 202 for a message that is withdrawn just as the loop ends, when its handler may find both
// the response and the end of the loop, and could choose either. On one processor that happens in each round.
func TestWithdrawalStandsWhenLoopEnds(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), t.TempDir())
	r.inbox = make(chan func())
	for n := range 40 {
		apiReq := newAPIRequest(t, r, context.Background(), fmt.Sprint("m", n), "payment", time.Minute)
		r.submit(apiReq)
		r.step()
		want(t, "status", replyStatus(apiReq), http.StatusAccepted)
		r.loopEnded = make(chan struct{})
		responses := make(chan apiResponse)
		go func() { responses <- r.responseAfterDisconnect(apiReq) }()
		for range 100 { // until the handler waits to send to the loop's inbox
			runtime.Gosched()
		}
		receive(t, r.inbox, "withdrawal")()
		close(r.loopEnded)
		want(t, apiReq.entry.ID+": status", receive(t, responses, "answer").status, http.StatusServiceUnavailable)
		want(t, "it is on record", r.journal.Entry(apiReq.entry.ID) != nil, false)
	}
}

// Guards against any answer other than 202 if the loop did not process the withdrawal: the message is on record, and
// its end is still to be reported.
func TestWithdrawalNotSeenByLoop(t *testing.T) {
	r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), t.TempDir())
	apiReq := newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute)
	r.submit(apiReq)
	r.step()
	r.stop()
	close(r.loopEnded)
	want(t, "status", r.responseAfterDisconnect(apiReq).status, http.StatusAccepted)
	want(t, "it is on record", r.journal.Entry("m1") != nil, true)
}

// Covers each order of a client that closes its sending direction and a second connection with the same message. For
// a client that gets 202 an end has to follow; for one that gets 503 the message must be neither pending nor on
// record.
func TestSameMessageOnTwoConnections(t *testing.T) {
	second := func(r *Relay) *apiRequest {
		apiReq := newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute)
		r.submit(apiReq)
		return apiReq
	}
	for _, c := range []struct {
		when              string
		one, two          int
		first, last       func(r *Relay) *apiRequest // before the first submission is accepted, and after its withdrawal
		between, recorded func(r *Relay) *apiRequest // between submit and step, and between record and withdrawal
	}{
		{when: "before the first", first: second, one: http.StatusAccepted, two: http.StatusAccepted},
		{when: "between submit and step", between: second, one: http.StatusAccepted, two: http.StatusAccepted},
		{when: "between record and withdrawal", recorded: second, one: http.StatusAccepted, two: http.StatusAccepted},
		{when: "in the loop turn of the withdrawal, after it", last: second, one: http.StatusServiceUnavailable, two: http.StatusAccepted},
	} {
		t.Run(c.when, func(t *testing.T) {
			state := t.TempDir()
			p := newFakePlatform(t, leavingHost())
			r := newSteppedRelay(t, p, state)
			var two *apiRequest
			at := func(f func(r *Relay) *apiRequest) {
				if f != nil {
					two = f(r)
				}
			}
			at(c.first)
			connectedChecks := int32(1) // the check when the loop accepts the message
			if c.first != nil {
				connectedChecks = 0 // a message that is already pending is not checked
			}
			w, answered := submitAndDisconnect(r, "m1", connectedChecks)
			receive(t, r.inbox, "request")()
			at(c.between)
			r.step()
			withdrawal := receive(t, r.inbox, "withdrawal")
			at(c.recorded)
			withdrawal()
			at(c.last)
			r.step()
			receive(t, answered, "answer")
			want(t, "status on the first connection", w.Code, c.one)
			want(t, "status on the second connection", replyStatus(two), c.two)
			want(t, "pending messages", len(r.pending), 1)
			next := restartAfterKill(t, p, r, state)
			want(t, "pending messages after a kill", len(next.pending), 1)
		})
	}
}

// restartAfterKill kills the relay and returns its next process.
func restartAfterKill(t *testing.T, p *fakePlatform, r *Relay, state string) *Relay {
	t.Helper()
	r.cancelCalls(errStopping)
	r.journal.Close()
	return newSteppedRelay(t, p, state)
}

// Guards against answering 503 on a second connection, whose client has closed its sending direction, for a message
// that was accepted on the first: it is delivered, and the client would submit it once more.
func TestSecondConnectionLearnsOfPendingMessage(t *testing.T) {
	r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), t.TempDir())
	first := newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute)
	r.submit(first)
	r.step()
	want(t, "status on the first connection", replyStatus(first), http.StatusAccepted)
	for _, name := range []string{"held", "ended"} {
		ended := name == "ended"
		if ended {
			r.endWithNotice(r.pending["m1"], notice{ID: "m1", Status: undeliverable})
			r.step()
		}
		w, answered := submitAndDisconnect(r, "m1", 0)
		for done := false; !done; {
			select {
			case run := <-r.inbox:
				run()
			case <-answered:
				done = true
			}
		}
		want(t, "status on the second connection, message "+name, w.Code, http.StatusAccepted)
		want(t, "it is pending", r.pending["m1"] != nil, !ended)
	}
}
