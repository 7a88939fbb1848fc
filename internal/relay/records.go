package relay

import (
	"errors"
	"log/slog"
	"math"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/steady"
)

// What the relay holds for others, and its record of that.

// errUnwritten says that earlier records still wait to be written.
var errRecordsPending = errors.New("journal: earlier records are not written yet")

// message is one that this relay owes its end.
type message struct {
	*journal.Entry
	due         time.Duration
	call        *call     // out now
	unanswered  []*intake // its client still waits for an answer; more than one if it sent it twice
	resent      bool      // its client sent it on a second connection
	transferred bool      // it has become another relay's
	ended       bool
	// cost is what it takes of the window, in bytes, while it does; served says that it ended by a delivery.
	cost   int
	served bool
}

func (m *message) answer(a answer) {
	for _, in := range m.unanswered {
		in.reply <- a
	}
	m.unanswered = nil
}

// books is what a relay has taken on and what it has on record of that.
type messageRecords struct {
	journal           *journal.Journal
	pending           map[string]*message
	endedIDs          recentIDs
	pendingRecords    []journal.Record
	unrecordedNotices []notice // go out once they are recorded
	pendingNotices    int      // notices
	notices           *noticeSender
	flushScheduled    bool         // what could not be written is about to be tried again
	replication       *replication // nil in a relay that copies nothing
	// overflow is what the decisions have no room for; nil in a relay that keeps no backlog.
	overflow *overflow
}

// restore takes up what the journal holds. What is in an estate waits until that is known to be this relay's still.
func (r *Relay) restore() {
	wallTime := steady.UnixMilli()
	for e := range r.journal.All() {
		if r.replication == nil || e.Estate == 0 || r.replication.streams[e.Estate] != nil {
			// In an upgrade all calls of the process before are known: any other that is out is another relay's.
			r.resume(e, r.previousProcess != nil && r.previousProcess.callOf(e.ID) == nil)
		}
	}
	for id, s := range r.journal.Unwell() {
		if r.previousProcess != nil { // the decisions remember more
			break
		}
		r.events = append(r.events, choice.Unwell{Host: id, Base: s.Base})
	}
	for id, h := range r.journal.ByHand() {
		r.events = append(r.events, choice.ByHand{Host: id, Out: h.Ran, Ago: time.Duration(max(1, wallTime-h.At)) * time.Millisecond})
	}
	slog.Info("journal replayed", "held", len(r.pending), "owed", r.pendingNotices)
}

// takeUpNow has a message go on where the process before left it. Last says that it may not be tried any more.
func (r *Relay) resumeNow(entry *journal.Entry, lastAttemptMade bool) {
	wallTime := steady.UnixMilli()
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	id := entry.ID
	if entry.Status != "" {
		r.queueNotice(notice{ID: entry.ID, Status: entry.Status, Again: entry.Again})
		r.endedIDs.add(entry.ID)
		return
	}
	if entry.Out && r.previousProcess.callOf(id) == nil {
		// The process died before the outcome was recorded: it may have run.
		r.record(journal.Record{Op: journal.OpOutcome, ID: id, Ran: true})
	}
	class := r.set.Load().class(entry.Class, 0)
	if class < 0 && entry.Terms == nil { // taken on by a version that did not record them
		r.endWithNotice(&message{Entry: entry}, notice{ID: entry.ID, Status: undeliverable})
		return
	}
	timeLeft := ms(entry.Due - wallTime)
	timeLeft -= r.endMargin(lifetimeOf(entry, timeLeft))
	m := &message{Entry: entry, due: r.now() + timeLeft}
	r.pending[id] = m
	r.overflow.enter(m)
	runningCall := r.previousProcess.callOf(id)
	restored := choice.Restored{Arrival: choice.Arrival{ID: id, Class: class, Dest: entry.Dest, Left: timeLeft,
		Key: entry.Order, Tenant: slices.Index(r.set.Load().TenantNames, entry.Tenant), Terms: entry.Terms},
		Attempts: entry.Tries, Timeout: ms(entry.Wait), Ran: entry.Ran, RanAgo: ms(wallTime - entry.RanAt), RanZone: entry.Zone}
	if runningCall != nil {
		m.call = runningCall
		restored.Out = &choice.Running{Host: runningCall.host.id, Call: runningCall.number, Ago: time.Since(runningCall.began)}
	} else if entry.Out && !entry.Ran {
		restored.Ran, restored.RanAgo, restored.RanZone = true, ms(wallTime-entry.OutAt), entry.OutTo
	}
	if lastAttemptMade {
		restored.Attempts = math.MaxInt32
	}
	r.events = append(r.events, restored)
}

func (r *Relay) record(rec journal.Record) { r.pendingRecords = append(r.pendingRecords, rec) }

// owe has a notice told once what it says is recorded.
func (r *Relay) queueNotice(n notice) {
	r.pendingNotices++
	r.unrecordedNotices = append(r.unrecordedNotices, n)
}

// give ends a message undelivered.
func (r *Relay) endWithNotice(m *message, n notice) {
	r.record(journal.Record{Op: journal.OpNotice, ID: m.ID, Status: n.Status, Again: n.Again})
	n.class, n.due = m.Class, r.now()+steady.Until(m.Due)
	r.queueNotice(n)
	r.forget(m)
}

// release has a message be held no longer.
func (r *Relay) release(m *message) {
	m.ended = true
	delete(r.pending, m.ID)
	r.overflow.leave(m, r.now())
}

// drop forgets a message that has ended, but for its id.
func (r *Relay) forget(m *message) {
	r.release(m)
	r.endedIDs.add(m.ID)
}

// all has the ids, the oldest first.
func (s *recentIDs) all() []string {
	return slices.DeleteFunc(slices.Concat(s.ring[min(s.next, len(s.ring)):], s.ring[:s.next]),
		func(id string) bool { return id == "" })
}

// recent is a bounded memory of ids.
type recentIDs struct {
	ids  map[string]bool
	ring []string
	next int
}

func (s *recentIDs) has(id string) bool { return s.ids[id] }

func (s *recentIDs) add(id string) {
	if s.ids == nil {
		s.ids, s.ring = map[string]bool{}, make([]string, 4096)
	}
	delete(s.ids, s.ring[s.next])
	s.ring[s.next] = id
	s.ids[id] = true
	s.next = (s.next + 1) % len(s.ring)
}
