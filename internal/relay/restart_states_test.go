package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/journal"
)

// restartCase is a message in the state in which a process left it.
type restartCase struct {
	name    string
	records []journal.Record // after the record that accepts it
	status  map[string]string
}

func restartCases(at int64) []restartCase {
	try := journal.Record{Op: journal.OpTry, ID: "m1", At: at, WaitMs: 60_000}
	never := map[string]string{"status-update": deferred, "job-order": deferred, "payment": deferred}
	ran := map[string]string{"status-update": deferred, "job-order": undeliverable, "payment": undeliverable}
	return []restartCase{
		{"untried", nil, never},
		{"out", []journal.Record{try}, ran},
		{"refused", []journal.Record{try, {Op: journal.OpOutcome, ID: "m1"}}, never},
		{"unanswered", []journal.Record{try, {Op: journal.OpOutcome, ID: "m1", Flag: true}}, ran},
		{"its notice pending", []journal.Record{try, {Op: journal.OpNotice, ID: "m1", Status: "as recorded"}},
			map[string]string{"status-update": "as recorded", "job-order": "as recorded", "payment": "as recorded"}},
	}
}

// Guards against a message that a restart loses, ends twice or ends late: in whatever state it was, whether its
// deadline passes before, during or just after the start, and if the next restart comes before the first step or
// before its notice is sent.
func TestEachMessageEndsOnceAcrossRestarts(t *testing.T) {
	const margin = 10 * time.Millisecond // entries have whole milliseconds
	p := newFakePlatform(t, leavingHost())
	for timing, timeLeft := range map[string]time.Duration{"before the start": -time.Second, "during it": 2 * time.Second, "after it": 5 * time.Second} {
		for _, c := range restartCases(time.Now().Add(-time.Second).UnixMilli()) {
			for class, status := range c.status {
				for restarts := range 3 {
					t.Run(fmt.Sprintf("%s, %s, %s, %d further", c.name, timing, class, restarts), func(t *testing.T) {
						due := time.Now().Add(timeLeft)
						folder := folderWithRecords(t, append([]journal.Record{{Op: journal.OpAccepted, Entry: &journal.Entry{ID: "m1", Class: class, Dest: 7,
							Due: due.UnixMilli()}}}, c.records...)...)
						r := newSteppedRelay(t, p, folder)
						if restarts > 0 { // before the first step
							r = restartAfterKill(t, p, r, folder)
						}
						if restarts > 1 { // after the first step, with whatever notices are pending
							r.step()
							r = restartAfterKill(t, p, r, folder)
						}
						advanceClock(r, 3*time.Second) // the process gets no CPU time
						r.step()
						ended := len(queuedNotices(r)) == 1
						if time.Until(due) < 3*time.Second-margin && !ended {
							t.Fatal("it does not end in the first step after its deadline")
						}
						advanceClock(r, max(0, time.Until(due)-3*time.Second))
						r.wakeDue = true
						r.step()
						want(t, "notices", len(queuedNotices(r)), 1)
						want(t, "status", queuedNotices(r)[0].Status, status)
						want(t, "messages pending", len(r.pending), 0)
						want(t, "messages on record", r.journal.Len(), 1)
						r.record(journal.Record{Op: journal.OpEnd, ID: "m1"}) // the platform has accepted the notice
						r.step()
						r = restartAfterKill(t, p, r, folder)
						r.step()
						want(t, "messages on record at the end", r.journal.Len(), 0)
						want(t, "notices at the end", len(queuedNotices(r)), 0)
					})
				}
			}
		}
	}
}

// queuedNotices returns the notices that wait for the sender, which does not run.
func queuedNotices(r *Relay) []notice {
	r.notices.mu.Lock()
	defer r.notices.mu.Unlock()
	return slices.Clone(r.notices.queue)
}
