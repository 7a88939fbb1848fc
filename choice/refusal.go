package choice

import (
	"cmp"
	"math"
	"time"
)

// This file handles refusals: of a rate limit, of an endpoint that drains, and of a unit that is down.

// slowStartRefusals is how many refusals in a row begin a slow start. A rate limit may refuse one call
// and more for a whole overload window, but then the relays send less.
const slowStartRefusals = 2

// handleRefusal handles a refusal by a host.
func (c *Chooser) handleRefusal(h *host, e Result) {
	u := h.unit
	if len(e.Report) == 0 { // with a report it is that of a rate limit
		h.refusedAt = c.now
		u.refusals++
	}
	if u.hasReports && len(e.Report) == 0 && e.RetryAfter <= 0 && c.fewCallsPerAim(u) {
		c.pauseDraining(h)
	} else {
		c.recordRefusal(u, h.dest, e.RetryAfter)
	}
	if u.state == Healthy && c.refusesAll(u, h.dest) {
		u.baseRate = max(u.servedRate, 1/c.settings.Rules.WarmUp.Seconds())
		c.changeState(u, h.dest, Recovering, ChangedByRefusals)
		u.slowByRefusals = true
		c.emit(Health{u.name, true, u.baseRate})
	}
}

// refusesAll reports whether a unit may be down although it answers: for an overload window it has served
// nothing and refused calls, at several hosts if it has them.
func (c *Chooser) refusesAll(u *unit, d *dest) bool {
	if u.refusals < slowStartRefusals || c.now-u.lastServed < c.settings.Rules.OverloadWindow {
		return false
	}
	refusing, usable := 0, 0
	for _, h := range d.hosts {
		if h.unit != u || !c.usable(h) {
			continue
		}
		usable++
		if h.refusedAt > u.lastServed {
			refusing++
		}
	}
	return refusing > 0 && refusing >= min(usable, outageFailures)
}

// excuseReplaced ends a slow start that refusals began, if the endpoints that refused are no longer in use:
// they were draining.
func (c *Chooser) excuseReplaced(u *unit, d *dest) {
	if u.slowByRefusals && !c.refusesAll(u, d) {
		c.changeState(u, d, Healthy, ChangedByList)
		c.emit(Health{u.name, false, 0})
	}
}

// recordRefusal handles a refusal that may be that of a rate limit. The unit is not called before its
// retry-after time; without one this relay chooses a pause of its own and lowers the pace.
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
