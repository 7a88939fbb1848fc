package rules

import (
	"fmt"
	"slices"

	"larchrouter/internal/lab/history"
)

// Calls at endpoints.

func (c *Checker) call(e history.Event) {
	a := &call{Event: e, zone: c.terms.Zones[e.Endpoint]}
	c.calls[e.Call] = a
	p := c.proc(e.Relay)
	c.report.arrived(e)
	c.agreed(e)
	c.looked(Wait)
	for _, w := range p.waits[e.Dest] {
		if e.CompleteAt > w.from+waitGrace && e.CompleteAt < w.until-slack {
			c.broken(Wait, e.CompleteAt, e.IDs[0], fmt.Sprintf("it went to destination %d %.3f s after a wait of %.3f s was told, and %.3f s before its end",
				e.Dest, float64(e.CompleteAt-w.from)/1e6, float64(w.until-w.from)/1e6, float64(w.until-e.CompleteAt)/1e6), []string{e.Relay, e.Endpoint}, e)
			break
		}
	}
	c.drained(p, e)
	for i, id := range e.IDs {
		m := c.msgs[id]
		p.counts["attempts"].must.add(e.At)
		p.counts["attempts"].may.add(e.CompleteAt)
		c.looked(Own)
		switch {
		case m == nil && e.At-e.CompleteAt > keepFor: // a cut held it up for longer than messages are remembered
			continue
		case m == nil:
			c.broken(Own, e.At, id, "no client handed it in, or its time was long over", []string{e.Relay, e.Endpoint}, e)
			continue
		case m.Dest != e.Dest:
			c.broken(Own, e.At, id, fmt.Sprintf("it is for destination %d and went to one of %d", m.Dest, e.Dest), []string{e.Relay, e.Endpoint}, append(m.lines, e)...)
		case i < len(e.BodySums) && e.BodySums[i] != m.BodySum:
			c.broken(Own, e.At, id, "its body or key is not what its client handed in", []string{e.Relay, e.Endpoint}, append(m.lines, e)...)
		}
		c.attempt(m, a)
	}
}

// attempt takes in that a message is part of a call.
func (c *Checker) attempt(m *msg, a *call) {
	lines := func(more ...history.Event) []history.Event {
		return append(append(slices.Clone(m.lines), a.Event), more...)
	}
	procs := []string{a.Relay, a.Endpoint}
	c.looked(Attempts)
	if n := len(m.calls) + 1; n > c.terms.MaxAttempts {
		c.broken(Attempts, a.At, m.ID, fmt.Sprintf("this is attempt %d of %d", n, c.terms.MaxAttempts), procs, lines()...)
	}
	c.looked(Once)
	if m.notice.At > 0 && a.BegunAt > m.notice.At+slack {
		c.broken(Once, a.BegunAt, m.ID, "it was sent after its end was told: "+m.notice.Detail, procs, lines(m.notice)...)
	}
	for _, b := range m.calls {
		c.looked(Twice)
		if b.end == 0 || b.end > a.CompleteAt {
			t := &twins{m.ID, b, a}
			b.twins, a.twins = append(b.twins, t), append(a.twins, t)
		}
		if b.status == 200 && !b.crossed && a.BegunAt > b.end+slack && !c.restarted(a.Relay, b.end, a.BegunAt) && !c.inherited(a.Relay, b.Relay, b.end) {
			c.broken(Once, a.BegunAt, m.ID, "it was sent again after it was delivered", procs, lines(b.Event)...)
		}
		// A call that a cut held up comes after those that were made later.
		first, later := b, a
		if a.CompleteAt < b.CompleteAt {
			first, later = a, b
		}
		if first.end > 0 && !first.mayRun() {
			continue
		}
		c.looked(Repeat)
		window := m.class.Window.Microseconds()
		switch {
		case m.class.Effect == "at_most_once":
			c.broken(Repeat, later.CompleteAt, m.ID, "it may have run, and its class may never be repeated", procs, lines(b.Event)...)
		case m.class.Effect == "deduplicated" && later.CompleteAt > first.CompleteAt+window+slack:
			c.broken(Repeat, later.CompleteAt, m.ID, fmt.Sprintf("it was repeated %.3f s after it may have run, and repeats are dropped for %.3f s",
				float64(later.CompleteAt-first.CompleteAt)/1e6, float64(window)/1e6), procs, lines(b.Event)...)
		case m.class.Effect == "deduplicated" && m.class.SameZone && later.zone != first.zone:
			c.broken(Repeat, later.CompleteAt, m.ID, "it was repeated in a zone that does not know of it", procs, lines(b.Event)...)
		}
	}
	m.calls = append(m.calls, a)
	if len(m.lines) < linesMost {
		m.lines = append(m.lines, a.Event)
	}
}

// overlap judges two calls of one message once the ends of both are known.
func (c *Checker) overlap(t *twins) {
	a, b := t.a, t.b
	if a.end == 0 || b.end == 0 {
		return
	}
	if over := min(a.end, b.end) - max(a.CompleteAt, b.CompleteAt); over > slack {
		c.broken(Twice, max(a.CompleteAt, b.CompleteAt), t.id, fmt.Sprintf("two attempts were out for %.3f s", float64(over)/1e6), []string{a.Relay, a.Endpoint, b.Endpoint},
			a.Event, b.Event, history.Event{At: a.end, Kind: history.CallAbandoned, Call: a.Call, Status: a.status}, history.Event{At: b.end, Kind: history.CallAbandoned, Call: b.Call, Status: b.status})
	}
}

func (c *Checker) answered(e history.Event) {
	a := c.calls[e.Call]
	if a == nil {
		return
	}
	p := c.proc(a.Relay)
	if a.end > 0 {
		if e.Kind == history.CallAbandoned && e.At-a.end <= slack && !a.crossed {
			a.crossed = true // it need not know of what the answer told
			p.waits[a.Dest] = slices.DeleteFunc(p.waits[a.Dest], func(s span) bool { return s.from == a.end })
			p.counts["served"].unread += len(a.IDs)
		}
		return
	}
	a.end, a.status = e.At, e.Status
	for _, t := range a.twins {
		c.overlap(t)
	}
	a.twins = nil
	c.later(e.At+keepFor, func() { delete(c.calls, e.Call) })
	if e.WaitMs > 0 {
		w := p.waits[a.Dest]
		w = slices.DeleteFunc(w, func(s span) bool { return s.until < e.At-keepFor })
		p.waits[a.Dest] = append(w, span{e.At, e.At + e.WaitMs*ms})
	}
	for _, id := range a.IDs {
		m := c.msgs[id]
		if m == nil {
			continue
		}
		if len(m.lines) < linesMost {
			m.lines = append(m.lines, e)
		}
		if e.Status != 200 || m.delivered > 0 {
			continue
		}
		m.delivered = e.At
		p.counts["served"].may.add(e.At)
		if m.taken > 0 {
			m.want.deliver(e.At)
			// Else the relay has counted its end already, or is stopped and may never read it: its time-out comes first.
			if m.notice.At == 0 && p.down == 0 {
				p.counts["served"].must.add(e.At)
			}
		}
	}
}
