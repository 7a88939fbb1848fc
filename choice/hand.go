package choice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Endpoints that operators take out by hand, how they come back, and the budget of what comes back cold.

// byHand takes operators at their word. They restart what they take out, so it comes back cold.
func (c *Chooser) byHand(e ByHand) {
	h := c.hosts[e.Host]
	if h != nil {
		c.touch(h.dest)
	}
	switch {
	case e.Out:
		c.out[e.Host] = true
		if h != nil && h.unit.state == healthy {
			h.unit.base = h.unit.served // what the budget goes by where no rate is listed
		}
		c.log("endpoint %s is out by hand", e.Host)
	case c.out[e.Host] || e.Ago > 0:
		delete(c.out, e.Host)
		maps.DeleteFunc(c.cold, func(_ string, at time.Duration) bool { return c.now-at >= c.set.Rules.Cold })
		c.cold[e.Host] = c.now - e.Ago
		if h != nil {
			h.fails, h.retryAt = 0, 0
			c.redraw(h)
		}
		c.log("endpoint %s is back", e.Host)
	}
}

// open tells whether list and operators let messages go to a host.
func (c *Chooser) open(h *host) bool { return h.State == Ready && !c.out[h.Addr] }

// warm tells whether a host that was given back by hand may get one more call. It has its part of the
// budget of its unit; the other hosts of that are as warm as before.
func (c *Chooser) warm(h *host) bool {
	at, cold := c.cold[h.Addr]
	if !cold {
		return true
	}
	if c.now-at >= c.set.Rules.Cold {
		delete(c.cold, h.Addr)
		h.sends = nil
		return true
	}
	if h.sends == nil {
		h.sends = c.firstSends(h, c.now-at)
	}
	return c.affords(h.sends, h.unit, at, h.part())
}

// redraw has a part of less than one call start anew, or those of all relays may come in step.
func (c *Chooser) redraw(h *host) {
	if n, _ := c.budget(h.unit, c.now-c.cold[h.Addr]); n*h.part() < 1 {
		h.sends = nil
	}
}

// firstSends stands for the calls since a return, where none are known. If it was before this relay's start,
// a window counts as spent; a part of less than one call is partly used, by chance, lest relays call in step.
func (c *Chooser) firstSends(h *host, back time.Duration) []time.Duration {
	n, sum := c.budget(h.unit, back)
	started := h.unit.born + time.Second
	if n*h.part() >= 1 && c.now-back < started {
		return slices.Repeat([]time.Duration{started}, int(n*h.part())+1)
	}
	ago, left := time.Duration(0), c.rand.Float64()*max(n, 1/h.part())
	for range 8 { // Newton's method, for when so much less had come of the sum
		then, before := c.budget(h.unit, back-ago)
		ago += time.Duration((left - sum + before) / then * float64(c.set.Rules.Fall))
	}
	return []time.Duration{c.now - ago}
}

// affords tells whether one more call keeps to a part of the budget of what returned at a time: to that of the rule's
// window or, where that is less than one call, to what has come of it since the last one.
func (c *Chooser) affords(sends []time.Duration, u *unit, at time.Duration, part float64) bool {
	n, sum := c.budget(u, c.now-at)
	if n*part >= 1 || len(sends) == 0 {
		return c.sent(sends, c.set.Rules.Fall)+1 <= max(n*part, 1)
	}
	last := sends[len(sends)-1]
	_, was := c.budget(u, last-at)
	return (sum-was)*part >= c.sent(sends, c.now-last)
}

// budget is this relay's share of the calls that the rule allows in its window, a while after a return, and of all from
// the return to then; before it, of a window just after it.
func (c *Chooser) budget(u *unit, back time.Duration) (window, sum float64) {
	rate := cmp.Or(u.listed, max(u.base, 1/c.set.Rules.Cold.Seconds())*float64(c.set.Fleet))
	k, t, cold := c.set.Rules, back.Seconds(), c.set.Rules.Cold.Seconds()
	one, way := budgetShare*k.OverloadFactor*rate/float64(c.set.Fleet), min(max(0, t/cold), 1)
	whole := max(0, t-cold) + (1-k.ColdFrom)*way*way/2*cold + k.ColdFrom*min(t, cold)
	return max(1e-6, one*(k.ColdFrom+(1-k.ColdFrom)*way)*k.Fall.Seconds()), one * whole
}
