package rules

import (
	"fmt"
	"math"
	"slices"
	"time"

	"larchrouter/internal/lab/history"
)

// What discovery sent to each relay, and when a change of the list takes effect for a relay that has not received it.

// reportTimeout is how soon a change takes effect for a relay whose calls for the list fail or stay unanswered,
// counted from when discovery had the change and could be reached.
const reportTimeout = 6 * time.Second

// watchMargin is how long after the wait of a watch call the changes that it missed take effect, if that is later than
// reportTimeout.
const watchMargin = 2 * time.Second

// pendingListCall is a call for the list without an answer. Times are in microseconds.
type pendingListCall struct{ arrivedAt, wait int64 }

// listRequested records a call for the list.
func (r *relayState) listRequested(e history.Event) {
	r.lastListCall = e.At
	r.pendingListCalls = append(r.pendingListCalls, pendingListCall{e.At, e.LeftMs * ms})
}

// closeListCall removes a call for the list from the pending ones: the one that arrived at the given time, or else the
// oldest. It returns the time at which the removed call arrived.
func (r *relayState) closeListCall(arrivedAt int64) int64 {
	i := slices.IndexFunc(r.pendingListCalls, func(c pendingListCall) bool { return c.arrivedAt == arrivedAt })
	if i < 0 && len(r.pendingListCalls) == 0 {
		return arrivedAt
	}
	i = max(i, 0)
	found := r.pendingListCalls[i].arrivedAt
	r.pendingListCalls = slices.Delete(r.pendingListCalls, i, i+1)
	return found
}

// unreportedCall is a call to an endpoint that drains or has been removed by a change that the relay has not received,
// made before that change took effect for the relay.
type unreportedCall struct{ call, change history.Event }

// listAnswered records that a call for the list was answered. Calls to endpoints that were made before it were within
// the time that the settings give.
func (r *relayState) listAnswered(e history.Event) {
	if arrivedAt := r.closeListCall(e.BegunAt); arrivedAt >= r.lastAnsweredListCall {
		r.lastAnsweredListCall, r.lastListCallFailed = arrivedAt, false
		r.unreportedCalls = nil
	}
}

// listCallFailed records that a call for the list failed. A call that was older than the last answered one says
// nothing about later calls. The settings' time for asking (AskWithin) is for a relay that gets answers. After a
// failure a change takes effect at most reportTimeout after it was made, and what the relay has sent in the meantime
// is judged by that.
func (c *Checker) listCallFailed(e history.Event) {
	relay := c.relay(e.Relay)
	if arrivedAt := relay.closeListCall(e.BegunAt); arrivedAt < relay.lastAnsweredListCall {
		return
	}
	relay.lastListCallFailed = true
	calls := relay.unreportedCalls
	relay.unreportedCalls = nil
	for _, unreported := range calls {
		c.checkDrainGrace(c.effectiveFrom(relay, unreported.change), "it counts as told to its relay, whose next call for the list failed, that the endpoint drains or is gone", unreported.call, unreported.change)
	}
}

// listSent records an answer of discovery at the time it is written.
func (c *Checker) listSent(e history.Event) {
	relay := c.relay(e.Relay)
	switch e.Detail {
	case "between watches", "configuration":
	case history.TruncatedAnswer: // what was written counts as received, but the call has failed
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
			relay.reportedAt[change.Endpoint] = e.At
		}
	}
	relay.listVersion = max(relay.listVersion, e.Version)
}

// effectiveFrom returns when a change that a relay has not received takes effect for it nevertheless, in microseconds.
func (c *Checker) effectiveFrom(relay *relayState, change history.Event) int64 {
	if c.discoveryDown {
		return math.MaxInt64
	}
	knownAt := max(change.At, c.discoveryUpAt, relay.continuedAt)
	askWithin := c.terms.AskWithin.Microseconds()
	switch {
	case relay.lastListCallFailed:
		return knownAt + min(4*askWithin, reportTimeout.Microseconds())
	case len(relay.pendingListCalls) > 0: // discovery can be silent only since the oldest of them arrived
		oldest := relay.pendingListCalls[0]
		effective := max(knownAt, oldest.arrivedAt) + reportTimeout.Microseconds()
		if oldest.wait > 0 {
			effective = max(effective, oldest.arrivedAt+oldest.wait+watchMargin.Microseconds())
		}
		return effective
	}
	return max(knownAt, relay.lastListCall) + askWithin
}

// checkDrain checks whether the endpoint of a call may be sent anything new.
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

// checkDrainGrace reports whether a call began after the grace period that starts at the given time, and records a
// violation if so.
func (c *Checker) checkDrainGrace(since int64, reason string, call history.Event, events ...history.Event) bool {
	if since == math.MaxInt64 || call.BegunAt <= since+c.terms.DrainGrace.Microseconds()+slack {
		return false
	}
	c.addViolation(Drain, call.BegunAt, call.IDs[0], fmt.Sprintf("it went to an endpoint %.3f s after %s", float64(call.BegunAt-since)/1e6, reason),
		[]string{call.Relay, call.Endpoint}, append(events, call)...)
	return true
}
