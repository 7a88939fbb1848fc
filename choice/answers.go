package choice

import (
	"math"
	"time"
)

// Admission and final answers.

func (c *Chooser) accept(e Arrival) {
	class, maxAttempts := &c.settings.Classes[min(max(e.Class, 0), len(c.settings.Classes)-1)], c.settings.MaxAttempts
	if e.Terms != nil {
		class, maxAttempts = &e.Terms.Class, e.Terms.Attempts
	}
	m := &message{Arrival: e, class: class, maxAttempts: maxAttempts, dest: c.destination(e.Dest), arrivedAt: c.now, deadline: c.now + e.Left}
	m.uncertainAt = -1
	m.createdAt, m.overShare = m.deadline-class.Deadline, !c.withinShare(e.Tenant)
	c.messages[e.ID] = m
	c.pending++
	c.enqueue(m)
	if class.Ordered && e.Key != "" {
		c.enqueueKey(m)
	}
}

// result takes in how an attempt ended.
func (c *Chooser) handleResult(e Result) {
	m := c.messages[e.ID]
	if m == nil || m.call == nil {
		return
	}
	k, h, u, d := m.call, m.call.host, m.call.host.unit, m.dest
	c.markChanged(d)
	c.markChanged(h.dest)
	u.retryAfter = max(u.retryAfter, c.now+e.RetryAfter) // it binds with any outcome
	c.detachFromCall(m)
	if report := c.settings.ReportLimitIndex; report >= 0 && report < len(e.Report) && e.Report[report] > 0 {
		u.setReportedRate(e.Report[report])
		if report = c.settings.ReportLeftIndex; e.Outcome == Served && report >= 0 && report < len(e.Report) {
			c.adjustPace(u, d, e.Report[report])
		}
	}
	switch e.Outcome {
	case Served:
		d.latencies.addServed(e.Took)
		c.pooledLatencies.addServed(e.Took)
		if e.Took <= d.latencies.bestTimeout {
			d.timeoutStreak = 0
		}
		if d.refusalStreak > 0 {
			*d.retrySuccess += (1 - *d.retrySuccess) / 16
		}
		h.failures, d.refusalStreak = 0, 0
		c.recordServed(u, d, e.Took)
	case Refused:
		if u.hasReports && len(e.Report) == 0 && e.RetryAfter <= 0 && c.fewCallsPerAim(u) {
			c.pauseDraining(h)
		} else {
			c.recordRefusal(u, d, e.RetryAfter)
		}
	case Error, Reset:
		if !e.StaleConn {
			c.recordFailure(h, e.Outcome)
		}
	case Timeout, Cancelled:
		d.latencies.addCutShort()
		if u.lastServed < k.sentAt {
			d.timeoutStreak++
			if e.Took >= c.silenceLimit(d) {
				c.recordFailure(h, e.Outcome)
			}
		}
	case NoConnection:
		u.connRefusedAt = c.now
		d.latencies.addCutShort()
		c.recordFailure(h, e.Outcome)
	}
	certain := e.Outcome == Served || e.Outcome == Refused || e.Outcome == NoConnection || e.Outcome == NotSent
	if !certain {
		if m.uncertainAt = c.now; !m.mayHaveRun {
			m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, k.sentAt, h.Zone
		}
	}
	switch {
	case e.Done || m.ended:
		c.endMessage(m)
	case !c.mayRepeat(m) || m.attempts >= m.maxAttempts:
		c.finalAnswer(m)
	default:
		c.enqueue(m)
	}
}

// repeatable tells whether the effect of a message allows one more send now.
func (c *Chooser) mayRepeat(m *message) bool {
	return !m.mayHaveRun || m.class.Effect == Safe || m.class.Effect == Keyed && c.now < c.windowEnd(m)
}

func (c *Chooser) windowEnd(m *message) time.Duration {
	if !m.mayHaveRun {
		return c.now + m.class.Window
	}
	return m.firstRunAt + m.class.Window
}

// until is when a message that waits gets its final answer.
func (c *Chooser) finalAnswerAt(m *message) time.Duration {
	if at := m.deadline - c.FinalAnswerMargin(); !m.mayHaveRun || m.class.Effect != Keyed {
		return at
	} else {
		return min(at, c.windowEnd(m))
	}
}

// final answers a message that is not out: refused where that is lawful, else failed.
func (c *Chooser) finalAnswer(m *message) {
	if !m.mayHaveRun || m.class.Effect == Safe || m.class.Effect == Keyed && !m.class.SameZone {
		c.emit(Refuse{m.ID, c.clientRetryAfter(m.dest)})
	} else {
		c.emit(Fail{m.ID})
	}
	c.endMessage(m)
}

// end frees a message; one that is out keeps its record, and its key, until its outcome.
func (c *Chooser) endMessage(m *message) {
	if !m.ended {
		m.ended = true
		c.pending--
		c.dequeue(m)
	}
	if m.call != nil {
		return
	}
	delete(c.messages, m.ID)
	if queue := c.keyQueues[m.Key]; queue != nil && m.class.Ordered {
		if queue.messages.drop(m); queue.messages.count > 0 {
			queue.messages.first.dest.blockedUntil = 0 // it may be its turn
		}
		if m.uncertainAt >= 0 {
			queue.pauseUntil = max(queue.pauseUntil, m.uncertainAt+c.settings.Rules.OrderSettle)
		}
		if queue.messages.count == 0 {
			c.pausedKeys.update(queue)
		}
	}
}

// answer ends messages whose time is up, and the least worth while the holding room is crowded.
func (c *Chooser) answerDue() {
	for _, m := range c.takeDue() {
		c.finalAnswer(m)
	}
	for c.settings.MaxPending > 0 && float64(c.pending) > crowdedShare*float64(c.settings.MaxPending) {
		m := c.leastWorth(c.mayEvict)
		if m == nil {
			return
		}
		c.finalAnswer(m)
	}
}

// leastWorth is the message of the least worth among some that wait, less where many do; nil for none.
func (c *Chooser) leastWorth(eligible func(*message) bool) (worst *message) {
	least := math.Inf(1)
	for d := range c.liveDests.each {
		for _, m := range d.waiting.items {
			if m == nil || !eligible(m) {
				continue
			}
			if worth := c.worth(m, c.now) / float64(d.waiting.count); worth < least {
				least, worst = worth, m
			}
		}
	}
	return worst
}

// dispensable tells whether a message may be turned away for want of room.
func (c *Chooser) mayEvict(m *message) bool {
	// What a restart finds untried was taken on for good: what comes is turned away instead.
	if unsent := m.restored && m.attempts == 0; unsent || m.mayHaveRun && m.class.Effect != Safe {
		return false
	}
	// While nothing can be sent, one that gives way to another gains nothing, and costs a promise in vain.
	return !c.listExpired || m.arrivedAt == c.now || float64(c.now-m.createdAt) >= minPendingShare*float64(m.class.Deadline)
}
