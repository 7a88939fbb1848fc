package rules

import (
	"fmt"
	"strings"

	"larchrouter/internal/lab/history"
)

// TakenOver is how a lost machine's relay was followed by others.
type Takeover struct {
	Relay string  `json:"relay"`
	At    float64 `json:"at_s"` // when the machine was lost
	// After is how long it was until all it held had an heir or an end, in seconds; below 0 for never.
	After           float64 `json:"after_s"`
	Successor       string  `json:"heir,omitempty"` // that took up the last of it; empty if all had its end first
	lostAt          int64
	remainingGroups map[string]bool // estates that it had, by the names of their figures, that nobody has yet
}

func (takeover Takeover) String() string {
	switch {
	case takeover.After < 0:
		return fmt.Sprintf("what %s held when it was lost at %.3f s has not been taken over", takeover.Relay, takeover.At)
	case takeover.Successor == "":
		return fmt.Sprintf("%s, lost at %.3f s, owed nothing more after %.3f s", takeover.Relay, takeover.At, takeover.After)
	}
	return fmt.Sprintf("%s, lost at %.3f s, was taken over by %s after %.3f s", takeover.Relay, takeover.At, takeover.Successor, takeover.After)
}

// takeOver is how long it may take, in microseconds; 0 where nobody takes over.
func (c *Checker) takeoverTime() int64 { return c.terms.TakeOver.Microseconds() }

// delayOrphans notes that a relay or a keeper ended, stopped or went on, without which a lost machine's messages may not be taken
// up: their ends that are not overdue yet may come as much later as that takes. No other message has more time for it.
func (c *Checker) extendOrphanDeadlines(at int64) {
	takeover := c.takeoverTime()
	if takeover == 0 {
		return
	}
	for _, message := range c.messages {
		if message.orphan && message.deliveredAt == 0 && message.notice.T == 0 && at <= max(message.dueAt+endSlack, message.extendedUntil) {
			message.extendedUntil = max(message.extendedUntil, at+takeover)
		}
	}
}

// inherited tells whether a relay may go on with what another delivered at a time and could not tell of: it was lost, or cut
// off, not long after, so its holders may not have heard.
func (c *Checker) mayHaveTakenOver(successor, predecessor string, at int64) bool {
	return c.takeoverTime() > 0 && successor != predecessor && c.lastDisruption > 0 && c.lastDisruption >= at-c.takeoverTime()
}

// deliverer is the relay that a message was delivered by; empty for none.
func (m *messageState) deliveredBy() string {
	for _, call := range m.calls {
		if call.status == 200 {
			return call.Relay
		}
	}
	return ""
}

// lost notes that a machine has gone, with what it had.
func (c *Checker) machineLost(e history.Event, relay *relayState) {
	relay.downSince, relay.machineLost, relay.killedAt = e.T, true, e.T
	for _, message := range c.messages {
		message.orphan = message.orphan || message.Relay == e.Proc
	}
	c.extendOrphanDeadlines(e.T)
	c.report.Takeovers = append(c.report.Takeovers, Takeover{Relay: e.Proc, At: float64(e.T) / 1e6, After: -1, lostAt: e.T, remainingGroups: relay.groups})
	relay.groups = nil
}

// tookOver looks whether a relay tells that it has the estate of one that was lost, or whether that owes nothing more.
func (c *Checker) updateTakeovers(e history.Event) {
	groups := map[string]bool{}
	for name, value := range e.Figures {
		if value > 0 && strings.HasPrefix(name, groupMetricPrefix) {
			groups[name] = true
		}
	}
	if relay := c.relay(e.Relay); relay.downSince == 0 {
		relay.groups = groups
	}
	for i := range c.report.Takeovers {
		takeover := &c.report.Takeovers[i]
		if takeover.After >= 0 || e.Whole <= takeover.lostAt {
			continue
		}
		for name := range takeover.remainingGroups {
			if e.Figures[name] > 0 {
				delete(takeover.remainingGroups, name)
				takeover.Successor = e.Relay
			} else if !c.hasPending(groupOwner(name), takeover.lostAt) {
				delete(takeover.remainingGroups, name) // it had run out, perhaps since its figures were read last
			}
		}
		if len(takeover.remainingGroups) > 0 || takeover.Successor == "" && c.hasPending(takeover.Relay, takeover.lostAt) {
			continue
		}
		takeover.After = float64(e.T-takeover.lostAt) / 1e6
	}
}

// estateFigure begins the names of the figures that tell of estates: NAME.NUMBER follows.
const groupMetricPrefix = "svc.estates.of."

// estateOwner is the relay that took on what is in the estate of a figure.
func groupOwner(figure string) string {
	name := strings.TrimPrefix(figure, groupMetricPrefix)
	return name[:max(0, strings.LastIndexByte(name, '.'))]
}

// owes tells whether a message that a relay took on before a time has no end yet.
func (c *Checker) hasPending(relay string, before int64) bool {
	for _, message := range c.messages {
		if message.Relay == relay && message.acceptedAt > 0 && message.T < before && message.deliveredAt == 0 && message.notice.T == 0 {
			return true
		}
	}
	return false
}
