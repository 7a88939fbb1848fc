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

// folderWithRecords returns a state directory whose journal has these records.
func folderWithRecords(t *testing.T, records ...journal.Record) string {
	t.Helper()
	state := t.TempDir()
	j, err := journal.Open(state, 3e6)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if err := j.Append(records...); err != nil {
		t.Fatal(err)
	}
	return state
}

// advanceClock advances a relay's clock while its loop does nothing.
func advanceClock(r *Relay, elapsed time.Duration) { r.startedAt = r.startedAt.Add(-elapsed) }

// Guards against ends that are late because the loop was delayed between a message's arrival and the step that
// submits it to the Chooser: at a start, which resumes the journal before it serves, and for new messages.
func TestTimeRunsBeforeStep(t *testing.T) {
	for class, status := range map[string]string{"payment": deferred, "status-update": deferred} {
		r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), folderWithRecords(t, journal.Record{Op: journal.OpAccepted,
			Entry: &journal.Entry{ID: "m1", Class: class, Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli()}}))
		advanceClock(r, time.Minute)
		r.step()
		want(t, "pending messages after their deadline", len(r.pending), 0)
		queued := queuedNotices(r)
		want(t, "notices", len(queued), 1)
		want(t, "status of the notice", queued[0].Status, status)
		in := newAPIRequest(t, r, context.Background(), "m2", class, time.Minute)
		r.submit(in)
		advanceClock(r, time.Minute)
		r.step()
		want(t, "answer to a message after its deadline", receive(t, in.reply, "answer").status, http.StatusServiceUnavailable)
	}
}

// Guards against a repeat after its window has passed, by as much as a start was delayed.
func TestRestoredMessageTimesIncludeDelay(t *testing.T) {
	before := choice.Restored{Arrival: choice.Arrival{Left: 9 * time.Second}, FirstRunAgo: time.Second, InFlight: &choice.InFlightCall{SentAgo: 2 * time.Second}}
	delayed := withTimeLeft(before, 5*time.Second)
	want(t, "left", delayed.Left, 5*time.Second)
	want(t, "since it ran", delayed.FirstRunAgo, 5*time.Second)
	want(t, "since it was sent", delayed.InFlight.SentAgo, 6*time.Second)
	want(t, "time since it was sent, in the original", before.InFlight.SentAgo, 2*time.Second)
}

// Guards against a message that never ends because the previous process, which has its call in flight, hangs.
func TestAdoptedCallEndsAtMessageDeadline(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	old := startRelay(t, p, withAdminAddr)
	checkUp(t, old.Addr())
	status, _ := postMessage(t, old.Addr(), "m1", "payment", "X-Deadline-Ms", "2000")
	want(t, "status", status, http.StatusAccepted)
	receive(t, calls, "call")
	next := upgrade(t, p, old)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release) // runs before the cleanup that stops the relay
	old.post(func() { <-released })
	want(t, "notice", receive(t, p.notices, "notice"), notice{ID: "m1", Status: undeliverable})
	release()
	awaitMetrics(t, next, "svc.requests.payment.failed=1", "svc.in_flight=0")
	want(t, "further calls", len(calls), 0)
}

// Guards against an adopted call that ends twice: at its message's deadline, and when its result arrives after that.
func TestLateResultOfAdoptedCallIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Relay{startedAt: time.Now(), inbox: make(chan func(), 1), quit: make(chan struct{}), messageRecords: messageRecords{pending: map[string]*message{}}}
		r.settings.Store(&activeSettings{})
		c := &call{host: &host{id: "s-1"}, startedAt: time.Now()}
		m := &message{Entry: &journal.Entry{ID: "m1"}, due: time.Second, call: c}
		r.pending["m1"] = m
		previous := &previousProcess{calls: map[string]*call{"m1": c}}
		r.endAtDeadline(previous, "m1", c)
		(<-r.inbox)()
		want(t, "time of its end", r.now(), time.Second+lateResultGrace)
		want(t, "outcome", r.events[0].(choice.Result).Outcome, choice.Timeout)
		r.endedByPrevious(previous, forwardedResult{ID: "m1", Outcome: choice.Served})
		want(t, "ends", len(r.events), 1)
		want(t, "it may have run", r.pendingRecords[0], journal.Record{Op: journal.OpOutcome, ID: "m1", Flag: true})
		want(t, "records", len(r.pendingRecords), 1)
	})
}

// Guards against an end that is late by the time that a message took on its way from the previous process.
func TestForwardedMessageTimeRunsInTransit(t *testing.T) {
	r := newSteppedRelay(t, newFakePlatform(t, leavingHost()), t.TempDir())
	in := newAPIRequest(t, r, context.Background(), "m1", "payment", time.Minute)
	r.acceptForwarded(nil, handoverUpdate{RequestID: 1, Entry: in.entry, TimeLeft: 2 * time.Minute}) // received a minute ago
	if timeLeft := r.pending["m1"].due - r.now(); timeLeft > time.Minute {
		t.Errorf("%v left, want a minute at most", timeLeft)
	}
}

// Guards against a second attempt while another relay's is still in flight. This relay had taken over the message and
// was waiting for that attempt to end when the next process took over.
func TestUpgradeWaitsForAttemptsOfOtherRelays(t *testing.T) {
	for name, upgraded := range map[string]bool{"restarted": false, "upgraded": true} {
		folder := folderWithRecords(t,
			journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: "m1", Class: "status-update", Dest: 7, Due: time.Now().Add(time.Minute).UnixMilli()}},
			journal.Record{Op: journal.OpTry, ID: "m1", At: time.Now().UnixMilli(), WaitMs: 30_000})
		(&Relay{config: Config{StateDir: folder}}).storeLease(discovery.Lease{Confirmed: time.Now(), Expires: time.Now().Add(time.Hour), Version: 1})
		r := newSteppedRelay(t, newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller")), folder)
		if upgraded {
			r.previousProcess = &previousProcess{calls: map[string]*call{}}
		}
		r.events = slices.DeleteFunc(r.events, func(e choice.Event) bool { _, is := e.(choice.Restored); return is })
		r.pending, r.pendingRecords = map[string]*message{}, nil
		r.restore()
		r.step()
		want(t, "messages pending", len(r.pending), 1)
		want(t, "calls in flight, "+name, r.callsInFlight, map[bool]int{false: 1, true: 0}[upgraded])
	}
}
