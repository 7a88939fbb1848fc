package relay

import (
	"context"
	"net/http"
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

// tooLarge are records that the journal has no room for together, while it has room for a few more.
func tooLarge() []journal.Record {
	recs := make([]journal.Record, 100_000)
	for i := range recs {
		recs[i] = journal.Record{Op: journal.OpOutcome, ID: "no message"}
	}
	return recs
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
	r.withdraw("m1")
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
