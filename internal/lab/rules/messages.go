package rules

import (
	"fmt"

	"larchrouter/internal/lab/history"
)

// Messages: what clients received, and how the messages ended.

// messageSubmitted records that a client has sent a message, and schedules the checks of its end.
func (c *Checker) messageSubmitted(e history.Event) {
	message := &messageState{Event: e, class: c.classes[e.Class], dueAt: e.At + e.LeftMs*ms, events: []history.Event{e}}
	if message.class == nil {
		return
	}
	message.request = c.requests[e.FirstID]
	if message.request == nil {
		message.request = &requestState{submittedAt: e.At, class: message.class, tenant: e.Tenant}
		c.requests[e.FirstID] = message.request
		c.schedule(e.At+c.longestDeadline+retention, func() { c.settleRequest(e.FirstID) })
	}
	message.request.idCount++
	c.messages[e.ID] = message
	c.schedule(message.dueAt+endSlack, func() { c.checkEnd(message) })
}

// clientAnswered records the answer that a client has received for a message.
func (c *Checker) clientAnswered(e history.Event) {
	message := c.messages[e.ID]
	if message == nil || message.clientLeft {
		return
	}
	message.events = append(message.events, e)
	if e.CompleteAt > 0 { // a request's deadline counts from when its last byte was written
		message.dueAt = e.CompleteAt + message.LeftMs*ms
	}
	relay := c.relay(e.Relay)
	switch {
	case e.Status == 200 || e.Status == 202:
		message.acceptedAt = e.At
		if message.deliveredAt > 0 {
			message.request.recordDelivery(message.deliveredAt)
			relay.counters["served"].least.add(message.deliveredAt)
		}
	case e.Status == 429 || e.Status == 503:
		message.refused, message.request.refused = true, true
		if message.Detail != history.HalfClosed { // to the relay such a client has left: it need not count it
			relay.counters["refused"].least.add(e.At)
		}
		relay.counters["refused"].most.add(e.At)
		c.checkRejection(message, e)
	default:
		message.request.failed = true
		relay.counters["failed"].most.add(e.At)
	}
}

// clientDisconnected records that a client has stopped waiting, or that its connection ended. A request that the relay
// had read must be answered, on a new connection as well as on a reused one; only a process that is killed cannot do
// so.
func (c *Checker) clientDisconnected(e history.Event) {
	message := c.messages[e.ID]
	if message == nil {
		return
	}
	message.clientLeft, message.events = true, append(message.events, e)
	relay := c.relay(e.Relay)
	for _, name := range []string{"refused", "failed"} { // the relay may count the request, though nobody receives its answer
		relay.counters[name].most.add(e.At)
	}
	if e.Detail != history.Unanswered {
		return
	}
	c.countCheck(End)
	if relay.killedAt > 0 && relay.killedAt >= message.At {
		return
	}
	c.addViolation(End, e.At, message.ID, "its request was read, and its connection closed with no answer", []string{e.Relay}, message.events...)
	c.report.Lost++
}

// checkRejection checks whether a message may be submitted again, as its client has been told that it can be.
func (c *Checker) checkRejection(message *messageState, e history.Event) {
	c.countCheck(Repeat)
	for _, call := range message.calls {
		if call.endedAt > 0 && !call.mayHaveRun() {
			continue
		}
		if message.class.Effect == "at_most_once" || message.class.Effect == "deduplicated" && message.class.SameZone {
			c.addViolation(Repeat, e.At, message.ID, "it may have run, and its client was told to hand it in again", []string{e.Relay}, append(message.events, call.Event)...)
			return
		}
	}
}

func (r *requestState) recordDelivery(at int64) {
	if r.deliveredAt == 0 || at < r.deliveredAt {
		r.deliveredAt = at
	}
}

// noticeReceived records a notice that a message ended undelivered, and checks that the message has no other end.
func (c *Checker) noticeReceived(e history.Event) {
	c.countCheck(Once)
	message := c.messages[e.ID]
	if message == nil {
		return // the message ended long ago: the notice does no harm
	}
	processes := []string{e.Relay}
	switch {
	case message.notice.At > 0 && message.notice.Detail != e.Detail:
		c.addViolation(Once, e.At, message.ID, fmt.Sprintf("it has ended as %s and as %s", message.notice.Detail, e.Detail), processes, append(message.events, message.notice, e)...)
	case message.notice.At > 0: // repeated because the answer to the notice did not arrive
		return
	case message.deliveredAt > 0 && !message.answersCrossedClose() && e.At > message.deliveredAt+slack && !c.restartedBetween(e.Relay, message.deliveredAt, e.At) && !c.mayHaveTakenOver(e.Relay, message.deliveredBy(), message.deliveredAt):
		c.addViolation(Once, e.At, message.ID, fmt.Sprintf("it was delivered, and %.3f s later told to be %s", float64(e.At-message.deliveredAt)/1e6, e.Detail), processes, append(message.events, e)...)
	}
	message.notice = e
	if len(message.events) < maxEvents {
		message.events = append(message.events, e)
	}
	relay := c.relay(e.Relay)
	if message.deliveredAt > 0 && message.acceptedAt > 0 { // it timed out as the answer arrived, and was counted so
		relay.counters["served"].maybeUnread++
	}
	if e.Detail == "deferred" {
		c.checkRejection(message, e)
		message.request.refused = true
		relay.counters["refused"].most.add(e.At)
		if !message.clientLeft {
			relay.counters["refused"].least.add(e.At)
		}
	} else {
		message.request.failed = true
		relay.counters["failed"].most.add(e.At)
		if !message.clientLeft {
			relay.counters["failed"].least.add(e.At)
		}
	}
}

// restartedBetween reports whether a relay's process ended or started between two times.
func (c *Checker) restartedBetween(name string, from, to int64) bool {
	relay := c.relay(name)
	return relay.downSince > 0 && relay.downSince <= to || relay.resumedAt > 0 && relay.resumedAt >= from-restartGrace
}

// checkEnd checks, once its time is up, whether an accepted message has its end.
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
	if message.notice.At > 0 && (endedAt == 0 || message.notice.At < endedAt) {
		endedAt = message.notice.At
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

// cannotEnd reports whether the terms of the run allow that a relay ends no message now: it restarts, its machine is
// lost and not taken over yet, or the lab has stopped it. A relay that crashed is not excused.
func (c *Checker) cannotEnd(relay *relayState) bool {
	switch {
	case relay.downSince == 0 || relay.crashed:
		return false
	case relay.machineLost:
		return c.now <= relay.downSince+c.takeoverTime()
	}
	return true
}

// endAllowedUntil returns the latest time at which a message may end: its deadline plus endSlack. No end is overdue
// until restartGrace (plus slack) after the restart of its relay, nor before a lost machine's messages can be taken
// over. A relay that the lab had stopped has endSlack once it continues, and no more.
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

// forget drops a message some time after its end: until then it may still be sent where it must not be.
func (c *Checker) forget(message *messageState) {
	c.schedule(c.now+retention, func() { delete(c.messages, message.ID) })
}
