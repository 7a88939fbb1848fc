package relay

import (
	"log/slog"
	"slices"
	"time"

	"larchrouter/internal/backlog"
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
		if _, ok := r.moveToJournal(stored, unpackExpired); !ok {
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
		stored, err := o.store.Next(dest, min(capacity, budget), o.capacityBytes(dest, now))
		if err != nil {
			r.pauseLoading("cannot read the backlog", err, defaultRetryAfter)
			return
		}
		budget -= max(1, len(stored))
		moved, ok := r.moveToJournal(stored, unpackStored)
		if moved < capacity { // the rest is loaded at the destination's next check
			o.queueCheck(dest)
		}
		if !ok {
			return
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
