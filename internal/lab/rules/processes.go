package rules

import (
	"cmp"
	"fmt"
	"math"
	"strings"

	"larchrouter/internal/lab/history"
)

// Relays: what they were told, how they ran, what they tell of themselves.

func (c *Checker) process(e history.Event) {
	if e.Detail != "start" && e.Detail != "exit" { // a keeper's, too: who leads anew waits for a lease
		c.trouble = e.At
		c.delayOrphans(e.At)
	}
	if !strings.HasPrefix(e.Proc, "relay/") {
		return
	}
	p := c.proc(e.Proc)
	c.looked(Process)
	switch e.Detail {
	case "start":
		p.starts++
		p.lost, p.crashed = false, false
		if e.Text != "beside" {
			p.waits = map[int][]span{} // a restart ends them
		}
		if len(p.listCalls) > 0 { // the process that made them has ended
			p.listCalls, p.listFailed = nil, true
		}
	case "ready", "cont":
		if p.starts > 1 || e.Detail == "cont" {
			p.resumed = e.At
		}
		for _, told := range []map[string]int64{p.told, p.banned} {
			for name, at := range told { // one that is stopped hears nothing until it goes on
				if p.down > 0 && at >= p.down {
					told[name] = e.At
				}
			}
		}
		p.down = 0
		if e.Detail == "cont" {
			p.continued = e.At
		} else {
			p.ready = e.At
		}
	case "stop":
		p.down = e.At
	case "term", "kill":
		if e.Detail == "kill" {
			p.killed = e.At
		}
		if e.Text != "handed over" {
			p.down = e.At
		}
	case "lose":
		c.lost(e, p)
	case "crash":
		p.down, p.crashed = e.At, true
		c.broken(Process, e.At, "", cmp.Or(e.Text, "it ended unasked"), []string{e.Proc}, e)
	}
}

// fell judges a destination in slow start that got too much, whoever sent it.
func (c *Checker) fell(e history.Event) {
	c.looked(Cold)
	if calls, allowed := e.Values["calls"], e.Values["allowed"]; calls > history.SlowStartMaxCalls(allowed) {
		c.broken(Cold, e.At, "", fmt.Sprintf("destination %d, back and cold, was pushed over: %s", e.Dest, e.Text), nil, e)
	}
}

// stranger looks whether a peer that is no client got what it is owed. One that a stop, a restart or an end of the
// relay came between is not judged.
func (c *Checker) stranger(e history.Event) {
	p := c.proc(e.Relay)
	if p.down > 0 || p.resumed >= e.BegunAt {
		return
	}
	c.looked(Strange)
	took := e.At - e.BegunAt
	switch {
	case e.Status > 0 && e.Status < 400:
		c.broken(Strange, e.At, "", fmt.Sprintf("a peer that sent %s was answered %d", e.Detail, e.Status), []string{e.Relay}, e)
	case e.State == "waits" || took > e.LeftMs*ms+slack:
		c.broken(Strange, e.At, "", fmt.Sprintf("a peer that sent %s had neither an error nor a close after %.3f s", e.Detail, float64(took)/1e6), []string{e.Relay}, e)
	}
}

func (c *Checker) sample(e history.Event) {
	limits, ok := c.terms.Limits[e.Proc]
	if !ok {
		return
	}
	c.looked(Process)
	for name, most := range map[string]float64{"memory_mb": limits.MemoryMB, "descriptors": limits.Sockets, "disk_mb": limits.DiskMB} {
		if v := e.Values[name]; v > most {
			c.broken(Process, e.At, "", fmt.Sprintf("%s is %.1f, of %.1f", name, v, most), []string{e.Proc}, e)
		}
	}
	c.report.use(e)
}

// figures holds what a relay tells of itself against what was seen. Only of one that has run from the start are
// all counts known.
func (c *Checker) figures(e history.Event) {
	p := c.proc(e.Relay)
	if p.starts != 1 || p.resumed > e.CompleteAt-2*lag { // one that stood still has yet to read what came meanwhile
		return
	}
	// A message may be counted a little before its end is seen.
	c.later(e.At+lag, func() { c.compare(p, e) })
}

func (c *Checker) compare(p *process, e history.Event) {
	c.looked(Figures)
	told := map[string]float64{"attempts": e.Values["svc.attempts"]}
	for name, v := range e.Values {
		for _, end := range []string{"served", "refused", "failed"} {
			if strings.HasPrefix(name, "svc.requests.") && strings.HasSuffix(name, "."+end) {
				told[end] += v
			}
		}
	}
	for name, k := range p.counts {
		part := 0.01
		if name == "attempts" {
			part = 0.02
		}
		least, most := float64(max(0, k.must.at(e.CompleteAt-lag)-k.unread)), float64(k.may.at(e.At+lag))
		if name == "attempts" && c.lossy {
			most = math.Inf(1)
		}
		if v := told[name]; v < least-max(3, part*least) || v > most+max(3, part*most) {
			c.broken(Figures, e.At, "", fmt.Sprintf("%s is told to be %.0f and is %.0f to %.0f", name, v, least, most), []string{e.Relay}, e)
		}
	}
}
