package choice

import (
	"cmp"
	"math"
	"math/bits"
	"time"
)

// This file tracks the health of units and their pace.

// recordBadOutcome counts a failure or a refusal, and schedules the next trial of a suspect unit.
func (c *Chooser) recordBadOutcome(u *unit) {
	u.servedStreak = 0
	u.badStreak++
	if u.state == Suspect {
		u.failedTrials++
		u.trialAt = c.now + c.trialDelay(u)
	}
}

// recordFailure handles a failed attempt. While another host of the unit may work, the failure counts
// against its host alone, which is one machine or building.
func (c *Chooser) recordFailure(h *host, outcome Outcome) {
	u, d := h.unit, h.dest
	h.failures++
	h.failedAt = c.now
	h.retryAt = c.now + c.avoidance(h)
	if c.mayWork(u, d) {
		return
	}
	c.recordBadOutcome(u)
	u.mayHaveRun, u.sawErrors = u.mayHaveRun || outcome != NoConnection, u.sawErrors || outcome == Error
	u.recordOutcome(true)
	// Either this relay calls the unit too seldom to know more, or the unit refuses connections
	// while it warms up: it went down again.
	enough := c.seldomCalls(u) && c.now-u.lastServed > c.settings.Rules.OverloadWindow ||
		u.state == Recovering && outcome == NoConnection
	if u.state != Suspect && (enough || bits.OnesCount(u.recentFailures) >= outageFailures) {
		c.markSuspect(u, d, ChangedByFailures)
	}
}

// avoidance returns for how long other hosts are preferred to one that has just failed. It doubles with
// each failure, up to a third of the overload window. A relay that calls the unit seldom needs longer: its
// next call, in a slow start too, has to go to another host, or it learns nothing about the unit.
func (c *Chooser) avoidance(h *host) time.Duration {
	rules := c.settings.Rules
	if c.seldomCalls(h.unit) {
		return min(max(rules.OverloadWindow, avoidedIntervals*c.evenInterval(h.unit)), rules.WarmUp)
	}
	return min(rules.OverloadWindow/8<<min(h.failures, 3), rules.OverloadWindow/3)
}

// mayWork reports whether some host of a unit may work although others fail. A host that has not
// failed proves nothing once several others have, and none has answered since.
func (c *Chooser) mayWork(u *unit, d *dest) bool {
	failing, notFailing := 0, 0
	for _, h := range d.hosts {
		switch {
		case h.unit != u || !c.usable(h):
		case h.failures == 0:
			notFailing++
		case h.failedAt > u.lastServed:
			failing++
		}
	}
	return notFailing > 0 && failing < outageFailures
}

// trialDelay returns the time until the next trial of a suspect unit, drawn at random. It doubles
// with each failed trial, up to a third of the overload window or, if that is longer, to the delay
// at which the trials of all relays stay within the budget of a unit that has just returned; in a
// small fleet it also leaves room for twice the square root of that budget. In a large fleet,
// relays whose trials failed just before the return would all come back together, so there the
// delay is long from the start.
func (c *Chooser) trialDelay(u *unit) time.Duration {
	window := c.settings.Rules.OverloadWindow
	budget, _ := c.coldBudget(u, 0)
	// spread is the headroom for chance: 1 where shares are below half a call, which rarely coincide.
	spread := 1.0
	if budget >= 0.5 {
		spread += 2 / math.Sqrt(budget*float64(c.settings.Fleet))
	}
	longest := max(window/3, min(2*c.settings.Rules.WarmUp, time.Duration(float64(window)/(budget*spread))))
	delay := min(window/8<<min(u.failedTrials, 6), longest)
	if c.seldomCalls(u) {
		delay = longest
	}
	return delay/2 + time.Duration(c.rand.Float64()*float64(delay))
}

// markSuspect starts an outage of a unit: from now on it gets single trials only.
func (c *Chooser) markSuspect(u *unit, d *dest, reason ChangeReason) {
	if u.state == Healthy {
		u.baseRate = max(u.servedRate, 1/c.settings.Rules.WarmUp.Seconds())
	}
	u.sawErrors = u.sawErrors || u.state == Recovering // one answer is no proof that it is healthy again
	c.markChanged(d)
	c.changeState(u, d, Suspect, reason)
	u.failedTrials, u.servedStreak = 0, 0
	u.trialAt = c.now + c.trialDelay(u)
	c.emit(Health{u.name, true, u.baseRate})
}

// recordServed handles a served attempt: it updates latency and rate, and moves a suspect unit to
// recovering, or to healthy after a short outage.
func (c *Chooser) recordServed(u *unit, d *dest, took time.Duration) {
	u.latencySec = cmp.Or(u.latencySec, took.Seconds())
	u.latencySec += (took.Seconds() - u.latencySec) / 8
	warmUp := c.settings.Rules.WarmUp.Seconds()
	u.servedRate = u.servedRate*exp(-(c.now-u.lastServed).Seconds()/warmUp) + 1/warmUp
	shortOutage := !u.sawErrors && c.now-u.wellUntil < c.settings.Rules.OverloadWindow
	answer := unitAnswer{took: took, sinceServed: c.now - u.lastServed, badOutcomes: u.badStreak}
	u.lastServed, u.timedOut = c.now, false
	if u.state == Suspect && (c.now-took < u.connRefusedAt ||
		c.now+c.settings.Rules.OverloadWindow < u.retryAfter) {
		return // sent before the outage, or before a wait longer than a rate limit's: no sign of recovery
	}
	u.wellUntil = c.now
	firstServed := u.slowByRefusals
	u.badStreak, u.refusals, u.slowByRefusals = 0, 0, false
	u.servedStreak++
	u.recordOutcome(false)
	switch {
	case firstServed:
		u.stateSince = c.now
	case u.state == Healthy && u.recentFailures == 0:
		u.mayHaveRun, u.sawErrors = false, false
	case u.state == Suspect && shortOutage:
		c.changeStateByAnswer(u, d, Healthy, ChangedByAnswer, answer)
		u.mayHaveRun, u.recentFailures = false, 0
		c.emit(Health{u.name, false, 0})
	case u.state == Suspect:
		c.changeStateByAnswer(u, d, Recovering, ChangedByAnswer, answer)
		u.recentFailures = 0
		c.spreadFirstCall(u)
	case u.state == Recovering && !c.seldomCalls(u) && answer.sinceServed > c.settings.Rules.OverloadWindow:
		u.stateSince = c.now // it may have been out since the answer before
	case u.state == Recovering && c.now-u.stateSince >= c.slowStartSpan():
		c.changeStateByAnswer(u, d, Healthy, ChangedByWarmUp, answer)
		u.mayHaveRun, u.sawErrors = false, false
		c.emit(Health{u.name, false, 0})
	}
}

// slowStartSpan returns how long a slow start lasts: an overload window longer than the unit needs to warm
// up, since the answer that begins it may have come just before the return.
func (c *Chooser) slowStartSpan() time.Duration {
	return c.settings.Rules.WarmUp + c.settings.Rules.OverloadWindow
}

// suspectSilent makes healthy units suspect that leave calls unanswered for longer than the
// destination's silence limit. This needs no time-out, which may be long: that of an unsafe message
// is its deadline.
func (c *Chooser) suspectSilent() {
	for d := range c.calledDests {
		for _, u := range d.units {
			if u.state != Healthy || len(u.calls) == 0 {
				continue
			}
			silentSince := u.calls[0].sentAt
			if u.timedOut { // the oldest call without an answer has ended
				silentSince = min(silentSince, u.timedOutSince)
			}
			if c.now-max(silentSince, u.lastServed) > c.silenceLimit(d) {
				u.mayHaveRun, u.wellUntil = true, max(u.wellUntil, silentSince)
				c.markSuspect(u, d, ChangedBySilence)
			}
		}
	}
}

// recordTimeOut notes a call that ended without an answer, while the unit has answered no later one.
func (u *unit) recordTimeOut(sentAt time.Duration) {
	if !u.timedOut {
		u.timedOut, u.timedOutSince = true, sentAt
	}
	u.timedOutSince = min(u.timedOutSince, sentAt)
}

// canCall reports whether a call may be sent to a unit now.
func (c *Chooser) canCall(u *unit) bool {
	if c.now < u.retryAfter || c.now < u.pauseUntil {
		return false
	}
	if u.state == Suspect {
		return len(u.calls) <= 1 && c.now >= u.trialAt
	}
	inBudget := u.state != Recovering || c.withinBudget(u.recentSends, u, u.stateSince, 1)
	return inBudget && (u.pace == 0 || u.tokens >= 1)
}

// refillTokens advances a unit's pace and tokens to the given time.
func (c *Chooser) refillTokens(u *unit, now time.Duration) {
	elapsed := (now - u.paceAt).Seconds()
	u.paceAt = now
	if u.knownRate > 0 {
		u.pace = min(u.pace*(1+paceRegain*min(elapsed, 1)), c.maxPace(u))
	} else {
		u.pace *= 1 + paceSearch*min(elapsed, 1)
	}
	u.tokens = min(u.tokens+u.pace*elapsed, max(1, u.pace*c.minAim.Seconds()/8))
}
