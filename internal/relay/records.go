package relay

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/steady"
)

// The messages that the relay is responsible for, and their records in the journal.

// errRecordsPending is the error for a record that cannot be written because earlier ones still wait to be written.
var errRecordsPending = errors.New("journal: earlier records are not written yet")

// message is an accepted message, or one about to be, whose end this relay must report.
type message struct {
	*journal.Entry
	due         time.Duration // when its time is up, on the relay's clock
	call        *call         // in flight; nil for none
	unanswered  []*apiRequest // requests of its client that still wait for an answer; more than one if the client sent it again
	resent      bool          // its client sent it on a second connection
	transferred bool          // another relay has become responsible for it
	ended       bool          // this process makes no more decisions about it
	// cost is the part of the backlog window that it uses, in bytes; 0 while it uses none. served is set if it ended
	// by a delivery.
	cost   int
	served bool
}

// answer answers all requests of the message's client that still wait.
func (m *message) answer(a apiResponse) {
	for _, apiReq := range m.unanswered {
		apiReq.reply <- a
	}
	m.unanswered = nil
}

// messageRecords is the messages that a relay has accepted and what it has recorded of them.
type messageRecords struct {
	journal           *journal.Journal
	pending           map[string]*message
	endedIDs          recentIDs        // IDs of messages that ended recently
	pendingRecords    []journal.Record // to be written by the next flush
	unrecordedNotices []notice         // sent once they are recorded
	pendingNotices    int              // number of notices that the platform has not accepted yet
	notices           *noticeSender
	flushScheduled    bool              // an attempt to write pendingRecords is scheduled
	replication       *replicationState // nil in a relay that replicates nothing
	// overflow has the messages beyond the Chooser's window; nil in a relay without a backlog.
	overflow *overflow
}

// restore resumes the messages in the journal. Those of a replication group wait until it is known that this relay
// still owns the group.
func (r *Relay) restore() {
	wallTime := steady.UnixMilli()
	for entry := range r.journal.All() {
		if r.replication == nil || entry.Group == 0 || r.replication.streams[entry.Group] != nil {
			// After an upgrade all calls of the previous process are known, so any other call in flight is another
			// relay's.
			r.resume(entry, r.previousProcess != nil && r.previousProcess.callOf(entry.ID) == nil)
		}
	}
	for id, health := range r.journal.Outages() {
		if r.previousProcess != nil { // the Chooser's snapshot, which was handed over, includes the outages
			break
		}
		r.events = append(r.events, choice.KnownOutage{Host: id, BaseRate: health.Base})
	}
	for id, disabled := range r.journal.DisabledHosts() {
		r.events = append(r.events, choice.ManualChange{Host: id, Disabled: disabled.Flag, Ago: time.Duration(max(1, wallTime-disabled.At)) * time.Millisecond})
	}
	slog.Info("journal replayed", "held", len(r.pending), "owed", r.pendingNotices)
}

// resumeNow continues with a message where the previous process left it. With noMoreAttempts, no further attempt is
// made.
func (r *Relay) resumeNow(entry *journal.Entry, noMoreAttempts bool) {
	wallTime := steady.UnixMilli()
	milliseconds := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	id := entry.ID
	if entry.NoticeStatus != "" {
		r.resumeNotice(entry)
		return
	}
	if entry.InFlight && r.previousProcess.callOf(id) == nil {
		// The process died before the outcome was recorded: the message may have run.
		r.record(journal.Record{Op: journal.OpOutcome, ID: id, Flag: true})
	}
	class := r.settings.Load().classIndex(entry.Class)
	if class < 0 && entry.Terms == nil { // accepted by a version that did not record the terms
		r.endWithNotice(&message{Entry: entry}, notice{ID: entry.ID, Status: undeliverable})
		return
	}
	timeLeft := milliseconds(entry.Due - wallTime)
	timeLeft -= r.endMargin(lifetimeOf(entry, timeLeft))
	m := &message{Entry: entry, due: r.now() + timeLeft}
	r.pending[id] = m
	r.overflow.enter(m)
	runningCall := r.previousProcess.callOf(id)
	restored := choice.Restored{Arrival: choice.Arrival{ID: id, Class: class, Dest: entry.Dest, Left: timeLeft,
		Key: entry.OrderKey, Tenant: slices.Index(r.settings.Load().TenantNames, entry.Tenant), Terms: entry.Terms},
		Attempts: entry.Tries, Timeout: milliseconds(entry.TimeoutMs), MayHaveRun: entry.MayHaveRun, FirstRunAgo: milliseconds(wallTime - entry.MayHaveRunAt), FirstRunZone: entry.Zone}
	if runningCall != nil {
		m.call = runningCall
		restored.InFlight = &choice.InFlightCall{Host: runningCall.host.id, Call: runningCall.number, SentAgo: time.Since(runningCall.startedAt)}
	} else if entry.InFlight && !entry.MayHaveRun {
		restored.MayHaveRun, restored.FirstRunAgo, restored.FirstRunZone = true, milliseconds(wallTime-entry.LastTryAt), entry.LastTryZone
	}
	if noMoreAttempts {
		restored.Attempts = journal.NoMoreTries
	}
	r.events = append(r.events, restored)
}

// resumeNotice sends a notice on record again. That of a replication group is recorded anew and waits for that, because
// the process that recorded it may have ended before it was committed.
func (r *Relay) resumeNotice(entry *journal.Entry) {
	n := notice{ID: entry.ID, Status: entry.NoticeStatus, RetryAfterMS: entry.RetryAfterMs}
	if r.replication != nil && entry.Group != 0 {
		n.due = r.now() + steady.Until(entry.Due)
		r.record(journal.Record{Op: journal.OpNotice, ID: n.ID, Status: n.Status, RetryAfterMs: n.RetryAfterMS})
	}
	r.queueNotice(n)
	r.endedIDs.add(entry.ID)
}

// record queues a record to be written by the next flush.
func (r *Relay) record(record journal.Record) { r.pendingRecords = append(r.pendingRecords, record) }

// queueNotice has a notice sent once its record is written.
func (r *Relay) queueNotice(n notice) {
	r.pendingNotices++
	r.unrecordedNotices = append(r.unrecordedNotices, n)
}

// endWithNotice ends a message undelivered and reports that to the platform.
func (r *Relay) endWithNotice(m *message, n notice) {
	r.record(journal.Record{Op: journal.OpNotice, ID: m.ID, Status: n.Status, RetryAfterMs: n.RetryAfterMS})
	n.class, n.due = m.Class, r.now()+steady.Until(m.Due)
	r.queueNotice(n)
	r.forget(m)
}

// release removes a message from the pending ones.
func (r *Relay) release(m *message) {
	m.ended = true
	delete(r.pending, m.ID)
	r.overflow.leave(m, r.now())
}

// forget removes a message that has ended, and remembers only its ID.
func (r *Relay) forget(m *message) {
	r.release(m)
	r.endedIDs.add(m.ID)
}
