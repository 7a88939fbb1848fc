package choice

import (
	"maps"
	"time"
)

// Endpoints that operators take out by hand, how they come back, and the budget of what comes back cold.

// byHand takes operators at their word. They restart what they take out, so it comes back cold.
func (c *Chooser) byHand(e ByHand) {
	h := c.hosts[e.Host]
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
	parts := 0
	for _, g := range h.dest.hosts {
		if g.unit == h.unit && g.State == Ready {
			parts++
		}
	}
	return c.affords(h.sends, c.budget(h.unit, c.now-at)/float64(max(1, parts)))
}

// affords tells whether one more call keeps to so many in the rule's window; where that is less than
// one, to one in a longer window.
func (c *Chooser) affords(sends []time.Duration, n float64) bool {
	span := c.set.Rules.Fall
	if n < 1 {
		n, span = 1, time.Duration(float64(span)/n)
	}
	return c.sent(sends, span)+1 <= n
}

// budget is this relay's share of the calls that the rule allows in its window, a while after a return.
func (c *Chooser) budget(u *unit, back time.Duration) float64 {
	rate := u.listed
	if rate == 0 {
		rate = max(u.base, 1/c.set.Rules.Cold.Seconds()) * float64(c.set.Fleet)
	}
	k := c.set.Rules
	share := min(1, k.ColdFrom+(1-k.ColdFrom)*back.Seconds()/k.Cold.Seconds())
	return budgetShare * k.OverloadFactor * share * rate * k.Fall.Seconds() / float64(c.set.Fleet)
}
