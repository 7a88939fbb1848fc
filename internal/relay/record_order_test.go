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

// unserved is a relay whose loop a test runs by hand, step by step.
func unserved(t *testing.T, p *platform, state string) *Relay {
	t.Helper()
	conf, err := readTestConfig(t, testConfig(t, p), state)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.stop(); r.endCalls(errStopping); r.tcp.Close(); r.journal.Close() })
	return r
}

// request is a message as a handler gives it to the loop.
func request(t *testing.T, r *Relay, ctx context.Context, id, class string, left time.Duration) *intake {
	t.Helper()
	e := &journal.Entry{ID: id, Class: class, Dest: 7, Key: "key-" + id, Body: []byte("body of " + id), Due: time.Now().Add(left).UnixMilli()}
	terms, err := admit(r.set.Load(), e, r.now())
	if err != nil {
		t.Fatal(err)
	}
	e.Terms = terms
	return &intake{entry: e, due: r.now() + left, ctx: ctx, reply: make(chan answer, 1)}
}

// status is what a client has been told; 0 for nothing.
func status(in *intake) int {
	select {
	case a := <-in.reply:
		return a.status
	default:
		return 0
	}
}

// leavingHost is an endpoint that takes nothing new, so that messages wait.
func leavingHost() discovery.Server {
	s := at("s-1", "127.0.0.1:1", "taller")
	s.State = "leaving"
	return s
}

// tooLarge is a record that the journal has no room for, while it has room for a few smaller ones. It is one, for many are
// written in parts.
func tooLarge() []journal.Record {
	return []journal.Record{{Op: journal.OpOutcome, ID: strings.Repeat("x", 4<<20)}}
}

// Guards against the end of an earlier message that is written after the record that takes on a new one of the same id: the
// next start would not know of the new one.
func TestNothingIsTakenOnBeforeEarlierRecordsAreWritten(t *testing.T) {
	state := t.TempDir()
	r := unserved(t, newPlatform(t, leavingHost()), state)
	first := request(t, r, context.Background(), "m1", "payment", time.Minute)
	r.take(first)
	r.step()
	want(t, "status of the first", status(first), http.StatusAccepted)
	r.withdraw("m1", nil)
	r.records = append(append([]journal.Record(nil), r.records...), tooLarge()...)
	early := []*intake{request(t, r, context.Background(), "m1", "payment", time.Minute), request(t, r, context.Background(), "m2", "payment", time.Minute)}
	for _, in := range early {
		r.take(in)
	}
	r.step()
	for _, in := range early {
		want(t, "status of "+in.entry.ID+" while records wait", status(in), http.StatusServiceUnavailable)
	}
	r.records = r.records[:len(r.records)-len(tooLarge())]
	r.step()
	late := request(t, r, context.Background(), "m1", "payment", time.Minute)
	r.take(late)
	r.step()
	want(t, "status of m1 once they are written", status(late), http.StatusAccepted)
	r.journal.Close()
	j, err := journal.Open(state, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	want(t, "m1 is on record", j.Entry("m1") != nil, true)
	want(t, "messages on record", j.Len(), 1)
}

// Guards against taking on anew, after a restart, a message that has ended and whose notice is still owed: the record of that
// notice would end the new one, too. More notices may be owed than ids are remembered.
func TestAMessageWhoseNoticeIsOwedIsNotTakenOnAnew(t *testing.T) {
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
		r := unserved(t, newPlatform(t, leavingHost()), state)
		if forget {
			r.past = recent{}
		}
		in := request(t, r, context.Background(), "m1", "payment", time.Minute)
		r.take(in)
		r.step()
		want(t, name+": status", status(in), http.StatusAccepted)
		want(t, name+": messages held", len(r.held), 0)
		want(t, name+": notices owed", r.owed, 1)
		r.record(journal.Record{Op: journal.OpEnd, ID: "m1"}) // the platform has taken it
		r.step()
		want(t, name+": messages on record", r.journal.Len(), 0)
		again := request(t, r, context.Background(), "m1", "payment", time.Minute)
		r.take(again)
		r.step()
		want(t, name+": held, once the notice is told", len(r.held), map[bool]int{false: 0, true: 1}[forget])
		want(t, name+": on record, once the notice is told", r.journal.Len(), len(r.held))
	}
}

// Guards against recording a message a second time while it is not known whether this relay is to deliver the one on record.
func TestAMessageThatIsOnRecordIsNotRecordedAgain(t *testing.T) {
	r := unserved(t, newPlatform(t, leavingHost()), t.TempDir())
	for class, said := range map[string]int{"status-update": http.StatusServiceUnavailable, "payment": http.StatusInternalServerError} {
		first := request(t, r, context.Background(), class, class, time.Minute)
		if err := r.journal.Append(journal.Record{Op: journal.OpAccepted, Entry: first.entry}); err != nil {
			t.Fatal(err)
		}
		in := request(t, r, context.Background(), class, class, time.Minute)
		r.take(in)
		r.step()
		want(t, class, status(in), said)
		want(t, "messages held", len(r.held), 0)
	}
}
