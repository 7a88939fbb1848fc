package relay

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"larchrouter/internal/backlog"
	"larchrouter/internal/backlog/entry"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// From the disk to the decisions.

// leastWait bounds how often the loop looks at what it cannot bring in yet. lastLook has room for it.
const minLoadDelay = 5 * time.Millisecond

// bring has messages come in from disk: those whose time is all but up, which the decisions end, and the oldest of each
// destination that has room. One turn does a bounded part of it.
func (r *Relay) loadFromBacklog() {
	o, now := r.overflow, r.now()
	if o == nil || r.stopped || r.nextProcess != nil {
		return
	}
	o.moreWork = false
	if r.draining.Load() { // what lies on disk stays there
		return
	}
	defer r.scheduleLoad()
	if now < o.readRetryAt {
		return
	}
	if o.store == nil {
		if err := r.openBacklogFolder(); err != nil {
			r.pauseLoading("backlog not opened", err, comeBack)
			return
		}
	}
	r.submitMoving()
	o.checkAll(now)
	budget := maxMovedMessages
	if r.mayLoadExpired() {
		stored, err := o.store.Due(steady.Now().Add(r.lastLook()).UnixMilli(), budget+len(o.moving))
		if err != nil {
			r.pauseLoading("backlog not read", err, comeBack)
			return
		}
		stored = slices.DeleteFunc(stored, func(h backlog.Held) bool {
			return slices.ContainsFunc(o.moving, func(m *movingMessage) bool { return m.entry.ID == h.ID })
		})
		budget -= len(stored)
		o.moreWork = budget <= 0
		if !r.moveToJournal(stored) {
			return
		}
	}
	if len(o.moving) > 0 { // nothing goes off the disk: only what must end comes in
		return
	}
	for n := 0; budget > 0 && n < maxCheckedDests && len(o.checkQueue) > 0; n++ {
		dest := o.nextCheck()
		capacity := o.capacity(dest, now, r.journal.Crowded())
		if capacity == 0 || o.store.LenOf(dest) == 0 {
			continue
		}
		stored, err := o.store.Next(dest, min(capacity, budget), maxMovedBytes)
		if err != nil {
			r.pauseLoading("backlog not read", err, comeBack)
			return
		}
		budget -= max(1, len(stored))
		if !r.moveToJournal(stored) {
			return
		}
		if len(stored) < capacity { // what is left of it comes when it is its turn again
			o.queueCheck(dest)
		}
	}
	o.moreWork = o.moreWork || len(o.checkQueue) > 0
	r.logBacklogDamage()
}

// mayEnd tells whether messages on disk whose time is up may come in: taking on never waits for their notices.
func (r *Relay) mayLoadExpired() bool {
	return r.pendingNotices < maxOwed/2 && (!r.journal.Crowded() || r.pendingNotices < 4*maxMovedMessages)
}

// cannotRead has the folder be left alone for a while.
func (r *Relay) pauseLoading(what string, err error, pause time.Duration) {
	r.overflow.readRetryAt, r.overflow.moreWork = r.now()+pause, false
	slog.Error(what, "err", err, "remedy", remedy.Of(err))
}

// lookAgain has the loop look again in a while, and as the first message's time is up.
func (r *Relay) scheduleLoad() {
	o := r.overflow
	if o.store != nil && o.store.Len() == 0 && len(o.moving) == 0 {
		return
	}
	delay := checkAllInterval
	if o.store != nil {
		if due, ok := o.store.NextDue(); ok {
			delay = min(delay, steady.Until(due)-r.lastLook())
		}
	}
	o.timer.Reset(max(delay, o.readRetryAt-r.now(), minLoadDelay))
}

// move records messages as taken on from disk, then has them off it.
func (r *Relay) moveToJournal(stored []backlog.Held) bool {
	o := r.overflow
	var records []journal.Record
	var moving []*movingMessage
	size := 0
	for i, h := range stored {
		if size += len(h.Data); i > 0 && size > maxMovedBytes {
			o.moreWork = true
			break
		}
		e, err := entry.Unpack(h)
		if err != nil { // without terms it ends as undeliverable
			slog.Error("message on disk cannot be read", "err", err, "remedy", remedy.Of(err))
			e = &journal.Entry{ID: h.ID, Dest: h.Dest, Due: h.Due}
		}
		journaled := r.journal.Entry(h.ID) != nil // then the journal has the last word
		if !journaled {
			records = append(records, journal.Record{Op: journal.OpTaken, Entry: e})
		}
		moving = append(moving, &movingMessage{entry: e, place: h.Place, submitted: journaled})
	}
	o.moving = append(o.moving, moving...)
	if err := r.journal.Append(records...); err != nil {
		o.moving = slices.DeleteFunc(o.moving, func(m *movingMessage) bool { return slices.Contains(moving, m) })
		if wait := comeBack; errors.Is(err, journal.ErrFull) {
			o.readRetryAt, o.moreWork = r.now()+checkAllInterval/10, false
		} else {
			r.pauseLoading("messages not brought in", err, wait)
		}
		return false
	}
	r.submitMoving()
	return true
}

// handIn gives the decisions what the journal has and the disk has no more. One that the decisions had before could end in the
// journal and come back from disk, so they wait; but not past their time: then they end as untried ones either way.
func (r *Relay) submitMoving() {
	o := r.overflow
	places, failed, now := map[int][]uint64{}, map[int]bool{}, r.now()
	for _, m := range o.moving {
		if failed[m.entry.Dest] = now < o.removeRetryAt; m.place > 0 && now >= o.removeRetryAt {
			places[m.entry.Dest] = append(places[m.entry.Dest], m.place)
		}
	}
	for dest, destPlaces := range places {
		if err := o.store.Out(dest, destPlaces...); err != nil {
			slog.Error("messages not taken off the disk", "messages", len(destPlaces), "err", err, "remedy", remedy.Of(err))
			failed[dest], o.removeRetryAt = true, now+checkAllInterval
		}
	}
	expiryLimit := steady.Now().Add(r.lastLook()).UnixMilli()
	remaining := o.moving[:0]
	for _, m := range o.moving {
		removed := m.place == 0 || !failed[m.entry.Dest]
		if !m.submitted && (removed || m.entry.Due <= expiryLimit) {
			r.resumeNow(m.entry, false)
			m.submitted = true
		}
		if !removed {
			remaining = append(remaining, m)
		}
	}
	clear(o.moving[len(remaining):])
	o.moving = remaining
}
