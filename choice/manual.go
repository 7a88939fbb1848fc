package choice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file handles endpoints that operators disable and enable, and computes the budget of calls to
// units and endpoints that return cold.

// manualChange applies an operator's change. Operators restart what they disable, so an enabled
// endpoint is cold.
func (c *Chooser) manualChange(e ManualChange) {
	h := c.hosts[e.Host]
	if h != nil {
		c.markChanged(h.dest)
	}
	switch {
	case e.Disabled:
		c.disabled[e.Host] = true
		if h != nil && h.unit.state == Healthy {
			h.unit.baseRate = h.unit.servedRate // used for the cold budget where no rate is listed
		}
		c.log("endpoint %s is out by hand", e.Host)
	case c.disabled[e.Host] || e.Ago > 0:
		delete(c.disabled, e.Host)
		maps.DeleteFunc(c.enabledAt, func(_ string, at time.Duration) bool {
			return c.now-at >= c.settings.Rules.WarmUp
		})
		c.enabledAt[e.Host] = c.now - e.Ago
		if h != nil {
			h.failures, h.retryAt = 0, 0
			c.resetShare(h)
		}
		c.log("endpoint %s is back", e.Host)
	}
}

// usable reports whether the list and the operators let messages go to a host.
func (c *Chooser) usable(h *host) bool { return h.State == Ready && !c.disabled[h.Addr] }

// withinHostBudget reports whether a host that operators enabled again may get one more call. Its
// budget is its share of that of its unit; the other hosts of the unit are as warm as before.
func (c *Chooser) withinHostBudget(h *host) bool {
	returnedAt, warming := c.enabledAt[h.Addr]
	if !warming {
		return true
	}
	if c.now-returnedAt >= c.settings.Rules.WarmUp {
		delete(c.enabledAt, h.Addr)
		h.recentSends = nil
		return true
	}
	if h.recentSends == nil {
		h.recentSends = c.assumedSends(h, c.now-returnedAt)
	}
	return c.withinBudget(h.recentSends, h.unit, returnedAt, h.unitShare())
}

// resetShare has assumedSends draw again how much of a host's share of the budget is used up, if
// the share is less than one call. Otherwise the calls of all relays may coincide.
func (c *Chooser) resetShare(h *host) {
	if window, _ := c.coldBudget(h.unit, c.now-c.enabledAt[h.Addr]); window*h.unitShare() < 1 {
		h.recentSends = nil
	}
}

// assumedSends stands in for the send times since a return where they are unknown. If the host
// returned before this relay started, a whole window counts as used up. Of a share of less than one
// call, a random part counts as used, so that relays don't call together.
func (c *Chooser) assumedSends(h *host, sinceReturn time.Duration) []time.Duration {
	window, _ := c.coldBudget(h.unit, sinceReturn)
	started := h.unit.createdAt + time.Second
	if window*h.unitShare() >= 1 && c.now-sinceReturn < started {
		return slices.Repeat([]time.Duration{started}, int(window*h.unitShare())+1)
	}
	return []time.Duration{c.timeOfUnused(h.unit, sinceReturn, c.rand.Float64()*max(window, 1/h.unitShare()))}
}

// timeOfUnused returns when the sum of a unit's budget was less than now by the given number of calls.
func (c *Chooser) timeOfUnused(u *unit, sinceReturn time.Duration, unused float64) time.Duration {
	_, sumNow := c.coldBudget(u, sinceReturn)
	sinceLast := time.Duration(0)
	for range 8 { // Newton's method
		window, sumBefore := c.coldBudget(u, sinceReturn-sinceLast)
		sinceLast += time.Duration((unused - sumNow + sumBefore) / window * float64(c.settings.Rules.OverloadWindow))
	}
	return c.now - sinceLast
}

// withinBudget reports whether one more call stays within a share of the budget of a unit or host
// that returned at the given time: within that of the overload window or, where that is less than one call, within
// what has accrued since the last call.
func (c *Chooser) withinBudget(sends []time.Duration, u *unit, returnedAt time.Duration, share float64) bool {
	window, sum := c.coldBudget(u, c.now-returnedAt)
	if window*share >= 1 || len(sends) == 0 {
		return c.countWithin(sends, c.settings.Rules.OverloadWindow)+1 <= max(window*share, 1)
	}
	last := sends[len(sends)-1]
	_, sumAtLast := c.coldBudget(u, last-returnedAt)
	return (sum-sumAtLast)*share >= c.countWithin(sends, c.now-last)
}

// spreadFirstCall draws when a relay whose share is less than one call in a window makes its first call
// after a return, if it could make that at once. The relays whose calls waited through the outage are
// all answered at the return, and would make their first calls together.
func (c *Chooser) spreadFirstCall(u *unit) {
	window, _ := c.coldBudget(u, 0)
	if window >= 1 || len(u.recentSends) == 0 {
		return
	}
	if u.recentSends[len(u.recentSends)-1] <= c.timeOfUnused(u, 0, 1) {
		u.recentSends = []time.Duration{c.timeOfUnused(u, 0, c.rand.Float64())}
	}
}

// coldBudget returns this relay's share of the calls that the rules allow in an overload window at
// a time after a return, and in all from the return to then. Before the return it is the budget of
// the window just after it.
func (c *Chooser) coldBudget(u *unit, sinceReturn time.Duration) (window, sum float64) {
	rate := cmp.Or(u.knownRate, max(u.baseRate, 1/c.settings.Rules.WarmUp.Seconds())*float64(c.settings.Fleet))
	rules, elapsed, warmUp := c.settings.Rules, sinceReturn.Seconds(), c.settings.Rules.WarmUp.Seconds()
	fullRate, progress := coldBudgetShare*rules.OverloadFactor*rate/float64(c.settings.Fleet),
		min(max(0, elapsed/warmUp), 1)
	capacitySeconds := max(0, elapsed-warmUp) + (1-rules.ColdShare)*progress*progress/2*warmUp +
		rules.ColdShare*min(elapsed, warmUp)
	return max(1e-6, fullRate*(rules.ColdShare+(1-rules.ColdShare)*progress)*rules.OverloadWindow.Seconds()),
		fullRate * capacitySeconds
}
