package choice

// This file holds the tuning constants, Step, and updates of the endpoint list. The package's
// interface is in api.go and events.go; plain state is in state.go and setup.go. Attempt time-outs
// are computed in oracle.go; health and pacing in health.go; refusals in refusal.go; admission and
// final answers in answers.go; use of the call slots in turn.go; choice of message and endpoint, and
// ordering by key, in pick.go; restored messages and outages in restore.go; manual changes by
// operators and the budget of a cold destination in manual.go; one relay's share of a unit's capacity
// in fleet.go.

import (
	"slices"
	"time"
)

const (
	// buckets is the histogram's number of buckets. Together they span the longest aim of all
	// classes.
	buckets = 100
	// minSamples is the number of latency samples needed before a time-out is derived from a table:
	// with fewer, the 98% quantile means nothing.
	minSamples = 30
	// sampleMemory is the number of samples over which a latency table fades. Twice the number of
	// buckets is enough to fill the buckets of the tail, and still lets the table relearn a changed
	// latency.
	sampleMemory = 200
	// restartCost is the cost of a restart, in mean latencies: the abandoned attempt goes on
	// running, and the new one waits behind it.
	restartCost = 4.0
	// outageFailures of the last outcomeHistory outcomes of a unit must have failed before it is
	// suspect, so that one stray error is no outage.
	outcomeHistory, outageFailures = 5, 2
	finalAnswerTicks               = 4   // ticks between the last check of a message and its deadline
	coldBudgetShare                = 0.9 // share of the budget of a cold destination that the relays use
	// paceCut is the factor on a unit's pace at a refusal, which cuts it by a fifth. paceRegain is
	// the share that the pace regains per second without a refusal, and paceSearch the same where
	// no rate is listed.
	paceCut, paceRegain, paceSearch = 0.8, 0.05, 0.1
	// unsteadyHostCost is added to the cost of a host that just failed or is not healthy, in shares
	// of the message's worth.
	unsteadyHostCost = 0.02
	// avoidedIntervals is the number of even intervals for which a relay that calls a unit seldom avoids a
	// host that failed: the intervals of a slow start are longer by up to this.
	avoidedIntervals = 4
	checksPerAim     = 200 // checks without events within the shortest aim
	// crowdedShare is the share of Settings.MaxPending above which the message of least worth is
	// refused.
	crowdedShare = 0.9
	// minPendingShare is the share of its deadline that a message stays pending before it may be
	// evicted while nothing can be sent.
	minPendingShare = 0.7
)

// Step handles all events that happened up to now, then decides once and returns the actions to
// take. Calls must not go back in time. The returned slice is not reused.
func (c *Chooser) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = now, nil
	for _, e := range events {
		c.handle(e)
	}
	if c.subscribeAt >= 0 && now >= c.subscribeAt {
		c.subscribeAt = -1
		c.emit(Subscribe{})
	}
	c.releaseKeys()
	c.dropIdle()
	c.suspectSilent()
	c.answerDue()
	c.fillSlots()
	c.close()
	wakeTime := now + c.checkInterval
	if (c.pending+c.inFlight > 0 || c.subscribeAt >= 0) && (c.wakeAt <= now || wakeTime < c.wakeAt) {
		c.wakeAt = wakeTime
		c.emit(Wake{wakeTime - now})
	}
	return c.actions
}

// updateList applies an update of the endpoint list, and forgets endpoints and destinations that
// are no longer needed.
func (c *Chooser) updateList(e ListUpdate) {
	if e.Failed {
		c.subscribeAt = c.now + time.Second
		return
	}
	if e.Complete {
		c.markAllChanged()
		for _, h := range c.hosts {
			h.State = Removed
			c.scheduleListCheck(h.dest)
		}
	}
	for _, entry := range e.Hosts {
		h := c.hosts[entry.Addr]
		if h == nil && entry.State == Removed {
			continue
		}
		if h == nil {
			h = c.addHost(entry)
		}
		c.markChanged(h.dest)
		c.scheduleListCheck(h.dest)
		if entry.Kind >= 0 && entry.Kind < len(c.settings.Kinds) {
			h.dest.kind.PerCall = c.settings.Kinds[entry.Kind].PerCall // may have changed
		}
		h.unit.sharesCalls = h.dest.kind.PerCall > 1
		if h.Host = entry; c.settings.RatesListed && entry.State == Ready && entry.Rate != h.unit.listedRate {
			h.unit.listedRate, h.unit.knownRate = entry.Rate, entry.Rate // overrides older reports
			c.resetShare(h)
			if h.unit.pace == 0 {
				if h.unit.pace = c.initialPace(h.unit); h.unit.pace < entry.Rate {
					h.unit.paceAt, h.unit.tokens = c.now, 1
					if h.unit.sharesCalls { // random, or all relays call together for few messages each
						h.unit.tokens = c.rand.Float64()
					}
				}
			}
		}
	}
	c.runListChecks(func(d *dest) bool {
		c.markChanged(d)
		d.hosts = slices.DeleteFunc(d.hosts, func(h *host) bool {
			// A removed host that may come back keeps its retry-after time and its health.
			forget := h.State == Removed && h.inFlight == 0 && c.now >= h.unit.retryAfter &&
				(h.unit.state == Healthy || c.now-h.unit.stateSince > c.settings.Rules.WarmUp)
			if forget {
				delete(c.hosts, h.Addr)
			}
			if forget && d.kind.SeparateRoutes {
				d.units = without(d.units, h.unit)
			}
			return forget
		})
		for _, u := range d.units {
			c.renameUnit(u, d)
			c.excuseReplaced(u, d)
		}
		if len(d.hosts) == 0 && d.idle() {
			delete(c.dests, d.id)
			c.destOrder.drop(d)
		}
		if slices.ContainsFunc(d.hosts, func(h *host) bool { return h.State == Removed }) {
			return true
		}
		return len(d.hosts) > 0 && slices.ContainsFunc(d.units, c.nameOutdated)
	})
}
