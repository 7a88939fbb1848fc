package choice

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// This file fills the free call slots.

// fillSlots sends calls while slots are free. The destination with the fewest calls in flight goes
// first. One destination gets less than three quarters of the slots, and no more than half while
// others are ready.
func (c *Chooser) fillSlots() {
	maxCalls := max(1, (3*c.settings.Workers+3)/4-1)
	sharedMax := max(1, c.settings.Workers/2)
	// Destinations with nothing but trials go last, so that calls that may hang don't fill the
	// slots of a small relay; a trial that is overdue for a whole window is not delayed further.
	preferred := func(u *unit) bool {
		return u.state != Suspect || c.now-u.trialAt > c.settings.Rules.OverloadWindow
	}
	trialOnly := func(d *dest) int {
		if slices.ContainsFunc(d.units, preferred) {
			return 0
		}
		return 1
	}
	var ready []*dest
	c.scanActive(func(d *dest) time.Duration {
		if c.listExpired {
			return math.MaxInt64
		}
		if c.now < d.pauseUntil {
			return d.pauseUntil
		}
		for _, u := range d.units {
			c.refillTokens(u, c.now)
		}
		if !slices.ContainsFunc(d.units, c.canCall) {
			earliest := time.Duration(math.MaxInt64)
			for _, u := range d.units {
				earliest = min(earliest, c.earliestCall(u))
			}
			return earliest
		}
		// A destination without a usable endpoint takes no call and no space from others. It is
		// excluded here unless its trials put it last anyway.
		if d.inFlight == 0 && trialOnly(d) == 0 && !slices.ContainsFunc(d.hosts, c.usable) {
			return math.MaxInt64
		}
		ready = append(ready, d)
		return c.now
	})
	if len(ready) == 0 {
		return
	}
	queue := newHeap(ready, func(a, b *dest) bool {
		return cmp.Or(cmp.Compare(trialOnly(a), trialOnly(b)), cmp.Compare(a.inFlight, b.inFlight),
			cmp.Compare(a.lastSentAt, b.lastSentAt), cmp.Compare(a.id, b.id)) < 0
	})
	for c.inFlight < c.settings.Workers && queue.Len() > 0 {
		d, limit := queue.items[0], maxCalls
		if queue.Len() > 1 {
			limit = sharedMax
		}
		if d.inFlight >= limit || !c.sendCall(d) {
			heap.Pop(queue)
		} else {
			heap.Fix(queue, 0)
		}
	}
	ready = queue.items
	slices.SortFunc(ready, compareLive)
	hasMessage := func(d *dest) bool { m, _ := c.pick(d); return m != nil }
	if c.settings.CanCancel && slices.ContainsFunc(ready, hasMessage) {
		c.cancelStuck()
	}
}

// cancelStuck frees one slot while all are taken and a message waits for one. It cancels the oldest
// call that has been in flight for longer than its destination's silence limit: twice that if the unit
// has served others since, and multiplied by the number of attempts, so that slow messages are
// served in the end. This guards against calls that are never answered. An unsafe message is
// lost by it, so its call gets twice the limit while stuck calls hold no more than half of the
// slots. The limit is halved while more than half of Settings.MaxPending is used.
func (c *Chooser) cancelStuck() {
	var stuck []*call
	for d := range c.calledDests {
		for _, u := range d.units {
			for _, candidate := range u.calls {
				if candidate.cancelled {
					return // one at a time
				}
				limit := c.silenceLimit(d)
				if c.settings.MaxPending > 0 && 2*c.pending > c.settings.MaxPending {
					limit /= 2
				}
				if u.lastServed >= candidate.sentAt {
					limit *= 2
				}
				limit *= time.Duration(candidate.messages[0].attempts)
				if c.now-candidate.sentAt > limit {
					stuck = append(stuck, candidate)
				}
			}
		}
	}
	slices.SortStableFunc(stuck, func(a, b *call) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, candidate := range stuck {
		unsafe := slices.ContainsFunc(candidate.messages,
			func(m *message) bool { return m.class.Effect == Unsafe })
		if unsafe && 2*len(stuck) <= c.settings.Workers &&
			c.now-candidate.sentAt < 2*c.silenceLimit(candidate.host.dest) {
			continue
		}
		candidate.cancelled = true
		for _, m := range candidate.messages {
			c.emit(Cancel{m.ID, m.attempts - 1})
		}
		return
	}
}

// sendCall sends the most urgent message of a destination, and others with it in the same call.
func (c *Chooser) sendCall(d *dest) bool {
	m, h := c.pick(d)
	if m == nil {
		return false
	}
	u := h.unit
	newCall := &call{host: h, sentAt: c.now}
	c.inFlight, d.inFlight, h.inFlight, d.lastSentAt = c.inFlight+1, d.inFlight+1, h.inFlight+1, c.now
	c.countUnitCalls(d, 1)
	expired := func(t time.Duration) bool { return c.now-t > max(c.settings.Rules.WarmUp, time.Second) }
	u.calls = append(u.calls, newCall)
	if u.pace > 0 {
		u.tokens--
	}
	if u.state == Suspect {
		u.trialAt = c.now + c.silenceLimit(d)<<min(u.failedTrials, 4) + c.trialDelay(u)
	}
	c.sendMessage(m, newCall)
	for len(newCall.messages) < d.kind.PerCall && u.state != Suspect {
		m := c.mostUrgent(d, d.waiting.items, func(m *message) bool { return c.maySend(m, h) })
		if m == nil {
			break
		}
		c.sendMessage(m, newCall)
	}
	// Further messages in a call cost the unit little: together they count as one more call.
	weight := slices.Repeat([]time.Duration{c.now}, min(len(newCall.messages), 2))
	u.recentSends = append(slices.DeleteFunc(u.recentSends, expired), weight...)
	if _, warming := c.enabledAt[h.Addr]; warming {
		h.recentSends = append(slices.DeleteFunc(h.recentSends, expired), weight...)
	}
	return true
}

// sendMessage makes a message part of a call.
func (c *Chooser) sendMessage(m *message, sentCall *call) {
	m.timeout = c.timeout(m, sentCall.host.unit)
	c.dequeue(m)
	m.attempts++
	m.call = sentCall
	sentCall.messages = append(sentCall.messages, m)
	s := Send{ID: m.ID, Host: sentCall.host.Addr, Timeout: m.timeout, Unit: sentCall.host.unit.state}
	if m.mayHaveRun && m.class.Effect == Keyed {
		s.Before = c.windowEnd(m)
	}
	c.emit(s)
}
