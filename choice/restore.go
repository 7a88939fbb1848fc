package choice

import (
	"slices"
	"time"
)

// restoreMessage adds a message of an earlier process. Its effect and its attempts count as if there
// had been no restart; a message that may not be sent again is answered now.
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

// restoreOutage protects a returning destination from relays that restart, possibly all at once.
// What they sent last is not known, so a whole window counts as used up. After it their first
// trials are spread over time to stay within the budget.
func (c *Chooser) restoreOutage(e KnownOutage) {
	h := c.hosts[e.Host]
	if h == nil {
		return
	}
	// With these badStreak, mayHaveRun and sawErrors, a single answer does not end the outage.
	h.unit.servedRate, h.unit.badStreak, h.unit.mayHaveRun, h.unit.sawErrors = e.BaseRate, 1, true, true
	c.markSuspect(h.unit, h.dest, ChangedByRestart)
	window, _ := c.coldBudget(h.unit, 0)
	h.unit.recentSends = slices.Repeat([]time.Duration{c.now}, int(window)+1)
	if !c.seldomCalls(h.unit) {
		h.unit.trialAt = c.now + time.Duration((1+c.rand.Float64()/window)*float64(c.settings.Rules.OverloadWindow))
	}
}

// clientRetryAfter returns when a client should best submit a refused message again: once a unit of
// its destination may be called, and the messages that wait there have been served.
func (c *Chooser) clientRetryAfter(d *dest) time.Duration {
	earliest, servedRate := time.Duration(-1), 0.0
	for _, u := range d.units {
		at := max(u.retryAfter, u.pauseUntil)
		if u.state == Suspect {
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
