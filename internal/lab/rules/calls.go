package rules

import (
	"fmt"
	"slices"

	"larchrouter/internal/lab/history"
)

// Calls at endpoints.

// callArrived records a call to an endpoint, and checks its destination, its messages and the waits.
func (c *Checker) callArrived(e history.Event) {
	call := &callState{Event: e, zone: c.terms.Zones[e.Endpoint]}
	c.calls[e.Call] = call
	relay := c.relay(e.Relay)
	c.report.addCall(e)
	c.recordGenerations(e)
	c.countCheck(Wait)
	for _, wait := range relay.waits[e.Dest] {
		if e.CompleteAt > wait.from+waitGrace && e.CompleteAt < wait.until-slack {
			c.addViolation(Wait, e.CompleteAt, e.IDs[0], fmt.Sprintf("it went to destination %d %.3f s after a wait of %.3f s was told, and %.3f s before its end",
				e.Dest, float64(e.CompleteAt-wait.from)/1e6, float64(wait.until-wait.from)/1e6, float64(wait.until-e.CompleteAt)/1e6), []string{e.Relay, e.Endpoint}, e)
			break
		}
	}
	c.checkDrain(relay, e)
	for i, id := range e.IDs {
		message := c.messages[id]
		relay.counters["attempts"].least.add(e.At)
		relay.counters["attempts"].most.add(e.CompleteAt)
		c.countCheck(Own)
		switch {
		case message == nil && e.At-e.CompleteAt > retention: // a cut link delayed the call for longer than messages are remembered
			continue
		case message == nil:
			c.addViolation(Own, e.At, id, "no client handed it in, or its time was long over", []string{e.Relay, e.Endpoint}, e)
			continue
		case message.Dest != e.Dest:
			c.addViolation(Own, e.At, id, fmt.Sprintf("it is for destination %d and went to one of %d", message.Dest, e.Dest), []string{e.Relay, e.Endpoint}, append(message.events, e)...)
		case i < len(e.BodySums) && e.BodySums[i] != message.BodySum:
			c.addViolation(Own, e.At, id, "its body or key is not what its client handed in", []string{e.Relay, e.Endpoint}, append(message.events, e)...)
		}
		c.addAttempt(message, call)
	}
}

// addAttempt records that a message is part of a call, and checks the rules for attempts, repeats and deliveries.
func (c *Checker) addAttempt(message *messageState, current *callState) {
	events := func(more ...history.Event) []history.Event {
		return append(append(slices.Clone(message.events), current.Event), more...)
	}
	processes := []string{current.Relay, current.Endpoint}
	c.countCheck(Attempts)
	if attempts := len(message.calls) + 1; attempts > c.terms.MaxAttempts {
		c.addViolation(Attempts, current.At, message.ID, fmt.Sprintf("this is attempt %d of %d", attempts, c.terms.MaxAttempts), processes, events()...)
	}
	c.countCheck(Once)
	if message.notice.At > 0 && current.BegunAt > message.notice.At+slack {
		c.addViolation(Once, current.BegunAt, message.ID, "it was sent after its end was told: "+message.notice.Detail, processes, events(message.notice)...)
	}
	for _, previous := range message.calls {
		c.countCheck(Twice)
		if previous.endedAt == 0 || previous.endedAt > current.CompleteAt {
			pair := &callPair{message.ID, previous, current}
			previous.pairs, current.pairs = append(previous.pairs, pair), append(current.pairs, pair)
		}
		if previous.status == 200 && !previous.answerCrossedClose && current.BegunAt > previous.endedAt+slack && !c.restartedBetween(current.Relay, previous.endedAt, current.BegunAt) && !c.mayHaveTakenOver(current.Relay, previous.Relay, previous.endedAt) {
			c.addViolation(Once, current.BegunAt, message.ID, "it was sent again after it was delivered", processes, events(previous.Event)...)
		}
		// A call that was delayed by a cut link arrives after calls that were made later.
		first, later := previous, current
		if current.CompleteAt < previous.CompleteAt {
			first, later = current, previous
		}
		if first.endedAt > 0 && !first.mayHaveRun() {
			continue
		}
		c.countCheck(Repeat)
		window := message.class.Window.Microseconds()
		switch {
		case message.class.Effect == "at_most_once":
			c.addViolation(Repeat, later.CompleteAt, message.ID, "it may have run, and its class may never be repeated", processes, events(previous.Event)...)
		case message.class.Effect == "deduplicated" && later.CompleteAt > first.CompleteAt+window+slack:
			c.addViolation(Repeat, later.CompleteAt, message.ID, fmt.Sprintf("it was repeated %.3f s after it may have run, and repeats are dropped for %.3f s",
				float64(later.CompleteAt-first.CompleteAt)/1e6, float64(window)/1e6), processes, events(previous.Event)...)
		case message.class.Effect == "deduplicated" && message.class.SameZone && later.zone != first.zone:
			c.addViolation(Repeat, later.CompleteAt, message.ID, "it was repeated in a zone that does not know of it", processes, events(previous.Event)...)
		}
	}
	message.calls = append(message.calls, current)
	if len(message.events) < maxEvents {
		message.events = append(message.events, current.Event)
	}
}

// checkOverlap checks two calls with the same message once the ends of both are known.
func (c *Checker) checkOverlap(pair *callPair) {
	earlier, later := pair.earlier, pair.later
	if earlier.endedAt == 0 || later.endedAt == 0 {
		return
	}
	if overlap := min(earlier.endedAt, later.endedAt) - max(earlier.CompleteAt, later.CompleteAt); overlap > slack {
		c.addViolation(Twice, max(earlier.CompleteAt, later.CompleteAt), pair.messageID, fmt.Sprintf("two attempts were out for %.3f s", float64(overlap)/1e6), []string{earlier.Relay, earlier.Endpoint, later.Endpoint},
			earlier.Event, later.Event, history.Event{At: earlier.endedAt, Kind: history.CallAbandoned, Call: earlier.Call, Status: earlier.status}, history.Event{At: later.endedAt, Kind: history.CallAbandoned, Call: later.Call, Status: later.status})
	}
}

// callEnded records that a call was answered or given up.
func (c *Checker) callEnded(e history.Event) {
	call := c.calls[e.Call]
	if call == nil {
		return
	}
	relay := c.relay(call.Relay)
	if call.endedAt > 0 {
		if e.Kind == history.CallAbandoned && e.At-call.endedAt <= slack && !call.answerCrossedClose {
			call.answerCrossedClose = true // the relay may not have read what the answer said
			relay.waits[call.Dest] = slices.DeleteFunc(relay.waits[call.Dest], func(s timeSpan) bool { return s.from == call.endedAt })
			relay.counters["served"].maybeUnread += len(call.IDs)
		}
		return
	}
	call.endedAt, call.status = e.At, e.Status
	for _, pair := range call.pairs {
		c.checkOverlap(pair)
	}
	call.pairs = nil
	c.schedule(e.At+retention, func() { delete(c.calls, e.Call) })
	if e.WaitMs > 0 {
		waits := relay.waits[call.Dest]
		waits = slices.DeleteFunc(waits, func(s timeSpan) bool { return s.until < e.At-retention })
		relay.waits[call.Dest] = append(waits, timeSpan{e.At, e.At + e.WaitMs*ms})
	}
	for _, id := range call.IDs {
		message := c.messages[id]
		if message == nil {
			continue
		}
		if len(message.events) < maxEvents {
			message.events = append(message.events, e)
		}
		if e.Status != 200 || message.deliveredAt > 0 {
			continue
		}
		message.deliveredAt = e.At
		relay.counters["served"].most.add(e.At)
		if message.acceptedAt > 0 {
			message.request.recordDelivery(e.At)
			// Otherwise the relay has counted the message's end already, or is stopped and may time out before it reads this.
			if message.notice.At == 0 && relay.downSince == 0 {
				relay.counters["served"].least.add(e.At)
			}
		}
	}
}
