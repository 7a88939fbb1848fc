package choice

import (
	"math"
	"time"
)

// One relay's part of what a unit takes from the whole fleet. Relays share nothing: each goes by the size of
// the fleet, by listed rates and by what answers report.

// ample is the pace in even shares that lets messages go together without letting them wait long.
const paceHeadroom = 1.3

// keep is the share of its allowance that the relays together leave a unit: clumps come, and reports are old.
// gain is the part of what is missing to that, or over it, by which one answer moves the pace: the report tells
// of the calls of all relays up to a second ago, and each of them takes it to heart.
const allowanceReserve, paceGain = 0.25, 0.4

// farOff is how many times a report may be above or below the listed rate; that is up to half too high or low.
const maxReportRatio = 16

// rate that a unit takes from all relays together: listed or reported; else what it served here times
// the fleet, and at least a call in an eighth of an aim.
func (c *Chooser) fleetRate(u *unit) float64 {
	if u.knownRate > 0 {
		return u.knownRate
	}
	return max(u.servedRate*float64(c.settings.Fleet), 8/c.minAim.Seconds())
}

// even is the time in which this relay's even share of that is one call.
func (c *Chooser) evenInterval(u *unit) time.Duration {
	return time.Duration(float64(c.settings.Fleet) / c.fleetRate(u) * float64(time.Second))
}

// thin tells whether this relay meets a unit too seldom to learn a pace from its own calls.
func (c *Chooser) seldomCalls(u *unit) bool { return c.evenInterval(u) > c.minAim/2 }

// spread is a pause drawn by chance, so that relays do not come back in step. It doubles with each step, to
// twice the even share of a call, sooner the fewer calls after a refusal are served at this kind: where
// refused calls use up the limit, retries alone can keep it shut. It may harm where refusals come by chance.
func (c *Chooser) randomPause(u *unit, d *dest, doublings int) time.Duration {
	pause := (c.minAim / 4).Seconds() * math.Exp2(float64(min(doublings, 10))) / math.Pow(2*(*d.retrySuccess), 3)
	return time.Duration(min(pause, 2*c.evenInterval(u).Seconds()) * (0.5 + c.rand.Float64()) * float64(time.Second))
}

// tell takes in the rate that a unit itself says it takes. The pace keeps its proportion to that: it
// follows at once where the unit gives more again, and noise in the reports does not add up. A report far
// from what is listed is bounded: one answer neither stops a unit for good nor lifts its limit.
func (u *unit) setReportedRate(rate float64) {
	if u.listedRate > 0 {
		rate = min(max(rate, u.listedRate/maxReportRatio), u.listedRate*maxReportRatio)
	}
	if u.knownRate > 0 {
		u.pace *= rate / u.knownRate
	}
	u.knownRate, u.hasReports = rate, true
}

// leaving takes in a refusal with neither wait nor report, where answers bear reports. A limit tells of itself,
// an endpoint that drains does not: it rests by chance, and the pace of its unit stays for those that follow.
func (c *Chooser) pauseDraining(h *host) {
	pause := max(c.settings.Rules.OverloadWindow/4, c.evenInterval(h.unit)).Seconds() * (0.5 + c.rand.Float64())
	h.pauseUntil = c.now + time.Duration(pause*float64(time.Second))
	h.unit.tokens++ // no call of the limit's
}

// few tells whether this relay's even share of a unit is few calls within an aim.
func (c *Chooser) fewCallsPerAim(u *unit) bool { return c.evenInterval(u) > c.minAim/4 }

// most is the highest pace of one relay: all relays together may send no more than what is listed, so neither
// may one. Where a call takes many messages, and the even share is few calls, it is little above that: what waits goes along in one call, and what this relay hears of the others would come too late.
func (c *Chooser) maxPace(u *unit) float64 {
	if u.sharesCalls && c.fewCallsPerAim(u) {
		return min(u.knownRate, paceHeadroom/c.evenInterval(u).Seconds())
	}
	return u.knownRate
}

// metered tells whether answers tell a unit's rate, and too few of its calls are this relay's to learn from
// them alone. The pace then goes by the even share of that rate, and by what is told of the allowance.
func (c *Chooser) metered(u *unit) bool { return u.hasReports && c.fewCallsPerAim(u) }

// first is the pace until an answer tells more. It spreads a clump over part of an aim, where all relays at
// the listed rate would have it fill the allowance at once.
func (c *Chooser) initialPace(u *unit) float64 {
	if c.fewCallsPerAim(u) && !u.sharesCalls && c.settings.ReportLimitIndex >= 0 {
		return min(u.knownRate, max(paceHeadroom/c.evenInterval(u).Seconds(), 4/c.minAim.Seconds()))
	}
	return c.maxPace(u)
}

// yield takes in a refusal by a metered unit. Refused calls use the limit up as well, so all relays together
// have to stay under it before any is served: each pauses for about its even share of a call, by chance, and
// goes on a little below the pace that all can keep.
func (c *Chooser) slowMetered(u *unit) {
	interval := c.evenInterval(u).Seconds()
	pause := interval * (0.5 + float64(min(u.badStreak, 5))/2) * (0.5 + c.rand.Float64())
	u.pauseUntil += time.Duration(pause * float64(time.Second))
	u.pace, u.tokens = min(u.pace, coldBudgetShare/interval), min(u.tokens, 0)
}

// heed moves the pace at a metered unit by what an answer tells of the allowance that is left: up only while
// messages wait, for a pace that nothing fills is no proof. Where calls are shared, a report says little:
// it is of the same window for all, most of them from its start.
func (c *Chooser) adjustPace(u *unit, d *dest, remaining float64) {
	excess := min(remaining, 1) - allowanceReserve
	if remaining >= 0 && c.metered(u) && !u.sharesCalls && (excess < 0 || d.waiting.count > 0) {
		u.pace = max(u.pace*(1+paceGain*excess), 1/c.evenInterval(u).Seconds()/2)
	}
}
