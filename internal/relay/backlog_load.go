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

// Loading messages from the backlog on disk, by way of the journal, to the Chooser.

// minLoadDelay is the least time between two checks for messages that cannot be loaded yet. It is part of what
// latestEndLead allows for.
const minLoadDelay = 5 * time.Millisecond

// loadFromBacklog loads messages from disk: those whose deadline is close, which the Chooser ends, and the oldest
// ones of each destination that has capacity. One turn of the loop loads a bounded part.
func (r *Relay) loadFromBacklog() {
	o, now := r.overflow, r.now()
	if o == nil || r.stopped || r.nextProcess != nil {
		return
	}
	o.moreWork = false
	if r.draining.Load() { // messages on disk stay there
		return
	}
	defer r.scheduleLoad()
	if now < o.readRetryAt {
		return
	}
	if o.store == nil {
		if err := r.openBacklogFolder(); err != nil {
			r.pauseLoading("cannot open the backlog", err, defaultRetryAfter)
			return
		}
	}
	r.submitMoving()
	o.checkAll(now)
	budget := maxMovedMessages
	if r.mayLoadExpired() {
		stored, err := o.store.Due(steady.Now().Add(r.latestEndLead()).UnixMilli(), budget+len(o.moving))
		if err != nil {
			r.pauseLoading("cannot read the backlog", err, defaultRetryAfter)
			return
		}
		stored = slices.DeleteFunc(stored, func(h backlog.StoredMessage) bool {
			return slices.ContainsFunc(o.moving, func(m *movingMessage) bool { return m.entry.ID == h.ID })
		})
		budget -= len(stored)
		o.moreWork = budget <= 0
		if !r.moveToJournal(stored) {
			return
		}
	}
	if len(o.moving) > 0 { // removal from disk fails: load only what must end
		return
	}
	for n := 0; budget > 0 && n < maxCheckedDests && len(o.checkQueue) > 0; n++ {
		dest := o.nextCheck()
		capacity := o.capacity(dest, now, r.journal.NearlyFull())
		if capacity == 0 || o.store.LenOf(dest) == 0 {
			continue
		}
		stored, err := o.store.Next(dest, min(capacity, budget), maxMovedBytes)
		if err != nil {
			r.pauseLoading("cannot read the backlog", err, defaultRetryAfter)
			return
		}
		budget -= max(1, len(stored))
		if !r.moveToJournal(stored) {
			return
		}
		if len(stored) < capacity { // the rest is loaded at the destination's next check
			o.queueCheck(dest)
		}
	}
	o.moreWork = o.moreWork || len(o.checkQueue) > 0
	r.logBacklogDamage()
}

// mayLoadExpired reports whether expired messages may be loaded from disk. Their notices leave half of the limit on
// pending notices to newly accepted messages.
func (r *Relay) mayLoadExpired() bool {
	return r.pendingNotices < maxPendingNotices/2 && (!r.journal.NearlyFull() || r.pendingNotices < 4*maxMovedMessages)
}

// pauseLoading logs a problem and stops reading the directory for a while.
func (r *Relay) pauseLoading(problem string, err error, pause time.Duration) {
	r.overflow.readRetryAt, r.overflow.moreWork = r.now()+pause, false
	slog.Error(problem, "err", err, "remedy", remedy.Of(err))
}

// scheduleLoad schedules the next check, at the latest for the first deadline on disk.
func (r *Relay) scheduleLoad() {
	o := r.overflow
	if o.store != nil && o.store.Len() == 0 && len(o.moving) == 0 {
		return
	}
	delay := checkAllInterval
	if o.store != nil {
		if due, ok := o.store.NextDue(); ok {
			delay = min(delay, steady.Until(due)-r.latestEndLead())
		}
	}
	o.timer.Reset(max(delay, o.readRetryAt-r.now(), minLoadDelay))
}

// moveToJournal records messages from disk as accepted in the journal, then removes them from disk. It reports
// whether loading may go on.
func (r *Relay) moveToJournal(stored []backlog.StoredMessage) bool {
	o := r.overflow
	var records []journal.Record
	var moving []*movingMessage
	size := 0
	for i, message := range stored {
		if size += len(message.Data); i > 0 && size > maxMovedBytes {
			o.moreWork = true
			break
		}
		unpacked, err := entry.Unpack(message)
		if err != nil { // without terms it ends as undeliverable
			slog.Error("cannot decode a message on disk", "err", err, "remedy", remedy.Of(err))
			unpacked = &journal.Entry{ID: message.ID, Dest: message.Dest, Due: message.Due}
		}
		journaled := r.journal.Entry(message.ID) != nil // if so, the journal's record of it applies
		if !journaled {
			records = append(records, journal.Record{Op: journal.OpAccepted, Entry: unpacked})
		}
		moving = append(moving, &movingMessage{entry: unpacked, place: message.Sequence, submitted: journaled})
	}
	o.moving = append(o.moving, moving...)
	if err := r.journal.Append(records...); err != nil {
		o.moving = slices.DeleteFunc(o.moving, func(m *movingMessage) bool { return slices.Contains(moving, m) })
		if wait := defaultRetryAfter; errors.Is(err, journal.ErrFull) {
			o.readRetryAt, o.moreWork = r.now()+checkAllInterval/10, false
		} else {
			r.pauseLoading("cannot move messages from the backlog to the journal", err, wait)
		}
		return false
	}
	r.submitMoving()
	return true
}

// submitMoving removes messages from disk that are in the journal, and submits them to the Chooser. A message
// submitted before its removal could end in the journal and then be loaded from disk again, so it waits for the
// removal, but not beyond its deadline: an expired message ends without an attempt in either case.
func (r *Relay) submitMoving() {
	o := r.overflow
	places, failed, now := map[int][]uint64{}, map[int]bool{}, r.now()
	for _, m := range o.moving {
		if failed[m.entry.Dest] = now < o.removeRetryAt; m.place > 0 && now >= o.removeRetryAt {
			places[m.entry.Dest] = append(places[m.entry.Dest], m.place)
		}
	}
	for dest, destPlaces := range places {
		if err := o.store.Remove(dest, destPlaces...); err != nil {
			slog.Error("cannot remove messages from the backlog", "messages", len(destPlaces), "err", err, "remedy", remedy.Of(err))
			failed[dest], o.removeRetryAt = true, now+checkAllInterval
		}
	}
	expiryLimit := steady.Now().Add(r.latestEndLead()).UnixMilli()
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
