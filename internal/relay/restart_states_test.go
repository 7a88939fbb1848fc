package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/journal"
)

// restartCase is a message as a process left it.
type restartCase struct {
	name   string
	recs   []journal.Record // after the one that takes it on
	status map[string]string
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
		{"its notice owed", []journal.Record{try, {Op: journal.OpNotice, ID: "m1", Status: "as told"}},
			map[string]string{"status-update": "as told", "job-order": "as told", "payment": "as told"}},
	}
}

// Guards against a message that a restart loses, ends twice or ends late: whatever state it was in, whether its time was up
// before the start, during it or just after, and if the next restart comes before the first step, or before its notice is told.
func TestEachMessageEndsOnceAcrossRestarts(t *testing.T) {
	const margin = 10 * time.Millisecond // entries have whole milliseconds
	p := newPlatform(t, leavingHost())
	for when, left := range map[string]time.Duration{"before the start": -time.Second, "during it": 2 * time.Second, "after it": 5 * time.Second} {
		for _, c := range restartCases(time.Now().Add(-time.Second).UnixMilli()) {
			for class, status := range c.status {
				for restarts := range 3 {
					t.Run(fmt.Sprintf("%s, %s, %s, %d further", c.name, when, class, restarts), func(t *testing.T) {
						due := time.Now().Add(left)
						folder := folderWith(t, append([]journal.Record{{Op: journal.OpAccepted, Entry: &journal.Entry{ID: "m1", Class: class, Dest: 7,
							Due: due.UnixMilli()}}}, c.recs...)...)
						r := unserved(t, p, folder)
						if restarts > 0 { // before the first step
							r = reopened(t, p, r, folder)
						}
						if restarts > 1 { // after it, with whatever it owes
							r.step()
							r = reopened(t, p, r, folder)
						}
						later(r, 3*time.Second) // the process has no core
						r.step()
						ended := len(queuedNotices(r)) == 1
						if time.Until(due) < 3*time.Second-margin && !ended {
							t.Fatal("it has no end in the first step after its time")
						}
						later(r, max(0, time.Until(due)-3*time.Second))
						r.woken = true
						r.step()
						want(t, "notices", len(queuedNotices(r)), 1)
						want(t, "status", queuedNotices(r)[0].Status, status)
						want(t, "messages held", len(r.held), 0)
						want(t, "messages on record", r.journal.Len(), 1)
						r.record(journal.Record{Op: journal.OpEnd, ID: "m1"}) // the platform has taken it
						r.step()
						r = reopened(t, p, r, folder)
						r.step()
						want(t, "messages on record, at last", r.journal.Len(), 0)
						want(t, "notices, at last", len(queuedNotices(r)), 0)
					})
				}
			}
		}
	}
}

// queuedNotices are the notices that wait for the sender, which does not run.
func queuedNotices(r *Relay) []notice {
	r.notices.mu.Lock()
	defer r.notices.mu.Unlock()
	return slices.Clone(r.notices.queue)
}
