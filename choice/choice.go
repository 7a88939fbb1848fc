package choice

// All decisions of the gateway; the interface is in api.go and events.go, plain state in state.go and
// known.go. Here: constants, one step, the endpoint list. The time-outs are in oracle.go; health, pacing
// and waits in health.go; admission and final answers in answers.go; the turn in turn.go; which message
// goes where, and the order of keys, in pick.go; what outlasts a process in restore.go; what operators do
// by hand and the budget of what comes back cold in hand.go; one relay's part of what a unit takes from
// the fleet in fleet.go.

import (
	"slices"
	"time"
)

const (
	// buckets is the paper's H; their bound is the longest aim.
	buckets = 100
	// minSamples before the oracle is heard: the 98% edge means nothing with fewer.
	minSamples = 30
	// memory in samples of a latency table. Twice H: it fills the tail's buckets and still relearns.
	sampleMemory = 200
	// wasted is the restart cost c in mean latencies: the attempt runs on, its successor waits behind it.
	restartCost = 4.0
	// outage of the last history outcomes of a unit must have failed: one stray error is none.
	outcomeHistory, outageFailures = 5, 2
	finalAnswerTicks               = 4   // ticks between the last own look at a message and its deadline
	coldBudgetShare                = 0.9 // of the rule's budget for a cold destination
	// cut of a unit's pace: a fifth on a refusal. grow is what it regains in a second without, and
	// search the same where no rate is listed.
	paceCut, paceRegain, paceSearch = 0.8, 0.05, 0.1
	// aside is the share of worth by which a host that just failed, or is not yet well, comes later.
	unsteadyHostCost = 0.02
	checksPerAim     = 200 // looks without news within the shortest aim
	// crowded is the part of the holding room above which the least worth is turned away.
	crowdedShare = 0.9
	// keptShare is the part of its time for which a message is kept while nothing can be sent.
	minPendingShare = 0.7
)

// Step takes in all that happened, then decides once.
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
	c.finishStep()
	wakeTime := now + c.checkInterval
	if (c.pending+c.inFlight > 0 || c.subscribeAt >= 0) && (c.wakeAt <= now || wakeTime < c.wakeAt) {
		c.wakeAt = wakeTime
		c.emit(Wake{wakeTime - now})
	}
	return c.actions
}

// list takes in news of the endpoint list.
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
			h.dest.kind.PerCall = c.settings.Kinds[entry.Kind].PerCall // it may have changed
		}
		h.unit.sharesCalls = h.dest.kind.PerCall > 1
		if h.Host = entry; c.settings.RatesListed && entry.State == Ready && entry.Rate != h.unit.listedRate {
			h.unit.listedRate, h.unit.knownRate = entry.Rate, entry.Rate // what answers report since is better than this
			c.resetShare(h)
			if h.unit.pace == 0 {
				if h.unit.pace = c.initialPace(h.unit); h.unit.pace < entry.Rate {
					h.unit.paceAt, h.unit.tokens = c.now, 1
					if h.unit.sharesCalls { // by chance, or all relays call at once, and each for little
						h.unit.tokens = c.rand.Float64()
					}
				}
			}
		}
	}
	c.runListChecks(func(d *dest) bool {
		c.markChanged(d)
		d.hosts = slices.DeleteFunc(d.hosts, func(h *host) bool {
			// A host that may come back keeps its wait, and what is known of its health.
			forget := h.State == Removed && h.inFlight == 0 && c.now >= h.unit.retryAfter &&
				(h.unit.state == healthy || c.now-h.unit.stateSince > c.settings.Rules.WarmUp)
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
