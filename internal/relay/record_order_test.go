package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
)

// newSteppedRelay returns a relay that is not served: the test calls its steps itself.
func newSteppedRelay(t *testing.T, p *fakePlatform, state string) *Relay {
	t.Helper()
	conf, err := readTestConfig(t, testConfig(t, p), state)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.stop(); r.cancelCalls(errStopping); r.tcpListener.Close(); r.journal.Close() })
	return r
}

// newAPIRequest returns a message as a handler submits it to the loop.
func newAPIRequest(t *testing.T, r *Relay, ctx context.Context, id, class string, timeLeft time.Duration) *apiRequest {
	t.Helper()
	e := &journal.Entry{ID: id, Class: class, Dest: 7, Key: "key-" + id, Body: []byte("body of " + id), Due: time.Now().Add(timeLeft).UnixMilli()}
	terms, err := messageTerms(r.settings.Load(), e, r.now())
	if err != nil {
		t.Fatal(err)
	}
	e.Terms = terms
	return &apiRequest{entry: e, due: r.now() + timeLeft, ctx: ctx, reply: make(chan apiResponse, 1)}
}

// replyStatus returns the status that a client was answered; 0 for none yet.
func replyStatus(in *apiRequest) int {
	select {
	case a := <-in.reply:
		return a.status
	default:
		return 0
	}
}

// leavingHost returns an endpoint that accepts nothing new, so that messages wait.
func leavingHost() discovery.Server {
	s := testEndpoint("s-1", "127.0.0.1:1", "taller")
	s.State = "leaving"
	return s
}

// oversizedRecord returns a record too large for the journal, which still has space for a few smaller ones. It is a
// single one, since several would be written in parts.
func oversizedRecord() []journal.Record {
	return []journal.Record{{Op: journal.OpOutcome, ID: strings.Repeat("x", 4<<20)}}
}

// Guards against writing the end of an earlier message after the record that accepts a new one of the same ID: the
// next start would not know of the new one.
func TestNothingIsAcceptedBeforeEarlierRecordsAreWritten(t *testing.T) {
	state := t.TempDir()
	r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), state)
	first := newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute)
	r.submit(first)
	r.step()
	want(t, "status of the first", replyStatus(first), http.StatusAccepted)
	r.withdraw("m1", nil)
	r.pendingRecords = append(append([]journal.Record(nil), r.pendingRecords...), oversizedRecord()...)
	rejected := []*apiRequest{newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute), newAPIRequest(t, r, context.Background(), "m2", "payment", time.Minute)}
	for _, in := range rejected {
		r.submit(in)
	}
	r.step()
	for _, in := range rejected {
		want(t, "status of "+in.entry.ID+" while records are pending", replyStatus(in), http.StatusServiceUnavailable)
	}
	r.pendingRecords = r.pendingRecords[:len(r.pendingRecords)-len(oversizedRecord())]
	r.step()
	retried := newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute)
	r.submit(retried)
	r.step()
	want(t, "status of m1 once they are written", replyStatus(retried), http.StatusAccepted)
	r.journal.Close()
	j, err := journal.Open(state, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	want(t, "m1 is on record", j.Entry("m1") != nil, true)
	want(t, "messages on record", j.Len(), 1)
}

// Guards against accepting a message anew, after a restart, that has ended and whose notice is still pending: the
// record of that notice's end would end the new message, too. More notices may be pending than IDs are remembered.
func TestMessageWithPendingNoticeIsNotAcceptedAgain(t *testing.T) {
	for name, forget := range map[string]bool{"remembered": false, "forgotten": true} {
		state := t.TempDir()
		j, err := journal.Open(state, 3e6)
		if err != nil {
			t.Fatal(err)
		}
		if err := j.Append(journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: "m1", Class: "payment", Dest: 7}},
			journal.Record{Op: journal.OpNotice, ID: "m1", Status: undeliverable}); err != nil {
			t.Fatal(err)
		}
		j.Close()
		r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), state)
		if forget {
			r.endedIDs = recentIDs{}
		}
		in := newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute)
		r.submit(in)
		r.step()
		want(t, name+": status", replyStatus(in), http.StatusAccepted)
		want(t, name+": messages pending", len(r.pending), 0)
		want(t, name+": pending notices", r.pendingNotices, 1)
		r.record(journal.Record{Op: journal.OpEnd, ID: "m1"}) // the platform has accepted the notice
		r.step()
		want(t, name+": messages on record", r.journal.Len(), 0)
		again := newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute)
		r.submit(again)
		r.step()
		want(t, name+": pending messages once the notice is sent", len(r.pending), map[bool]int{false: 0, true: 1}[forget])
		want(t, name+": messages on record once the notice is sent", r.journal.Len(), len(r.pending))
	}
}

// Guards against recording a message a second time while it is unknown whether this relay is to deliver the one on
// record.
func TestRecordedMessageIsNotRecordedAgain(t *testing.T) {
	r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), t.TempDir())
	for class, wantStatus := range map[string]int{"status-update": http.StatusServiceUnavailable, "payment": http.StatusInternalServerError} {
		first := newAPIRequest(t, r, context.Background(), class, class, time.Minute)
		if err := r.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: first.entry}); err != nil {
			t.Fatal(err)
		}
		in := newAPIRequest(t, r, context.Background(), class, class, time.Minute)
		r.submit(in)
		r.step()
		want(t, class, replyStatus(in), wantStatus)
		want(t, "messages pending", len(r.pending), 0)
	}
}
