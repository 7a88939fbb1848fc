package choice

import (
	"math"
	"time"
)

// This file computes one relay's share of what a unit accepts from the whole fleet. Relays exchange
// nothing about this: each goes by the size of the fleet, by listed rates and by load reports.

// paceHeadroom is a pace in multiples of the even share. This much lets messages share calls,
// without making them wait long.
const paceHeadroom = 1.3

// allowanceReserve is the share of its allowance that the relays together leave unused at a unit,
// since messages come in bursts and reports are old. paceGain is the share of the difference from
// that reserve by which one answer moves the pace. It is below 1 because a report covers the calls
// of all relays up to a second ago, and all of them react to it.
const allowanceReserve, paceGain = 0.25, 0.4

// maxReportRatio is how many times a report may be above or below the listed rate, which may itself
// be wrong by up to a half.
const maxReportRatio = 16

// fleetRate returns the calls per second that a unit accepts from all relays together: as listed or
// reported; otherwise this relay's served rate times the fleet size, and at least one call in an
// eighth of the shortest aim.
func (c *Chooser) fleetRate(u *unit) float64 {
	if u.knownRate > 0 {
		return u.knownRate
	}
	return max(u.servedRate*float64(c.settings.Fleet), 8/c.minAim.Seconds())
}

// evenInterval returns the time in which this relay's even share of the fleet's rate is one call.
func (c *Chooser) evenInterval(u *unit) time.Duration {
	return time.Duration(float64(c.settings.Fleet) / c.fleetRate(u) * float64(time.Second))
}

// seldomCalls reports whether this relay calls a unit too seldom to learn a pace from its own
// calls.
func (c *Chooser) seldomCalls(u *unit) bool { return c.evenInterval(u) > c.minAim/2 }

// randomPause returns a random pause, so that relays don't come back together. It doubles up to the
// given number of times, but no further than twice the even interval, and is longer the fewer calls
// after a refusal are served at this kind of destination: where refused calls use up the limit,
// retries alone can keep a destination at its limit. Long pauses may do harm where refusals are
// random.
func (c *Chooser) randomPause(u *unit, d *dest, doublings int) time.Duration {
	pause := (c.minAim / 4).Seconds() * math.Exp2(float64(min(doublings, 10))) / math.Pow(2*(*d.retrySuccess), 3)
	return time.Duration(min(pause, 2*c.evenInterval(u).Seconds()) * (0.5 + c.rand.Float64()) * float64(time.Second))
}

// setReportedRate records the rate that a unit reports of itself. The pace changes in proportion,
// so it rises at once when the unit accepts more again, and noise in the reports does not
// accumulate. A report far from the listed rate is bounded: one answer neither stops a unit for
// good nor lifts its limit.
func (u *unit) setReportedRate(rate float64) {
	if u.listedRate > 0 {
		rate = min(max(rate, u.listedRate/maxReportRatio), u.listedRate*maxReportRatio)
	}
	if u.knownRate > 0 {
		u.pace *= rate / u.knownRate
	}
	u.knownRate, u.hasReports = rate, true
}

// fewCallsPerAim reports whether this relay's even share of a unit is less than four calls in the
// shortest aim.
func (c *Chooser) fewCallsPerAim(u *unit) bool { return c.evenInterval(u) > c.minAim/4 }

// maxPace returns the highest pace of one relay. All relays together may send no more than the
// known rate, and one relay no more than that either. Where a call carries several messages and the
// even share is few calls, the highest pace is little above that share: waiting messages can share a call, and reports of the other
// relays' calls would come too late.
func (c *Chooser) maxPace(u *unit) float64 {
	if u.sharesCalls && c.fewCallsPerAim(u) {
		return min(u.knownRate, paceHeadroom/c.evenInterval(u).Seconds())
	}
	return u.knownRate
}

// metered reports whether a unit's answers report its rate and this relay makes too few of the
// calls to learn from them alone. The pace then follows the even share of that rate and the
// reported allowance.
func (c *Chooser) metered(u *unit) bool { return u.hasReports && c.fewCallsPerAim(u) }

// initialPace returns the pace before the first report. It spreads a burst over part of an aim; if
// all relays called at the listed rate, they would use up the allowance at once.
func (c *Chooser) initialPace(u *unit) float64 {
	if c.fewCallsPerAim(u) && !u.sharesCalls && c.settings.ReportLimitIndex >= 0 {
		return min(u.knownRate, max(paceHeadroom/c.evenInterval(u).Seconds(), 4/c.minAim.Seconds()))
	}
	return c.maxPace(u)
}

// slowMetered handles a refusal by a metered unit. Refused calls count against the limit as well,
// so all relays together must get below it before any call is served: each pauses at random for
// about its even interval, and goes on a little below the pace that all can keep.
func (c *Chooser) slowMetered(u *unit) {
	interval := c.evenInterval(u).Seconds()
	pause := interval * (0.5 + float64(min(u.badStreak, 5))/2) * (0.5 + c.rand.Float64())
	u.pauseUntil += time.Duration(pause * float64(time.Second))
	u.pace, u.tokens = min(u.pace, coldBudgetShare/interval), min(u.tokens, 0)
}

// adjustPace moves the pace at a metered unit by the share of the allowance that is left according
// to an answer. It rises only while messages wait, since a pace that is not used up proves nothing.
// Where calls carry several messages a report says little: all are of the same time window, and
// most of them from its start.
func (c *Chooser) adjustPace(u *unit, d *dest, remaining float64) {
	excess := min(remaining, 1) - allowanceReserve
	if remaining >= 0 && c.metered(u) && !u.sharesCalls && (excess < 0 || d.waiting.count > 0) {
		u.pace = max(u.pace*(1+paceGain*excess), 1/c.evenInterval(u).Seconds()/2)
	}
}
