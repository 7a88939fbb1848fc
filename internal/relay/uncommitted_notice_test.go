package relay

import (
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
)

// queuedNotices returns the notices that are to be sent to the platform.
func (r *Relay) queuedNotices() []notice {
	r.notices.mu.Lock()
	defer r.notices.mu.Unlock()
	return append([]notice(nil), r.notices.queue...)
}

// recordAccepted records a message of a replication group whose time is up at due.
func recordAccepted(t *testing.T, r *Relay, id string, class choice.Class, due time.Time) *message {
	t.Helper()
	m := &message{Entry: &journal.Entry{ID: id, Class: "c", Group: 1, Due: due.UnixMilli(), Terms: &choice.Terms{Class: class}}}
	if err := r.commitRecords([]journal.Record{{Op: journal.OpAccepted, Entry: m.Entry}}, 0, nil); err != nil {
		t.Fatal(err)
	}
	r.pending[id] = m
	return m
}

// repeatClasses has classes by whether a client may submit a message of them again that may have run.
var repeatClasses = []struct {
	name   string
	class  choice.Class
	status string // of a notice that says deferred, but is sent before its record is committed
}{
	{"at most once", choice.Class{Effect: choice.Unsafe}, undeliverable},
	{"keyed in one zone", choice.Class{Effect: choice.Keyed, SameZone: true}, undeliverable},
	{"keyed", choice.Class{Effect: choice.Keyed}, deferred},
	{"idempotent", choice.Class{Effect: choice.Safe}, deferred},
}

// Guards against a relay that is cut off and has the client of a message submit it again, although a successor may have
// run the message: it would run twice.
func TestUncommittedNoticePromisesNoRepeat(t *testing.T) {
	for _, test := range repeatClasses {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newReplicatingRelay(t, fleet.ShortageRefuse)
			m := recordAccepted(t, r, "m1", test.class, time.Now().Add(100*time.Millisecond))
			r.endWithNotice(m, notice{ID: "m1", Status: deferred, RetryAfterMS: 500})
			r.flush()
			r.runLoopUntil(t, "a notice", func() bool { return len(r.queuedNotices()) > 0 })
			want(t, "status told", r.queuedNotices()[0].Status, test.status)
			want(t, "status that a restart tells", r.journal.Entry("m1").NoticeStatus, test.status)
		})
	}
}

// Guards against two ends of one message: a successor tells its client to submit it again, and the previous owner, which is
// cut off, that it is undeliverable.
func TestSuccessorAndPreviousOwnerTellOneEnd(t *testing.T) {
	for _, test := range repeatClasses {
		t.Run(test.name, func(t *testing.T) {
			r, stream := newReplicatingRelay(t, fleet.ShortageRefuse)
			r.config.Name = "successor"
			stream.group.Main = false
			recordAccepted(t, r, "m1", test.class, time.Now().Add(time.Hour))
			r.endUndelivered("m1", deferred, 500*time.Millisecond)
			want(t, "status told", r.unrecordedNotices[0].Status, test.status)
		})
	}
}

// Guards against a process that is upgraded or started again and at once sends the notices that the process before it had
// recorded, though replicas do not have the records: a successor could run the messages after that.
func TestRestoredNoticeWaitsForReplicas(t *testing.T) {
	r, _ := newReplicatingRelay(t, fleet.ShortageRefuse)
	due := time.Now().Add(300 * time.Millisecond)
	m := recordAccepted(t, r, "m1", choice.Class{Effect: choice.Unsafe}, due)
	if err := r.journal.Append(journal.Record{Op: journal.OpNotice, ID: "m1", Status: deferred, RetryAfterMs: 500}); err != nil {
		t.Fatal(err)
	}
	r.resumeNow(m.Entry, false)
	r.flush()
	r.checkCommits()
	want(t, "notices before they are committed or due", len(r.queuedNotices()), 0)
	r.runLoopUntil(t, "a notice", func() bool { return len(r.queuedNotices()) > 0 })
	if late := time.Since(due); late < 0 || late > 250*time.Millisecond {
		t.Errorf("it is sent %v after its message's deadline", late)
	}
	want(t, "status told", r.queuedNotices()[0].Status, undeliverable)
}

// Guards against a client that is told to submit a message again whose withdrawal is not committed, where only endpoints of
// one zone know the message's key: a successor may have run it in another zone.
func TestUncommittedWithdrawalPromisesNoRepeat(t *testing.T) {
	for _, test := range repeatClasses {
		status := 503
		if test.status == undeliverable {
			status = 500
		}
		e := &journal.Entry{Terms: &choice.Terms{Class: test.class}}
		want(t, "answer, "+test.name, withdrawnLocally(e).status, status)
	}
}
