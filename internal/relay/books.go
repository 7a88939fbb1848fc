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
var errUnwritten = errors.New("journal: earlier records are not written yet")

// message is one that this relay owes its end.
type message struct {
	*journal.Entry
	due   time.Duration
	call  *call     // out now
	fresh []*intake // its client still waits for an answer; more than one if it sent it twice
	twice bool      // its client sent it on a second connection
	gone  bool      // it has become another relay's
	over  bool
	// cost is what it takes of the window, in bytes, while it does; served says that it ended by a delivery.
	cost   int
	served bool
}

func (m *message) answer(a answer) {
	for _, in := range m.fresh {
		in.reply <- a
	}
	m.fresh = nil
}

// books is what a relay has taken on and what it has on record of that.
type books struct {
	journal *journal.Journal
	held    map[string]*message
	past    recent
	records []journal.Record
	untold  []notice // go out once they are recorded
	owed    int      // notices
	notices *noticeSender
	flushes bool     // what could not be written is about to be tried again
	copies  *copying // nil in a relay that copies nothing
	// overflow is what the decisions have no room for; nil in a relay that keeps no backlog.
	overflow *overflow
}

// restore takes up what the journal holds. What is in an estate waits until that is known to be this relay's still.
func (r *Relay) restore() {
	wall := steady.UnixMilli()
	for e := range r.journal.All() {
		if r.copies == nil || e.Group == 0 || r.copies.streams[e.Group] != nil {
			// In an upgrade all calls of the process before are known: any other that is out is another relay's.
			r.takeUp(e, r.heritage != nil && r.heritage.callOf(e.ID) == nil)
		}
	}
	for id, s := range r.journal.Outages() {
		if r.heritage != nil { // the decisions remember more
			break
		}
		r.events = append(r.events, choice.Unwell{Host: id, Base: s.Base})
	}
	for id, h := range r.journal.DisabledHosts() {
		r.events = append(r.events, choice.ByHand{Host: id, Out: h.Flag, Ago: time.Duration(max(1, wall-h.At)) * time.Millisecond})
	}
	slog.Info("journal replayed", "held", len(r.held), "owed", r.owed)
}

// takeUpNow has a message go on where the process before left it. Last says that it may not be tried any more.
func (r *Relay) takeUpNow(e *journal.Entry, last bool) {
	wall := steady.UnixMilli()
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	id := e.ID
	if e.NoticeStatus != "" {
		r.owe(notice{ID: e.ID, Status: e.NoticeStatus, Again: e.RetryAfterMs})
		r.past.add(e.ID)
		return
	}
	if e.InFlight && r.heritage.callOf(id) == nil {
		// The process died before the outcome was recorded: it may have run.
		r.record(journal.Record{Op: journal.OpOutcome, ID: id, Flag: true})
	}
	class := r.set.Load().class(e.Class, 0)
	if class < 0 && e.Terms == nil { // taken on by a version that did not record them
		r.give(&message{Entry: e}, notice{ID: e.ID, Status: undeliverable})
		return
	}
	left := ms(e.Due - wall)
	left -= r.endMargin(lifetimeOf(e, left))
	m := &message{Entry: e, due: r.now() + left}
	r.held[id] = m
	r.overflow.enter(m)
	adopted := r.heritage.callOf(id)
	ev := choice.Restored{Arrival: choice.Arrival{ID: id, Class: class, Dest: e.Dest, Left: left,
		Key: e.OrderKey, Tenant: slices.Index(r.set.Load().TenantNames, e.Tenant), Terms: e.Terms},
		Attempts: e.Tries, Timeout: ms(e.TimeoutMs), Ran: e.MayHaveRun, RanAgo: ms(wall - e.MayHaveRunAt), RanZone: e.Zone}
	if adopted != nil {
		m.call = adopted
		ev.Out = &choice.Running{Host: adopted.host.id, Call: adopted.number, Ago: time.Since(adopted.began)}
	} else if e.InFlight && !e.MayHaveRun {
		ev.Ran, ev.RanAgo, ev.RanZone = true, ms(wall-e.LastTryAt), e.LastTryZone
	}
	if last {
		ev.Attempts = math.MaxInt32
	}
	r.events = append(r.events, ev)
}

func (r *Relay) record(rec journal.Record) { r.records = append(r.records, rec) }

// owe has a notice told once what it says is recorded.
func (r *Relay) owe(n notice) {
	r.owed++
	r.untold = append(r.untold, n)
}

// give ends a message undelivered.
func (r *Relay) give(m *message, n notice) {
	r.record(journal.Record{Op: journal.OpNotice, ID: m.ID, Status: n.Status, RetryAfterMs: n.Again})
	n.class, n.due = m.Class, r.now()+steady.Until(m.Due)
	r.owe(n)
	r.drop(m)
}

// release has a message be held no longer.
func (r *Relay) release(m *message) {
	m.over = true
	delete(r.held, m.ID)
	r.overflow.leave(m, r.now())
}

// drop forgets a message that has ended, but for its id.
func (r *Relay) drop(m *message) {
	r.release(m)
	r.past.add(m.ID)
}

// all has the ids, the oldest first.
func (s *recent) all() []string {
	return slices.DeleteFunc(slices.Concat(s.ring[min(s.next, len(s.ring)):], s.ring[:s.next]),
		func(id string) bool { return id == "" })
}

// recent is a bounded memory of ids.
type recent struct {
	ids  map[string]bool
	ring []string
	next int
}

func (s *recent) has(id string) bool { return s.ids[id] }

func (s *recent) add(id string) {
	if s.ids == nil {
		s.ids, s.ring = map[string]bool{}, make([]string, 4096)
	}
	delete(s.ids, s.ring[s.next])
	s.ring[s.next] = id
	s.ids[id] = true
	s.next = (s.next + 1) % len(s.ring)
}
