package rules

import (
	"cmp"
	"fmt"
	"math"
	"strings"

	"larchrouter/internal/lab/history"
)

// Relays: what they were told, how they ran, what they tell of themselves.

func (c *Checker) processChanged(e history.Event) {
	if e.How != "start" && e.How != "exit" { // a keeper's, too: who leads anew waits for a lease
		c.lastDisruption = e.T
		c.extendOrphanDeadlines(e.T)
	}
	if !strings.HasPrefix(e.Proc, "relay/") {
		return
	}
	relay := c.relay(e.Proc)
	c.countCheck(Process)
	switch e.How {
	case "start":
		relay.starts++
		relay.machineLost, relay.crashed = false, false
		if e.Text != "beside" {
			relay.waits = map[int][]timeSpan{} // a restart ends them
		}
		if len(relay.pendingListCalls) > 0 { // the process that made them has ended
			relay.pendingListCalls, relay.lastListCallFailed = nil, true
		}
	case "ready", "cont":
		if relay.starts > 1 || e.How == "cont" {
			relay.resumedAt = e.T
		}
		for _, times := range []map[string]int64{relay.reportedAt, relay.disabledAt} {
			for name, at := range times { // one that is stopped hears nothing until it goes on
				if relay.downSince > 0 && at >= relay.downSince {
					times[name] = e.T
				}
			}
		}
		relay.downSince = 0
		if e.How == "cont" {
			relay.continuedAt = e.T
		} else {
			relay.readyAt = e.T
		}
	case "stop":
		relay.downSince = e.T
	case "term", "kill":
		if e.How == "kill" {
			relay.killedAt = e.T
		}
		if e.Text != "handed over" {
			relay.downSince = e.T
		}
	case "lose":
		c.machineLost(e, relay)
	case "crash":
		relay.downSince, relay.crashed = e.T, true
		c.addViolation(Process, e.T, "", cmp.Or(e.Text, "it ended unasked"), []string{e.Proc}, e)
	}
}

// fell judges a destination in slow start that got too much, whoever sent it.
func (c *Checker) slowStartExceeded(e history.Event) {
	c.countCheck(Cold)
	if calls, allowed := e.Figures["calls"], e.Figures["allowed"]; calls > history.SlowStartMost(allowed) {
		c.addViolation(Cold, e.T, "", fmt.Sprintf("destination %d, back and cold, was pushed over: %s", e.Dest, e.Text), nil, e)
	}
}

// stranger looks whether a peer that is no client got what it is owed. One that a stop, a restart or an end of the
// relay came between is not judged.
func (c *Checker) strangerEnded(e history.Event) {
	relay := c.relay(e.Relay)
	if relay.downSince > 0 || relay.resumedAt >= e.Begun {
		return
	}
	c.countCheck(Strange)
	took := e.T - e.Begun
	switch {
	case e.Status > 0 && e.Status < 400:
		c.addViolation(Strange, e.T, "", fmt.Sprintf("a peer that sent %s was answered %d", e.How, e.Status), []string{e.Relay}, e)
	case e.State == "waits" || took > e.Left*ms+slack:
		c.addViolation(Strange, e.T, "", fmt.Sprintf("a peer that sent %s had neither an error nor a close after %.3f s", e.How, float64(took)/1e6), []string{e.Relay}, e)
	}
}

func (c *Checker) checkUsage(e history.Event) {
	limits, ok := c.terms.Limits[e.Proc]
	if !ok {
		return
	}
	c.countCheck(Process)
	for name, limit := range map[string]float64{"memory_mb": limits.MemoryMB, "descriptors": limits.Sockets, "disk_mb": limits.DiskMB} {
		if value := e.Figures[name]; value > limit {
			c.addViolation(Process, e.T, "", fmt.Sprintf("%s is %.1f, of %.1f", name, value, limit), []string{e.Proc}, e)
		}
	}
	c.report.addSample(e)
}

// figures holds what a relay tells of itself against what was seen. Only of one that has run from the start are
// all counts known.
func (c *Checker) metricsRead(e history.Event) {
	relay := c.relay(e.Relay)
	if relay.starts != 1 || relay.resumedAt > e.Whole-2*metricsLag { // one that stood still has yet to read what came meanwhile
		return
	}
	// A message may be counted a little before its end is seen.
	c.schedule(e.T+metricsLag, func() { c.compareMetrics(relay, e) })
}

func (c *Checker) compareMetrics(relay *relayState, e history.Event) {
	c.countCheck(Figures)
	reported := map[string]float64{"attempts": e.Figures["svc.attempts"]}
	for name, value := range e.Figures {
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
		least, most := float64(max(0, bounds.least.countAt(e.Whole-metricsLag)-bounds.maybeUnread)), float64(bounds.most.countAt(e.T+metricsLag))
		if name == "attempts" && c.lossy {
			most = math.Inf(1)
		}
		if value := reported[name]; value < least-max(3, tolerance*least) || value > most+max(3, tolerance*most) {
			c.addViolation(Figures, e.T, "", fmt.Sprintf("%s is told to be %.0f and is %.0f to %.0f", name, value, least, most), []string{e.Relay}, e)
		}
	}
}
