package rules

import (
	"fmt"

	"larchrouter/internal/lab/history"
)

// Messages: what clients heard, and how they ended.

func (c *Checker) messageSubmitted(e history.Event) {
	message := &messageState{Event: e, class: c.classes[e.Class], dueAt: e.T + e.Left*ms, events: []history.Event{e}}
	if message.class == nil {
		return
	}
	message.request = c.requests[e.First]
	if message.request == nil {
		message.request = &requestState{submittedAt: e.T, class: message.class, tenant: e.Tenant}
		c.requests[e.First] = message.request
		c.schedule(e.T+c.longestDeadline+retention, func() { c.settleRequest(e.First) })
	}
	message.request.idCount++
	c.messages[e.ID] = message
	c.schedule(message.dueAt+endSlack, func() { c.checkEnd(message) })
}

func (c *Checker) clientAnswered(e history.Event) {
	message := c.messages[e.ID]
	if message == nil || message.clientLeft {
		return
	}
	message.events = append(message.events, e)
	if e.Whole > 0 { // the time of a request counts from its last byte
		message.dueAt = e.Whole + message.Left*ms
	}
	relay := c.relay(e.Relay)
	switch {
	case e.Status == 200 || e.Status == 202:
		message.acceptedAt = e.T
		if message.deliveredAt > 0 {
			message.request.recordDelivery(message.deliveredAt)
			relay.counters["served"].least.add(message.deliveredAt)
		}
	case e.Status == 429 || e.Status == 503:
		message.refused, message.request.refused = true, true
		if message.How != history.HalfClosed { // to its relay such a client has left, and what it wanted need not be counted
			relay.counters["refused"].least.add(e.T)
		}
		relay.counters["refused"].most.add(e.T)
		c.checkRejection(message, e)
	default:
		message.request.failed = true
		relay.counters["failed"].most.add(e.T)
	}
}

// hungUp takes in that a client has stopped waiting, or that its connection ended. A request that the relay had read is
// owed an answer, on a new connection as well as on a kept one; only a process that is killed cannot give it.
func (c *Checker) clientDisconnected(e history.Event) {
	message := c.messages[e.ID]
	if message == nil {
		return
	}
	message.clientLeft, message.events = true, append(message.events, e)
	relay := c.relay(e.Relay)
	for _, name := range []string{"refused", "failed"} { // the relay may count it, though nobody hears its answer
		relay.counters[name].most.add(e.T)
	}
	if e.How != history.Unanswered {
		return
	}
	c.countCheck(End)
	if relay.killedAt > 0 && relay.killedAt >= message.T {
		return
	}
	c.addViolation(End, e.T, message.ID, "its request was read, and its connection closed with no answer", []string{e.Relay}, message.events...)
	c.report.Lost++
}

// handedBack looks whether a message may be handed in again, as its client was told.
func (c *Checker) checkRejection(message *messageState, e history.Event) {
	c.countCheck(Repeat)
	for _, call := range message.calls {
		if call.endedAt > 0 && !call.mayHaveRun() {
			continue
		}
		if message.class.Effect == "at_most_once" || message.class.Effect == "deduplicated" && message.class.SameZone {
			c.addViolation(Repeat, e.T, message.ID, "it may have run, and its client was told to hand it in again", []string{e.Relay}, append(message.events, call.Event)...)
			return
		}
	}
}

func (w *requestState) recordDelivery(at int64) {
	if w.deliveredAt == 0 || at < w.deliveredAt {
		w.deliveredAt = at
	}
}

func (c *Checker) noticeReceived(e history.Event) {
	c.countCheck(Once)
	message := c.messages[e.ID]
	if message == nil {
		return // of a message that was over long ago: it does no harm
	}
	processes := []string{e.Relay}
	switch {
	case message.notice.T > 0 && message.notice.How != e.How:
		c.addViolation(Once, e.T, message.ID, fmt.Sprintf("it has ended as %s and as %s", message.notice.How, e.How), processes, append(message.events, message.notice, e)...)
	case message.notice.T > 0: // told again, for the answer was not heard
		return
	case message.deliveredAt > 0 && !message.answersCrossedClose() && e.T > message.deliveredAt+slack && !c.restartedBetween(e.Relay, message.deliveredAt, e.T) && !c.mayHaveTakenOver(e.Relay, message.deliveredBy(), message.deliveredAt):
		c.addViolation(Once, e.T, message.ID, fmt.Sprintf("it was delivered, and %.3f s later told to be %s", float64(e.T-message.deliveredAt)/1e6, e.How), processes, append(message.events, e)...)
	}
	message.notice = e
	if len(message.events) < maxEvents {
		message.events = append(message.events, e)
	}
	relay := c.relay(e.Relay)
	if message.deliveredAt > 0 && message.acceptedAt > 0 { // its time was up as the answer came, and it was counted so
		relay.counters["served"].maybeUnread++
	}
	if e.How == "deferred" {
		c.checkRejection(message, e)
		message.request.refused = true
		relay.counters["refused"].most.add(e.T)
		if !message.clientLeft {
			relay.counters["refused"].least.add(e.T)
		}
	} else {
		message.request.failed = true
		relay.counters["failed"].most.add(e.T)
		if !message.clientLeft {
			relay.counters["failed"].least.add(e.T)
		}
	}
}

// restarted tells whether a relay's process ended or began between two times.
func (c *Checker) restartedBetween(name string, from, to int64) bool {
	relay := c.relay(name)
	return relay.downSince > 0 && relay.downSince <= to || relay.resumedAt > 0 && relay.resumedAt >= from-restartGrace
}

// overdue looks whether a message that was taken on has its end, once it should.
func (c *Checker) checkEnd(message *messageState) {
	relay := c.relay(message.Relay)
	if message.acceptedAt == 0 {
		c.forget(message)
		return
	}
	if c.cannotEnd(relay) {
		c.schedule(c.now+500*ms, func() { c.checkEnd(message) })
		return
	}
	allowed := message.endAllowedUntil(relay)
	if c.now < allowed {
		c.schedule(allowed, func() { c.checkEnd(message) })
		return
	}
	c.countCheck(End)
	endedAt := message.deliveredAt
	if message.notice.T > 0 && (endedAt == 0 || message.notice.T < endedAt) {
		endedAt = message.notice.T
	}
	switch {
	case endedAt == 0:
		c.addViolation(End, allowed, message.ID, "it was taken on, its time is up, and it has no end", []string{message.Relay}, message.events...)
		c.report.Lost++
	case endedAt > allowed:
		c.addViolation(End, endedAt, message.ID, fmt.Sprintf("its end came %.3f s late", float64(endedAt-allowed)/1e6), []string{message.Relay}, message.events...)
	}
	c.forget(message)
}

// excused tells whether a relay cannot end anything now, by the terms: it restarts, its machine is lost and not taken over
// yet, or the lab has stopped it. One that crashed is not excused.
func (c *Checker) cannotEnd(relay *relayState) bool {
	switch {
	case relay.downSince == 0 || relay.crashed:
		return false
	case relay.machineLost:
		return c.now <= relay.downSince+c.takeoverTime()
	}
	return true
}

// allowedUntil is by when a message must have its end: in its time and the slack. Besides, no end is overdue until some time
// after a restart of its relay, nor before a lost machine's messages can be taken over. A relay that the lab had stopped has
// the slack once it goes on, and no more.
func (m *messageState) endAllowedUntil(relay *relayState) int64 {
	allowed := max(m.dueAt+endSlack, m.extendedUntil)
	if relay.readyAt > m.acceptedAt {
		allowed = max(allowed, relay.readyAt+restartGrace+slack)
	}
	if relay.continuedAt > m.acceptedAt {
		allowed = max(allowed, relay.continuedAt+endSlack)
	}
	return allowed
}

// forget drops a message some time after it is over: until then it may yet be sent where it must not be.
func (c *Checker) forget(message *messageState) {
	c.schedule(c.now+retention, func() { delete(c.messages, message.ID) })
}
