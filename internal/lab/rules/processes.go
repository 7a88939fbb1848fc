package rules

import (
	"cmp"
	"fmt"
	"math"
	"strings"

	"larchrouter/internal/lab/history"
)

// Relays: the events of their processes, their use of resources and their metrics.

// processChanged records that a process has started, become ready, been stopped or ended.
func (c *Checker) processChanged(e history.Event) {
	if e.Detail != "start" && e.Detail != "exit" { // also for keepers: a new leader first waits for a lease to expire
		c.lastDisruption = e.At
		c.extendOrphanDeadlines(e.At)
	}
	if !strings.HasPrefix(e.Proc, "relay/") {
		return
	}
	relay := c.relay(e.Proc)
	c.countCheck(Process)
	switch e.Detail {
	case "start":
		relay.starts++
		relay.machineLost, relay.crashed = false, false
		if e.Text != "beside" {
			relay.waits = map[int][]timeSpan{} // a restart ends the waits; an upgrade does not
		}
		if len(relay.pendingListCalls) > 0 { // the process that made these calls has ended
			relay.pendingListCalls, relay.lastListCallFailed = nil, true
		}
	case "ready", "cont":
		if relay.starts > 1 || e.Detail == "cont" {
			relay.resumedAt = e.At
		}
		for _, times := range []map[string]int64{relay.reportedAt, relay.disabledAt} {
			for name, at := range times { // a relay that was stopped reads nothing until it continues
				if relay.downSince > 0 && at >= relay.downSince {
					times[name] = e.At
				}
			}
		}
		relay.downSince = 0
		if e.Detail == "cont" {
			relay.continuedAt = e.At
		} else {
			relay.readyAt = e.At
		}
	case "stop":
		relay.downSince = e.At
	case "term", "kill":
		if e.Detail == "kill" {
			relay.killedAt = e.At
		}
		if e.Text != "handed over" {
			relay.downSince = e.At
		}
	case "lose":
		c.machineLost(e, relay)
	case "crash":
		relay.downSince, relay.crashed = e.At, true
		c.addViolation(Process, e.At, "", cmp.Or(e.Text, "it ended unasked"), []string{e.Proc}, e)
	}
}

// slowStartExceeded judges a destination in slow start that received too many calls, whoever sent them.
func (c *Checker) slowStartExceeded(e history.Event) {
	c.countCheck(Cold)
	if calls, allowed := e.Values["calls"], e.Values["allowed"]; calls > history.SlowStartMaxCalls(allowed) {
		c.addViolation(Cold, e.At, "", fmt.Sprintf("destination %d, back and cold, was pushed over: %s", e.Dest, e.Text), nil, e)
	}
}

// strangerEnded checks whether a peer that is no client got an error or a close in time. It is not judged if a stop, a
// restart or an end of the relay came in between.
func (c *Checker) strangerEnded(e history.Event) {
	relay := c.relay(e.Relay)
	if relay.downSince > 0 || relay.resumedAt >= e.BegunAt {
		return
	}
	c.countCheck(Strange)
	took := e.At - e.BegunAt
	switch {
	case e.Status > 0 && e.Status < 400:
		c.addViolation(Strange, e.At, "", fmt.Sprintf("a peer that sent %s was answered %d", e.Detail, e.Status), []string{e.Relay}, e)
	case e.State == "waits" || took > e.LeftMs*ms+slack:
		c.addViolation(Strange, e.At, "", fmt.Sprintf("a peer that sent %s had neither an error nor a close after %.3f s", e.Detail, float64(took)/1e6), []string{e.Relay}, e)
	}
}

// checkUsage compares a process's use of resources with its limits, and adds it to the report.
func (c *Checker) checkUsage(e history.Event) {
	limits, ok := c.terms.Limits[e.Proc]
	if !ok {
		return
	}
	c.countCheck(Process)
	for name, limit := range map[string]float64{"memory_mb": limits.MemoryMB, "peak_memory_mb": limits.MemoryMB, "descriptors": limits.Sockets, "disk_mb": limits.DiskMB} {
		if value := e.Values[name]; value > limit {
			c.addViolation(Process, e.At, "", fmt.Sprintf("%s is %.1f, of %.1f", name, value, limit), []string{e.Proc}, e)
		}
	}
	c.report.addSample(e)
}

// metricsRead compares a relay's metrics with what was observed. All counts are known only of a relay that has run
// since the start.
func (c *Checker) metricsRead(e history.Event) {
	relay := c.relay(e.Relay)
	if relay.starts != 1 || relay.resumedAt > e.CompleteAt-2*metricsLag { // it has yet to read what arrived during the pause
		return
	}
	// A relay may count a message a little before the lab observes its end.
	c.schedule(e.At+metricsLag, func() { c.compareMetrics(relay, e) })
}

// compareMetrics checks that the values that a relay reports are within the bounds of what was observed. The tolerance
// is 1 % (2 % for attempts), but at least 3.
func (c *Checker) compareMetrics(relay *relayState, e history.Event) {
	c.countCheck(Figures)
	reported := map[string]float64{"attempts": e.Values["svc.attempts"]}
	for name, value := range e.Values {
		for _, outcome := range []string{"served", "refused", "failed"} {
			if strings.HasPrefix(name, "svc.requests.") && strings.HasSuffix(name, "."+outcome) {
				reported[outcome] += value
			}
		}
	}
	for name, bounds := range relay.counters {
		tolerance := 0.01
		if name == "attempts" {
			tolerance = 0.02
		}
		least, most := float64(max(0, bounds.least.countAt(e.CompleteAt-metricsLag)-bounds.maybeUnread)), float64(bounds.most.countAt(e.At+metricsLag))
		if name == "attempts" && c.lossy {
			most = math.Inf(1)
		}
		if value := reported[name]; value < least-max(3, tolerance*least) || value > most+max(3, tolerance*most) {
			c.addViolation(Figures, e.At, "", fmt.Sprintf("%s is told to be %.0f and is %.0f to %.0f", name, value, least, most), []string{e.Relay}, e)
		}
	}
}
