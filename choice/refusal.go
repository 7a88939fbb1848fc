package choice

import (
	"cmp"
	"math"
	"time"
)

// This file handles refusals: of a rate limit, of an endpoint that drains, and of a unit that is down.

// recordRefusal handles a refusal. The unit is not called before its retry-after time; without one
// this relay chooses a pause of its own and lowers the pace.
func (c *Chooser) recordRefusal(u *unit, d *dest, retryAfter time.Duration) {
	c.recordBadOutcome(u)
	u.retryAfter = max(u.retryAfter, c.now+retryAfter)
	u.pauseUntil = max(c.now, u.retryAfter)
	if c.metered(u) {
		c.slowMetered(u)
	} else {
		c.slowDown(u, d, retryAfter)
	}
	// Only refusals, for longer than a rate limit explains, mean that the destination is down.
	window, longestWait := c.settings.Rules.OverloadWindow, 2*c.settings.Rules.OverloadWindow/3
	if c.metered(u) || u.state == Recovering { // its retry-after times come from what is left of its limit
		longestWait = window
	}
	if u.state != Suspect && (retryAfter > longestWait || u.badStreak > 6 && c.now-u.lastServed >= window) {
		c.markSuspect(u, d, ChangedByRefusals)
	}
}

// slowDown pauses a unit that sent no retry-after time, and lowers the pace.
func (c *Chooser) slowDown(u *unit, d *dest, retryAfter time.Duration) {
	if retryAfter <= 0 || c.seldomCalls(u) {
		u.pauseUntil += c.randomPause(u, d, u.badStreak-1)
	}
	if d.refusalStreak > 0 {
		*d.retrySuccess -= *d.retrySuccess / 16
	}
	if d.refusalStreak++; d.refusalStreak >= len(d.units) && c.seldomCalls(u) {
		d.pauseUntil = c.now + 2*c.randomPause(u, d, d.refusalStreak-len(d.units))
	}
	if c.seldomCalls(u) && u.knownRate > 0 { // one call at a time, at a pace that all relays can keep
		u.pace, u.tokens = min(u.pace, 1/c.evenInterval(u).Seconds()), min(u.tokens, 0)
	}
	if c.now-u.paceCutAt >= time.Second && !c.seldomCalls(u) {
		// Counted over at least the relay's even interval: over less, the refused call alone would
		// look like more than the relay's share.
		span := min(max(time.Second, c.evenInterval(u)), c.settings.Rules.WarmUp)
		pace := min(cmp.Or(u.pace, math.Inf(1)), c.countWithin(u.recentSends, span)/span.Seconds())
		u.pace = max(pace*paceCut, 1/c.settings.Rules.WarmUp.Seconds(),
			u.knownRate/float64(c.settings.Fleet)/2)
		u.paceCutAt, u.tokens = c.now, min(u.tokens, 0)
	}
}

// pauseDraining handles a refusal with neither a retry-after time nor a report, at a unit whose
// answers carry reports. A refusal for a rate limit would carry a report; one by a draining
// endpoint does not. The endpoint pauses for a random time, and the pace of its unit stays for the
// endpoints that replace it.
func (c *Chooser) pauseDraining(h *host) {
	longest := max(c.settings.Rules.OverloadWindow/4, c.evenInterval(h.unit))
	pause := longest.Seconds() * (0.5 + c.rand.Float64())
	h.pauseUntil = c.now + time.Duration(pause*float64(time.Second))
	h.unit.tokens++ // the call did not count against the limit
}
