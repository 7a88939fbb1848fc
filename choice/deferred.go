package choice

import (
	"math"
	"slices"
	"time"
)

// A destination with messages waiting is either active, and checked in each Step, or deferred until
// a time or an event before which nothing can be sent to it. The paces of an active destination are
// updated in each Step. The floating-point results depend on the times of all these Steps, so
// catchUpPaces repeats the updates that a deferred destination missed, from the recorded times.

const (
	destIdle     = iota // nothing waits
	destActive          // checked in each Step
	destDeferred        // nothing can be sent before a time, or before something happens to it
)

// recheckAfter is the longest deferral of a destination whose pace still changes; the times of the
// Steps within it are recorded.
const recheckAfter = time.Second

// markChanged must be called before something happens to a destination that may allow a call to it,
// or change its paces.
func (c *Chooser) markChanged(d *dest) {
	if !d.changed {
		d.changed, c.changedDests = true, append(c.changedDests, d)
	}
	d.blockedUntil = 0
	if d.schedule != destDeferred {
		return
	}
	c.catchUpPaces(d)
	c.deferredDests.drop(d)
	if d.schedule = destIdle; d.waiting.count > 0 {
		d.schedule, c.activeDests = destActive, append(c.activeDests, d)
	}
}

// markAllChanged marks all destinations as changed.
func (c *Chooser) markAllChanged() {
	c.destOrder.each(func(d *dest) bool { c.markChanged(d); return true })
}

// deferDest defers a destination until a time, or until it is marked as changed.
func (c *Chooser) deferDest(d *dest, until time.Duration) {
	if slices.ContainsFunc(d.units, func(u *unit) bool { return !c.paceSteady(u) }) {
		until = min(until, c.now+recheckAfter)
	}
	d.schedule, d.deferredUntil, d.pacedStep = destDeferred, until, c.stepCount+1
	c.deferredDests.update(d)
}

// catchUpPaces applies the pace updates of the Steps that the destination was deferred in.
func (c *Chooser) catchUpPaces(d *dest) {
	firstStep := c.stepCount - len(c.stepTimes)
	for _, u := range d.units {
		for i := max(d.pacedStep, firstStep); i < c.stepCount; i++ {
			if c.paceSteady(u) {
				i = c.stepCount - 1 // no update would change it
			}
			if at := c.stepTimes[i-firstStep]; at >= d.pauseUntil {
				c.refillTokens(u, at)
			}
		}
	}
	d.pacedStep = c.stepCount
}

// unblockedMessages returns the waiting messages that may be able to go to the given hosts: those
// queued after the last check that found none, or all if that check no longer holds.
func (c *Chooser) unblockedMessages(d *dest, hosts []*host) []*message {
	if c.now >= d.blockedUntil || !slices.Equal(hosts, d.blockedHosts) {
		d.blockedUntil = 0
		return d.waiting.items
	}
	start := len(d.waiting.items)
	for start > 0 && (d.waiting.items[start-1] == nil || d.waiting.items[start-1].queueNumber > d.blockedThrough) {
		start--
	}
	return d.waiting.items[start:]
}

// recordBlocked records that none of the waiting messages may go to the given hosts now, and until
// when maySend and keyAllows give the same result. Events that change the result reset the record.
func (c *Chooser) recordBlocked(d *dest, hosts []*host) {
	if d.waiting.count == 0 {
		return
	}
	candidates, until := c.unblockedMessages(d, hosts), time.Duration(math.MaxInt64)
	if d.blockedUntil > 0 {
		until = d.blockedUntil
	}
	for _, m := range candidates {
		if m == nil {
			continue
		}
		if last := m.deadline - m.class.Deadline/4; m.class.Effect == Unsafe && last >= c.now {
			until = min(until, last+1)
		}
		if queue := c.keyQueues[m.Key]; queue != nil && m.class.Ordered && queue.messages.first == m &&
			queue.pauseUntil > c.now {
			until = min(until, queue.pauseUntil)
		}
	}
	d.blockedUntil, d.blockedThrough, d.blockedHosts = until, c.queueCount, append(d.blockedHosts[:0], hosts...)
}

// activateDue makes destinations active whose deferral is over.
func (c *Chooser) activateDue() {
	for len(c.deferredDests.items) > 0 && c.deferredDests.items[0].deferredUntil <= c.now {
		d := c.deferredDests.items[0]
		c.catchUpPaces(d)
		c.deferredDests.drop(d)
		d.schedule, c.activeDests = destActive, append(c.activeDests, d)
	}
}

// earliestCall returns a time before which canCall is false for a unit if nothing happens to it; a
// time not after now if none is known. It is a lower bound only.
func (c *Chooser) earliestCall(u *unit) time.Duration {
	earliest := max(u.retryAfter, u.pauseUntil)
	if u.state == Suspect && len(u.calls) > 1 {
		return math.MaxInt64
	} else if u.state == Suspect {
		earliest = max(earliest, u.trialAt)
	}
	// A pace grows by less than a fifth in a second.
	if missing := 1 - u.tokens; earliest <= c.now && u.pace > 0 && missing > 0 {
		earliest = c.now + time.Duration(min(1, missing/u.pace/1.2)*float64(time.Second))
	}
	return earliest
}

// paceSteady reports whether refillTokens would change nothing, however often and at whatever times
// it is called.
func (c *Chooser) paceSteady(u *unit) bool {
	if u.pace == 0 {
		return u.tokens <= 1
	}
	return u.knownRate > 0 && u.pace == c.maxPace(u) && u.tokens == max(1, u.pace*c.minAim.Seconds()/8)
}

// scanActive goes through the active destinations. The given function updates their paces, and
// returns until when nothing can be sent to one; if that is after now, the destination is deferred.
func (c *Chooser) scanActive(until func(*dest) time.Duration) {
	c.activateDue()
	c.activeDests = slices.DeleteFunc(c.activeDests, func(d *dest) bool {
		if d.waiting.count == 0 {
			d.schedule = destIdle
			return true
		}
		at := until(d)
		if at > c.now {
			c.deferDest(d, at)
		}
		return at > c.now
	})
}

// nameOutdated reports whether the endpoint a unit is named after no longer belongs to it.
func (c *Chooser) nameOutdated(u *unit) bool {
	h := c.hosts[u.name]
	return h == nil || h.unit != u
}
