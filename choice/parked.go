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
	idle   = iota // nothing waits
	active        // looked at in each turn
	parked        // nothing can be sent before its time, or before something happens to it
)

// lookAgain is after how long a parked destination whose pace still moves is looked at: the times of so many Steps are kept.
const lookAgain = time.Second

// touch is called before something happens to a destination that may have it sent to, or change its paces.
func (c *Chooser) touch(d *dest) {
	if !d.touched {
		d.touched, c.touched = true, append(c.touched, d)
	}
	d.blocked = 0
	if d.look != parked {
		return
	}
	c.catchUp(d)
	c.parked.drop(d)
	if d.look = idle; d.waiting.n > 0 {
		d.look, c.active = active, append(c.active, d)
	}
}

func (c *Chooser) touchAll() { c.order.each(func(d *dest) bool { c.touch(d); return true }) }

// park leaves a destination alone until a time, or until it is touched.
func (c *Chooser) park(d *dest, until time.Duration) {
	if slices.ContainsFunc(d.units, func(u *unit) bool { return !c.still(u) }) {
		until = min(until, c.now+lookAgain)
	}
	d.look, d.until, d.seen = parked, until, c.turns+1
	c.parked.put(d)
}

// catchUp brings paces to where the turns that went by would have left them.
func (c *Chooser) catchUp(d *dest) {
	first := c.turns - len(c.times)
	for _, u := range d.units {
		for i := max(d.seen, first); i < c.turns; i++ {
			if c.still(u) {
				i = c.turns - 1 // it stands still through all of them
			}
			if at := c.times[i-first]; at >= d.pauseUntil {
				c.refill(u, at)
			}
		}
	}
	d.seen = c.turns
}

// unblocked are the last of those that wait, which may go to some endpoints for all that is known of earlier looks.
func (c *Chooser) unblocked(d *dest, open []*host) []*message {
	if c.now >= d.blocked || !slices.Equal(open, d.blockedAt) {
		d.blocked = 0
		return d.waiting.all
	}
	from := len(d.waiting.all)
	for from > 0 && (d.waiting.all[from-1] == nil || d.waiting.all[from-1].queued > d.blockedTo) {
		from--
	}
	return d.waiting.all[from:]
}

// block notes that none of those that wait may go to some endpoints now, and until when that holds for what fits and
// hasTurn go by. What changes with events is noted by those.
func (c *Chooser) block(d *dest, open []*host) {
	if d.waiting.n == 0 {
		return
	}
	look, until := c.unblocked(d, open), time.Duration(math.MaxInt64)
	if d.blocked > 0 {
		until = d.blocked
	}
	for _, m := range look {
		if m == nil {
			continue
		}
		if last := m.due - m.class.Deadline/4; m.class.Effect == Unsafe && last >= c.now {
			until = min(until, last+1)
		}
		if l := c.lines[m.Key]; l != nil && m.class.Ordered && l.queue.first == m && l.rest > c.now {
			until = min(until, l.rest)
		}
	}
	d.blocked, d.blockedTo, d.blockedAt = until, c.queued, append(d.blockedAt[:0], open...)
}

// wakeUp makes those active whose time has come.
func (c *Chooser) wakeUp() {
	for len(c.parked.all) > 0 && c.parked.all[0].until <= c.now {
		d := c.parked.all[0]
		c.catchUp(d)
		c.parked.drop(d)
		d.look, c.active = active, append(c.active, d)
	}
}

// from is a time before which a unit has no room if nothing happens to it; no later than now where that is not known.
// It only bounds what room decides.
func (c *Chooser) from(u *unit) time.Duration {
	at := max(u.waitUntil, u.pauseUntil)
	if u.state == suspect && len(u.outs) > 1 {
		return math.MaxInt64
	} else if u.state == suspect {
		at = max(at, u.trialAt)
	}
	if short := 1 - u.tokens; at <= c.now && u.limit > 0 && short > 0 { // a pace grows by less than a fifth in a second
		at = c.now + time.Duration(min(1, short/u.limit/1.2)*float64(time.Second))
	}
	return at
}

// still tells whether refill would change nothing, however often and whenever it came.
func (c *Chooser) still(u *unit) bool {
	if u.limit == 0 {
		return u.tokens <= 1
	}
	return u.listed > 0 && u.limit == c.most(u) && u.tokens == max(1, u.limit*c.minAim.Seconds()/8)
}

// look goes through those that are active. A test brings their paces up to date, and tells until when nothing can be
// sent to one, if that is after now.
func (c *Chooser) look(until func(*dest) time.Duration) {
	c.wakeUp()
	c.active = slices.DeleteFunc(c.active, func(d *dest) bool {
		if d.waiting.n == 0 {
			d.look = idle
			return true
		}
		at := until(d)
		if at > c.now {
			c.park(d, at)
		}
		return at > c.now
	})
}

// misnamed tells whether the name of a unit is no longer that of an endpoint of its own.
func (c *Chooser) misnamed(u *unit) bool {
	h := c.hosts[u.name]
	return h == nil || h.unit != u
}
