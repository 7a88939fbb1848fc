package rules

import (
	"fmt"
	"math"
	"slices"
	"time"

	"larchrouter/internal/lab/history"
)

// What relays were told of the list, and when a change counts as told to one that has not heard of it.

// heardIn is how soon a change counts as told to a relay whose calls for the list fail or stay unanswered, from when
// discovery had it and could be reached.
const reportTimeout = 6 * time.Second

// watchOver is how long after the wait of a watch what it missed counts as told, if that is later than heardIn.
const watchMargin = 2 * time.Second

// listCall is a call for the list. Times are microseconds.
type pendingListCall struct{ arrivedAt, wait int64 }

// ask takes in a call for the list.
func (p *relayState) listRequested(e history.Event) {
	p.lastListCall = e.T
	p.pendingListCalls = append(p.pendingListCalls, pendingListCall{e.T, e.Left * ms})
}

// over takes a call for the list off the open ones: the one that came at a time, or the oldest. It returns when it came.
func (p *relayState) closeListCall(arrivedAt int64) int64 {
	i := slices.IndexFunc(p.pendingListCalls, func(c pendingListCall) bool { return c.arrivedAt == arrivedAt })
	if i < 0 && len(p.pendingListCalls) == 0 {
		return arrivedAt
	}
	i = max(i, 0)
	found := p.pendingListCalls[i].arrivedAt
	p.pendingListCalls = slices.Delete(p.pendingListCalls, i, i+1)
	return found
}

// unheard is a call to an endpoint that drains or is gone by a change that the relay has not heard of, made while it did not count as told.
type unreportedCall struct{ call, change history.Event }

// answered takes in that a call for the list was answered. What went out before it was within the time that the settings give.
func (p *relayState) listAnswered(e history.Event) {
	if arrivedAt := p.closeListCall(e.Begun); arrivedAt >= p.lastAnsweredListCall {
		p.lastAnsweredListCall, p.lastListCallFailed = arrivedAt, false
		p.unreportedCalls = nil
	}
}

// unanswered takes in that a call for the list failed. One that was given up long ago says nothing of those after it. The settings'
// time for asking is for a relay that is answered: a change counts as told heardIn after it was made from then on, and what
// the relay sent meanwhile is judged by that.
func (c *Checker) listCallFailed(e history.Event) {
	relay := c.relay(e.Relay)
	if arrivedAt := relay.closeListCall(e.Begun); arrivedAt < relay.lastAnsweredListCall {
		return
	}
	relay.lastListCallFailed = true
	calls := relay.unreportedCalls
	relay.unreportedCalls = nil
	for _, unreported := range calls {
		c.checkDrainGrace(c.effectiveFrom(relay, unreported.change), "it counts as told to its relay, whose next call for the list failed, that the endpoint drains or is gone", unreported.call, unreported.change)
	}
}

// told takes in an answer of discovery as it is written.
func (c *Checker) listSent(e history.Event) {
	relay := c.relay(e.Relay)
	switch e.How {
	case "between watches", "configuration":
	case history.CutShort: // what was written counts; the call has failed all the same
		c.listCallFailed(e)
	default:
		relay.listAnswered(e)
	}
	for _, change := range c.listChanges {
		if change.Version <= relay.listVersion || change.Version > e.Version {
			continue
		}
		if change.State == "active" {
			delete(relay.reportedAt, change.Endpoint)
		} else if _, ok := relay.reportedAt[change.Endpoint]; !ok {
			relay.reportedAt[change.Endpoint] = e.T
		}
	}
	relay.listVersion = max(relay.listVersion, e.Version)
}

// countsAsTold is when a change that a relay has not heard of counts as told to it all the same, in microseconds.
func (c *Checker) effectiveFrom(relay *relayState, change history.Event) int64 {
	if c.discoveryDown {
		return math.MaxInt64
	}
	knownAt := max(change.T, c.discoveryUpAt, relay.continuedAt)
	askWithin := c.terms.AskWithin.Microseconds()
	switch {
	case relay.lastListCallFailed:
		return knownAt + min(4*askWithin, reportTimeout.Microseconds())
	case len(relay.pendingListCalls) > 0: // if it has fallen silent, it has done so since it came
		oldest := relay.pendingListCalls[0]
		effective := max(knownAt, oldest.arrivedAt) + reportTimeout.Microseconds()
		if oldest.wait > 0 {
			effective = max(effective, oldest.arrivedAt+oldest.wait+watchMargin.Microseconds())
		}
		return effective
	}
	return max(knownAt, relay.lastListCall) + askWithin
}

// drained looks whether an endpoint may be sent anything new.
func (c *Checker) checkDrain(relay *relayState, e history.Event) {
	c.countCheck(Drain)
	if since, ok := relay.reportedAt[e.Endpoint]; ok && c.checkDrainGrace(since, "its relay was told that it drains or is gone", e) {
		return
	}
	if since, ok := relay.disabledAt[e.Endpoint]; ok && c.checkDrainGrace(since, "it was taken out by hand", e) {
		return
	}
	for _, change := range c.listChanges {
		if change.Endpoint != e.Endpoint || change.State == "active" || change.Version <= relay.listVersion {
			continue
		}
		if c.checkDrainGrace(c.effectiveFrom(relay, change), "it counts as told to its relay, which has not heard, that the endpoint drains or is gone", e, change) {
			return
		}
		relay.unreportedCalls = append(relay.unreportedCalls, unreportedCall{e, change})
	}
}

// lateBy tells whether a call went out after the grace from a time on, and breaks the rule then.
func (c *Checker) checkDrainGrace(since int64, reason string, call history.Event, events ...history.Event) bool {
	if since == math.MaxInt64 || call.Begun <= since+c.terms.DrainGrace.Microseconds()+slack {
		return false
	}
	c.addViolation(Drain, call.Begun, call.IDs[0], fmt.Sprintf("it went to an endpoint %.3f s after %s", float64(call.Begun-since)/1e6, reason),
		[]string{call.Relay, call.Endpoint}, append(events, call)...)
	return true
}
