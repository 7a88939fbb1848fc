package choice

import (
	"math"
	"slices"
	"time"
)

// A destination with messages waiting is active, and looked at in each Step, or parked until a time or an event before
// which nothing can be sent to it. Its paces are brought up to date in each Step that finds messages waiting, in steps of
// floating point that depend on the times of all of these; parked, they are caught up with by the times on record.

const (
	destIdle     = iota // nothing waits
	destActive          // looked at in each turn
	destDeferred        // nothing can be sent before its time, or before something happens to it
)

// lookAgain is after how long a parked destination whose pace still moves is looked at: the times of so many Steps are kept.
const recheckAfter = time.Second

// touch is called before something happens to a destination that may have it sent to, or change its paces.
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

func (c *Chooser) markAllChanged() {
	c.destOrder.each(func(d *dest) bool { c.markChanged(d); return true })
}

// park leaves a destination alone until a time, or until it is touched.
func (c *Chooser) deferDest(d *dest, until time.Duration) {
	if slices.ContainsFunc(d.units, func(u *unit) bool { return !c.paceSteady(u) }) {
		until = min(until, c.now+recheckAfter)
	}
	d.schedule, d.deferredUntil, d.pacedStep = destDeferred, until, c.stepCount+1
	c.deferredDests.update(d)
}

// catchUp brings paces to where the turns that went by would have left them.
func (c *Chooser) catchUpPaces(d *dest) {
	first := c.stepCount - len(c.stepTimes)
	for _, u := range d.units {
		for i := max(d.pacedStep, first); i < c.stepCount; i++ {
			if c.paceSteady(u) {
				i = c.stepCount - 1 // it stands still through all of them
			}
			if at := c.stepTimes[i-first]; at >= d.pauseUntil {
				c.refillTokens(u, at)
			}
		}
	}
	d.pacedStep = c.stepCount
}

// unblocked are the last of those that wait, which may go to some endpoints for all that is known of earlier looks.
func (c *Chooser) unblockedMessages(d *dest, open []*host) []*message {
	if c.now >= d.blockedUntil || !slices.Equal(open, d.blockedHosts) {
		d.blockedUntil = 0
		return d.waiting.items
	}
	start := len(d.waiting.items)
	for start > 0 && (d.waiting.items[start-1] == nil || d.waiting.items[start-1].queueNumber > d.blockedThrough) {
		start--
	}
	return d.waiting.items[start:]
}

// block notes that none of those that wait may go to some endpoints now, and until when that holds for what fits and
// hasTurn go by. What changes with events is noted by those.
func (c *Chooser) noteBlocked(d *dest, open []*host) {
	if d.waiting.count == 0 {
		return
	}
	candidates, until := c.unblockedMessages(d, open), time.Duration(math.MaxInt64)
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
		if l := c.keyQueues[m.Key]; l != nil && m.class.Ordered && l.messages.first == m && l.pauseUntil > c.now {
			until = min(until, l.pauseUntil)
		}
	}
	d.blockedUntil, d.blockedThrough, d.blockedHosts = until, c.queueCount, append(d.blockedHosts[:0], open...)
}

// wakeUp makes those active whose time has come.
func (c *Chooser) activateDue() {
	for len(c.deferredDests.items) > 0 && c.deferredDests.items[0].deferredUntil <= c.now {
		d := c.deferredDests.items[0]
		c.catchUpPaces(d)
		c.deferredDests.drop(d)
		d.schedule, c.activeDests = destActive, append(c.activeDests, d)
	}
}

// from is a time before which a unit has no room if nothing happens to it; no later than now where that is not known.
// It only bounds what room decides.
func (c *Chooser) earliestCall(u *unit) time.Duration {
	earliest := max(u.retryAfter, u.pauseUntil)
	if u.state == suspect && len(u.calls) > 1 {
		return math.MaxInt64
	} else if u.state == suspect {
		earliest = max(earliest, u.trialAt)
	}
	if missing := 1 - u.tokens; earliest <= c.now && u.pace > 0 && missing > 0 { // a pace grows by less than a fifth in a second
		earliest = c.now + time.Duration(min(1, missing/u.pace/1.2)*float64(time.Second))
	}
	return earliest
}

// still tells whether refill would change nothing, however often and whenever it came.
func (c *Chooser) paceSteady(u *unit) bool {
	if u.pace == 0 {
		return u.tokens <= 1
	}
	return u.knownRate > 0 && u.pace == c.maxPace(u) && u.tokens == max(1, u.pace*c.minAim.Seconds()/8)
}

// look goes through those that are active. A test brings their paces up to date, and tells until when nothing can be
// sent to one, if that is after now.
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

// misnamed tells whether the name of a unit is no longer that of an endpoint of its own.
func (c *Chooser) nameOutdated(u *unit) bool {
	h := c.hosts[u.name]
	return h == nil || h.unit != u
}
