package choice

import (
	"math"
	"time"
)

// This file admits messages, handles the outcomes of their attempts, and gives final answers.

// accept adds a new message and has it wait for its destination.
func (c *Chooser) accept(e Arrival) {
	class, maxAttempts := &c.settings.Classes[min(max(e.Class, 0), len(c.settings.Classes)-1)],
		c.settings.MaxAttempts
	if e.Terms != nil {
		class, maxAttempts = &e.Terms.Class, e.Terms.Attempts
	}
	m := &message{Arrival: e, class: class, maxAttempts: maxAttempts, dest: c.destination(e.Dest),
		arrivedAt: c.now, deadline: c.now + e.Left}
	m.uncertainAt = -1
	m.createdAt, m.overShare = m.deadline-class.Deadline, !c.withinShare(e.Tenant)
	c.messages[e.ID] = m
	c.pending++
	c.enqueue(m)
	if class.Ordered && e.Key != "" {
		c.enqueueKey(m)
	}
}

// handleResult handles the outcome of one attempt, and decides whether its message waits for
// another.
func (c *Chooser) handleResult(e Result) {
	m := c.messages[e.ID]
	if m == nil || m.call == nil {
		return
	}
	sentCall, h, u, d := m.call, m.call.host, m.call.host.unit, m.dest
	c.markChanged(d)
	c.markChanged(h.dest)
	u.retryAfter = max(u.retryAfter, c.now+e.RetryAfter) // it applies with any outcome
	c.detachFromCall(m)
	if i := c.settings.ReportLimitIndex; i >= 0 && i < len(e.Report) && e.Report[i] > 0 {
		u.setReportedRate(e.Report[i])
		if i = c.settings.ReportLeftIndex; e.Outcome == Served && i >= 0 && i < len(e.Report) {
			c.adjustPace(u, d, e.Report[i])
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
		c.handleRefusal(h, e)
	case Error, Reset:
		if !e.StaleConn {
			c.recordFailure(h, e.Outcome)
		}
	case Timeout, Cancelled:
		d.latencies.addCutShort()
		if u.lastServed < sentCall.sentAt {
			d.timeoutStreak++
			u.recordTimeOut(sentCall.sentAt)
			if e.Took >= c.silenceLimit(d) {
				c.recordFailure(h, e.Outcome)
			}
		}
	case NoConnection:
		u.connRefusedAt = c.now
		d.latencies.addCutShort()
		c.recordFailure(h, e.Outcome)
	}
	certain := e.Outcome == Served || e.Outcome == Refused || e.Outcome == NoConnection ||
		e.Outcome == NotSent
	if !certain {
		if m.uncertainAt = c.now; !m.mayHaveRun {
			m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, sentCall.sentAt, h.Zone
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

// mayRepeat reports whether the effect of a message allows one more attempt now.
func (c *Chooser) mayRepeat(m *message) bool {
	return !m.mayHaveRun || m.class.Effect == Safe || m.class.Effect == Keyed && c.now < c.windowEnd(m)
}

// windowEnd returns the end of the time in which the destination recognizes a repeat of a keyed
// message.
func (c *Chooser) windowEnd(m *message) time.Duration {
	if !m.mayHaveRun {
		return c.now + m.class.Window
	}
	return m.firstRunAt + m.class.Window
}

// finalAnswerAt returns the time at which a waiting message gets its final answer.
func (c *Chooser) finalAnswerAt(m *message) time.Duration {
	if at := m.deadline - c.FinalAnswerMargin(); !m.mayHaveRun || m.class.Effect != Keyed {
		return at
	} else {
		return min(at, c.windowEnd(m))
	}
}

// finalAnswer ends a message that is not in flight: refused if it cannot have run or may be
// repeated, otherwise failed.
func (c *Chooser) finalAnswer(m *message) {
	if !m.mayHaveRun || m.class.SafeToSubmitAgain() {
		c.emit(Refuse{m.ID, c.clientRetryAfter(m.dest)})
	} else {
		c.emit(Fail{m.ID})
	}
	c.endMessage(m)
}

// endMessage ends a message. One that is in flight keeps its record, and its place among those of
// its key, until its outcome is known.
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
			queue.messages.first.dest.blockedUntil = 0 // the next of the key may go now
		}
		if m.uncertainAt >= 0 {
			queue.pauseUntil = max(queue.pauseUntil, m.uncertainAt+c.settings.Rules.OrderSettle)
		}
		if queue.messages.count == 0 {
			c.pausedKeys.update(queue)
		}
	}
}

// answerDue answers messages whose time is up, and while too many are pending also those of least
// worth.
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

// leastWorth returns the waiting message of least worth among the eligible ones, nil if there is
// none. Worth counts less at a destination where many messages wait.
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

// mayEvict reports whether a message may be refused to make space for others.
func (c *Chooser) mayEvict(m *message) bool {
	// A restored message that was never tried has been accepted for good: new arrivals are refused
	// instead.
	if unsent := m.restored && m.attempts == 0; unsent || m.mayHaveRun && m.class.Effect != Safe {
		return false
	}
	// While nothing can be sent, evicting one message for another gains nothing and breaks the
	// promise to deliver it. Only new messages, and those that have been pending for
	// minPendingShare of their deadline, may be evicted then.
	return !c.listExpired || m.arrivedAt == c.now ||
		float64(c.now-m.createdAt) >= minPendingShare*float64(m.class.Deadline)
}
