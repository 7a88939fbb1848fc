package rules

import (
	"fmt"
	"strings"

	"larchrouter/internal/lab/history"
)

// Takeover describes how other relays took over from the relay of a lost machine.
type Takeover struct {
	Relay string  `json:"relay"`
	At    float64 `json:"at_s"` // when the machine was lost, in seconds since the start of the run
	// After is the time in seconds until each of its messages had a successor or an end; negative for never.
	After           float64 `json:"after_s"`
	Successor       string  `json:"heir,omitempty"` // the relay that took over the last group; empty if all messages ended first
	lostAt          int64
	remainingGroups map[string]bool // metric names of its replication groups that no relay has taken over yet
}

func (t Takeover) String() string {
	switch {
	case t.After < 0:
		return fmt.Sprintf("what %s held when it was lost at %.3f s has not been taken over", t.Relay, t.At)
	case t.Successor == "":
		return fmt.Sprintf("%s, lost at %.3f s, owed nothing more after %.3f s", t.Relay, t.At, t.After)
	}
	return fmt.Sprintf("%s, lost at %.3f s, was taken over by %s after %.3f s", t.Relay, t.At, t.Successor, t.After)
}

// takeoverTime is the time allowed for taking over from a lost machine, in microseconds; 0 where nobody takes over.
func (c *Checker) takeoverTime() int64 { return c.terms.TakeOver.Microseconds() }

// extendOrphanDeadlines is called when a relay or a keeper ends, stops or continues: without it, the messages of a
// lost machine may not be taken over. Those whose end is not overdue yet get the time of one more takeover from now
// on. No other message gets more time.
func (c *Checker) extendOrphanDeadlines(at int64) {
	takeover := c.takeoverTime()
	if takeover == 0 {
		return
	}
	for _, message := range c.messages {
		if message.orphan && message.deliveredAt == 0 && message.notice.At == 0 && at <= max(message.dueAt+endSlack, message.extendedUntil) {
			message.extendedUntil = max(message.extendedUntil, at+takeover)
		}
	}
}

// mayHaveTakenOver reports whether a relay may go on with a message that another relay delivered at the given time
// without being able to pass that on: the other one was lost or cut off not long after, so its replicas may not have
// received it.
func (c *Checker) mayHaveTakenOver(successor, predecessor string, at int64) bool {
	return c.takeoverTime() > 0 && successor != predecessor && c.lastDisruption > 0 && c.lastDisruption >= at-c.takeoverTime()
}

// deliveredBy returns the relay that delivered the message; empty for none.
func (m *messageState) deliveredBy() string {
	for _, call := range m.calls {
		if call.status == 200 {
			return call.Relay
		}
	}
	return ""
}

// machineLost records that a machine is lost, and which replication groups its relay had.
func (c *Checker) machineLost(e history.Event, relay *relayState) {
	relay.downSince, relay.machineLost, relay.killedAt = e.At, true, e.At
	for _, message := range c.messages {
		message.orphan = message.orphan || message.Relay == e.Proc
	}
	c.extendOrphanDeadlines(e.At)
	c.report.Takeovers = append(c.report.Takeovers, Takeover{Relay: e.Proc, At: float64(e.At) / 1e6, After: -1, lostAt: e.At, remainingGroups: relay.groups})
	relay.groups = nil
}

// updateTakeovers checks whether a relay's metrics show that it has taken over a group of a lost relay, or whether no
// message of that group is pending any more.
func (c *Checker) updateTakeovers(e history.Event) {
	groups := map[string]bool{}
	for name, value := range e.Values {
		if value > 0 && strings.HasPrefix(name, groupMetricPrefix) {
			groups[name] = true
		}
	}
	if relay := c.relay(e.Relay); relay.downSince == 0 {
		relay.groups = groups
	}
	for i := range c.report.Takeovers {
		takeover := &c.report.Takeovers[i]
		if takeover.After >= 0 || e.CompleteAt <= takeover.lostAt {
			continue
		}
		for name := range takeover.remainingGroups {
			if e.Values[name] > 0 {
				delete(takeover.remainingGroups, name)
				takeover.Successor = e.Relay
			} else if !c.hasPending(groupOwner(name), takeover.lostAt) {
				delete(takeover.remainingGroups, name) // it had ended, perhaps since the metrics were last read
			}
		}
		if len(takeover.remainingGroups) > 0 || takeover.Successor == "" && c.hasPending(takeover.Relay, takeover.lostAt) {
			continue
		}
		takeover.After = float64(e.At-takeover.lostAt) / 1e6
	}
}

// groupMetricPrefix begins the names of the metrics for replication groups; OWNER.NUMBER follows.
const groupMetricPrefix = "svc.estates.of."

// groupOwner returns the relay that accepted the messages of the group that a metric names.
func groupOwner(metric string) string {
	group := strings.TrimPrefix(metric, groupMetricPrefix)
	return group[:max(0, strings.LastIndexByte(group, '.'))]
}

// hasPending reports whether a message that the relay accepted before the given time has no end yet.
func (c *Checker) hasPending(relay string, before int64) bool {
	for _, message := range c.messages {
		if message.Relay == relay && message.acceptedAt > 0 && message.At < before && message.deliveredAt == 0 && message.notice.At == 0 {
			return true
		}
	}
	return false
}
