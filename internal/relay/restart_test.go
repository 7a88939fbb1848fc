package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// left is a folder with a journal of these records.
func left(t *testing.T, recs ...journal.Record) string {
	t.Helper()
	state := t.TempDir()
	j, err := journal.Open(state, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if err := j.Append(recs...); err != nil {
		t.Fatal(err)
	}
	return state
}

// later has a relay's clock go on by so much, while its loop does nothing.
func later(r *Relay, d time.Duration) { r.began = r.began.Add(-d) }

// Guards against an end that is late by as long as the loop was held up between a message's coming and the step in which the
// decisions hear of it: at a start, which takes up the journal before it serves, and for what clients hand in.
func TestTimeRunsBeforeTheStep(t *testing.T) {
	for class, status := range map[string]string{"payment": deferred, "status-update": deferred} {
		r := unserved(t, newPlatform(t, leavingHost()), left(t, journal.Record{Op: journal.OpTaken,
			Entry: &journal.Entry{ID: "m1", Class: class, Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli()}}))
		later(r, time.Minute)
		r.step()
		want(t, "messages held whose time is up", len(r.held), 0)
		n := wait(t, r.notices, "notice")
		want(t, "status of the notice", n.Status, status)
		in := request(t, r, context.Background(), "m2", class, time.Minute)
		r.take(in)
		later(r, time.Minute)
		r.step()
		want(t, "answer to one whose time is up", wait(t, in.reply, "answer").status, http.StatusServiceUnavailable)
	}
}

// Guards against a repeat after its window, by as much as a start was held up.
func TestARestoredMessageRanAsLongAgoAsItDid(t *testing.T) {
	before := choice.Restored{Arrival: choice.Arrival{Left: 9 * time.Second}, RanAgo: time.Second, Out: &choice.Running{Ago: 2 * time.Second}}
	e := restoredAt(before, 5*time.Second)
	want(t, "left", e.Left, 5*time.Second)
	want(t, "since it ran", e.RanAgo, 5*time.Second)
	want(t, "since it went out", e.Out.Ago, 6*time.Second)
	want(t, "the same, before", before.Out.Ago, 2*time.Second)
}
