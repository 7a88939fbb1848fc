package choice

import (
	"slices"
	"time"
)

// restore takes a message up where the earlier process left it. Its effect and
// its attempts bind as if no restart had been; what may not go again is answered now.
func (c *Chooser) restoreMessage(e Restored) {
	c.accept(e.Arrival)
	m := c.messages[e.ID]
	m.attempts, m.timeout, m.restored = e.Attempts, e.Timeout, true
	if m.mayHaveRun = e.MayHaveRun; e.MayHaveRun {
		m.firstRunAt, m.firstRunZone, m.uncertainAt = c.now-e.FirstRunAgo, e.FirstRunZone, c.now
	}
	switch {
	case e.InFlight != nil && c.hosts[e.InFlight.Host] != nil:
		c.resumeCall(m, e.InFlight)
	case m.attempts >= m.maxAttempts || !c.mayRepeat(m):
		c.finalAnswer(m)
	default:
		c.updateAnswerTime(m)
	}
}

// unwell guards a returning destination against relays that restart, also all at once. What they sent last is
// forgotten: a window counts as spent. After it their first trials are spread, to keep to the budget.
func (c *Chooser) restoreOutage(e KnownOutage) {
	h := c.hosts[e.Host]
	if h == nil {
		return
	}
	h.unit.servedRate, h.unit.badStreak, h.unit.mayHaveRun, h.unit.sawErrors = e.BaseRate, 1, true, true // not well by one answer
	c.markSuspect(h.unit, h.dest, "unwell before the restart")
	n, _ := c.coldBudget(h.unit, 0)
	h.unit.recentSends = slices.Repeat([]time.Duration{c.now}, int(n)+1)
	if !c.seldomCalls(h.unit) {
		h.unit.trialAt = c.now + time.Duration((1+c.rand.Float64()/n)*float64(c.settings.Rules.OverloadWindow))
	}
}

// comeBack is when a client had best hand a refused message in again: once a unit of its
// destination may be sent to, and what waits there has gone.
func (c *Chooser) clientRetryAfter(d *dest) time.Duration {
	earliest, servedRate := time.Duration(-1), 0.0
	for _, u := range d.units {
		at := max(u.retryAfter, u.pauseUntil)
		if u.state == suspect {
			at = max(at, u.trialAt)
		}
		if remaining := max(0, at-c.now); earliest < 0 || remaining < earliest {
			earliest = remaining
		}
		servedRate += u.servedRate
	}
	after := max(earliest, c.minAim/4)
	if servedRate > 0 {
		after = max(after, min(c.minAim, time.Duration(float64(d.waiting.count)/servedRate*float64(time.Second))))
	}
	return min(after, c.maxTimeout)
}
