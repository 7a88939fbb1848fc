package relay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
)

// folderWith is a folder with a journal of these records.
func folderWith(t *testing.T, recs ...journal.Record) string {
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
		r := unserved(t, newPlatform(t, leavingHost()), folderWith(t, journal.Record{Op: journal.OpAccepted,
			Entry: &journal.Entry{ID: "m1", Class: class, Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli()}}))
		later(r, time.Minute)
		r.step()
		want(t, "messages held whose time is up", len(r.held), 0)
		queued := queuedNotices(r)
		want(t, "notices", len(queued), 1)
		want(t, "status of the notice", queued[0].Status, status)
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

// Guards against a message that has no end because the process before this one, which has its call out, hangs.
func TestAnAdoptedCallEndsWithItsMessagesTime(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	old := startRelay(t, p, withAdmin)
	up(t, old.Addr())
	status, _ := hand(t, old.Addr(), "m1", "payment", "X-Deadline-Ms", "2000")
	want(t, "status", status, http.StatusAccepted)
	wait(t, calls, "call")
	next := upgrade(t, p, old)
	hangs := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(hangs) })
	t.Cleanup(goOn) // before the one that stops it
	old.post(func() { <-hangs })
	want(t, "notice", wait(t, p.notices, "notice"), notice{ID: "m1", Status: undeliverable})
	goOn()
	shows(t, next, "svc.requests.payment.failed=1", "svc.in_flight=0")
	want(t, "further calls", len(calls), 0)
}

// Guards against two ends of an adopted call: by its message's time, and by the word that comes after that.
func TestLateWordOfAnAdoptedCallIsNoSecondEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Relay{began: time.Now(), inbox: make(chan func(), 1), quit: make(chan struct{}), books: books{held: map[string]*message{}}}
		r.set.Store(&standing{})
		c := &call{host: &host{id: "s-1"}, began: time.Now()}
		m := &message{Entry: &journal.Entry{ID: "m1"}, due: time.Second, call: c}
		r.held["m1"] = m
		h := &heritage{calls: map[string]*call{"m1": c}}
		r.endInTime(h, "m1", c)
		(<-r.inbox)()
		want(t, "it ends after", r.now(), time.Second+wordIn)
		want(t, "outcome", r.events[0].(choice.Result).Outcome, choice.Timeout)
		r.endedBefore(h, endPassed{ID: "m1", Outcome: choice.Served})
		want(t, "ends", len(r.events), 1)
		want(t, "it may have run", r.records[0], journal.Record{Op: journal.OpOutcome, ID: "m1", Flag: true})
		want(t, "records", len(r.records), 1)
	})
}

// Guards against an end that is late by what a message took from the process that it came to.
func TestAPassedMessagesTimeRunsOnItsWay(t *testing.T) {
	r := unserved(t, newPlatform(t, leavingHost()), t.TempDir())
	in := request(t, r, context.Background(), "m1", "payment", time.Minute)
	r.takePassed(nil, passed{N: 1, Take: in.entry, Left: 2 * time.Minute}) // a minute ago
	if left := r.held["m1"].due - r.now(); left > time.Minute {
		t.Errorf("%v are left, want a minute at most", left)
	}
}

// Guards against a second copy of what another relay still has out: this one had taken its message up, and waited for that
// call to end, as the next process took over.
func TestAnUpgradeLeavesAloneWhatAnotherHasOut(t *testing.T) {
	for name, upgraded := range map[string]bool{"restarted": false, "upgraded": true} {
		folder := folderWith(t,
			journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: "m1", Class: "status-update", Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli()}},
			journal.Record{Op: journal.OpTry, ID: "m1", At: time.Now().UnixMilli(), WaitMs: 30_000})
		(&Relay{conf: Config{State: folder}}).keepLease(discovery.Lease{Confirmed: time.Now(), Expires: time.Now().Add(time.Hour), Version: 1})
		r := unserved(t, newPlatform(t, at("s-1", "127.0.0.1:1", "taller")), folder)
		if upgraded {
			r.heritage = &heritage{calls: map[string]*call{}}
		}
		r.events = slices.DeleteFunc(r.events, func(e choice.Event) bool { _, is := e.(choice.Restored); return is })
		r.held, r.records = map[string]*message{}, nil
		r.restore()
		r.step()
		want(t, "messages held", len(r.held), 1)
		want(t, "calls out, "+name, r.out, map[bool]int{false: 1, true: 0}[upgraded])
	}
}
