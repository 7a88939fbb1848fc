package choice

import (
	"math"
	"slices"
	"time"
)

// This file chooses which message of a destination is sent, and to which endpoint, and keeps the
// order of keys.

// maySend reports whether a message may go to a host now, apart from the capacity of the host's
// unit.
func (c *Chooser) maySend(m *message, h *host) bool {
	if !c.usable(h) || !c.mayRepeat(m) || m.attempts >= m.maxAttempts {
		return false
	}
	if m.class.Effect == Keyed && m.class.SameZone && m.mayHaveRun && h.Zone != m.firstRunZone {
		return false
	}
	// A message that cannot be repeated does not go to a unit with failures after which a message
	// may have run, until the unit has served a few answers or the message's own time runs short.
	u := h.unit
	reliable := u.state == Healthy || !u.mayHaveRun ||
		u.state == Recovering && (!u.sawErrors || u.servedStreak >= outcomeHistory)
	return reliable || m.class.Effect != Unsafe || m.deadline-c.now < m.class.Deadline/4
}

// mostUrgent returns the allowed candidate that loses most worth by waiting. A message over its
// tenant's share comes after all that are within theirs.
func (c *Chooser) mostUrgent(d *dest, candidates []*message, allowed func(*message) bool) *message {
	rate := 0.0
	for _, u := range d.units {
		rate += u.servedRate
	}
	wait := c.minAim
	if rate > 0 {
		wait = time.Duration(float64(d.waiting.count) / rate * float64(time.Second))
	}
	wait = min(max(wait, c.minAim/8), 4*c.maxTimeout)
	var best *message
	highest := math.Inf(-1)
	for _, m := range candidates {
		if m == nil || best != nil && m.overShare && !best.overShare {
			continue
		}
		loss := c.worth(m, c.now) - c.worth(m, c.now+wait)
		lessUrgent := best != nil && m.overShare == best.overShare &&
			(loss < highest || loss == highest && m.deadline >= best.deadline)
		if !lessUrgent && c.keyAllows(m) && allowed(m) {
			best, highest = m, loss
		}
	}
	return best
}

// pick chooses a message of a destination and a host for it; nil if nothing can be sent.
func (c *Chooser) pick(d *dest) (*message, *host) {
	var hosts []*host
	for _, h := range d.hosts {
		if c.usable(h) && c.canCall(h.unit) && c.withinHostBudget(h) && c.now >= h.pauseUntil {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return nil, nil
	}
	m := c.mostUrgent(d, c.unblockedMessages(d, hosts), func(m *message) bool {
		return slices.ContainsFunc(hosts, func(h *host) bool { return c.maySend(m, h) })
	})
	if m == nil {
		c.recordBlocked(d, hosts)
	}
	var best *host
	least := math.Inf(1)
	for _, h := range hosts {
		if m != nil && c.maySend(m, h) && c.routeCost(m, h) < least {
			best, least = h, c.routeCost(m, h)
		}
	}
	return m, best
}

// routeCost is the cost of sending a message to a host, in shares of its worth: the zone's fee, and
// the part of the aim that the host's latency and its calls in flight take up.
func (c *Chooser) routeCost(m *message, h *host) float64 {
	u := h.unit
	cost := 0.0
	if m.dest.kind.SeparateRoutes && h.Zone < len(c.settings.ZoneFee) {
		cost += c.settings.ZoneFee[h.Zone]
	}
	if c.seldomCalls(u) {
		cost = cost/10 + h.preference/20
	}
	finish := u.latencySec * float64(h.inFlight+1) / m.class.Aim.Seconds()
	cost += max(0, finish-0.25) + finish/100
	if h == m.lastHost || h.failures > 0 {
		cost += unsteadyHostCost
	}
	if u.state != Healthy {
		cost += unsteadyHostCost
	}
	if c.now < h.retryAt {
		cost++
	}
	return cost
}

// keyAllows reports whether the order of its key lets a message go.
func (c *Chooser) keyAllows(m *message) bool {
	if !m.class.Ordered || m.Key == "" {
		return true
	}
	queue := c.keyQueues[m.Key]
	return queue.messages.first == m && c.now >= queue.pauseUntil
}
