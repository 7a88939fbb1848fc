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
const heardIn = 6 * time.Second

// watchOver is how long after the wait of a watch what it missed counts as told, if that is later than heardIn.
const watchOver = 2 * time.Second

// listCall is a call for the list. Times are microseconds.
type listCall struct{ at, wait int64 }

// ask takes in a call for the list.
func (p *process) ask(e history.Event) {
	p.asked = e.At
	p.listCalls = append(p.listCalls, listCall{e.At, e.LeftMs * ms})
}

// over takes a call for the list off the open ones: the one that came at a time, or the oldest. It returns when it came.
func (p *process) over(came int64) int64 {
	i := slices.IndexFunc(p.listCalls, func(c listCall) bool { return c.at == came })
	if i < 0 && len(p.listCalls) == 0 {
		return came
	}
	i = max(i, 0)
	at := p.listCalls[i].at
	p.listCalls = slices.Delete(p.listCalls, i, i+1)
	return at
}

// unheard is a call to an endpoint that drains or is gone by a change that the relay has not heard of, made while it did not count as told.
type unheard struct{ call, change history.Event }

// answered takes in that a call for the list was answered. What went out before it was within the time that the settings give.
func (p *process) answered(e history.Event) {
	if at := p.over(e.BegunAt); at >= p.listHeard {
		p.listHeard, p.listFailed = at, false
		p.unheard = nil
	}
}

// unanswered takes in that a call for the list failed. One that was given up long ago says nothing of those after it. The settings'
// time for asking is for a relay that is answered: a change counts as told heardIn after it was made from then on, and what
// the relay sent meanwhile is judged by that.
func (c *Checker) unanswered(e history.Event) {
	p := c.proc(e.Relay)
	if at := p.over(e.BegunAt); at < p.listHeard {
		return
	}
	p.listFailed = true
	sent := p.unheard
	p.unheard = nil
	for _, u := range sent {
		c.lateBy(c.countsAsTold(p, u.change), "it counts as told to its relay, whose next call for the list failed, that the endpoint drains or is gone", u.call, u.change)
	}
}

// told takes in an answer of discovery as it is written.
func (c *Checker) told(e history.Event) {
	p := c.proc(e.Relay)
	switch e.Detail {
	case "between watches", "configuration":
	case history.TruncatedAnswer: // what was written counts; the call has failed all the same
		c.unanswered(e)
	default:
		p.answered(e)
	}
	for _, ch := range c.changes {
		if ch.Version <= p.version || ch.Version > e.Version {
			continue
		}
		if ch.State == "active" {
			delete(p.told, ch.Endpoint)
		} else if _, ok := p.told[ch.Endpoint]; !ok {
			p.told[ch.Endpoint] = e.At
		}
	}
	p.version = max(p.version, e.Version)
}

// countsAsTold is when a change that a relay has not heard of counts as told to it all the same, in microseconds.
func (c *Checker) countsAsTold(p *process, change history.Event) int64 {
	if c.listDown {
		return math.MaxInt64
	}
	known := max(change.At, c.listUp, p.continued)
	within := c.terms.AskWithin.Microseconds()
	switch {
	case p.listFailed:
		return known + min(4*within, heardIn.Microseconds())
	case len(p.listCalls) > 0: // if it has fallen silent, it has done so since it came
		oldest := p.listCalls[0]
		at := max(known, oldest.at) + heardIn.Microseconds()
		if oldest.wait > 0 {
			at = max(at, oldest.at+oldest.wait+watchOver.Microseconds())
		}
		return at
	}
	return max(known, p.asked) + within
}

// drained looks whether an endpoint may be sent anything new.
func (c *Checker) drained(p *process, e history.Event) {
	c.looked(Drain)
	if at, ok := p.told[e.Endpoint]; ok && c.lateBy(at, "its relay was told that it drains or is gone", e) {
		return
	}
	if at, ok := p.banned[e.Endpoint]; ok && c.lateBy(at, "it was taken out by hand", e) {
		return
	}
	for _, change := range c.changes {
		if change.Endpoint != e.Endpoint || change.State == "active" || change.Version <= p.version {
			continue
		}
		if c.lateBy(c.countsAsTold(p, change), "it counts as told to its relay, which has not heard, that the endpoint drains or is gone", e, change) {
			return
		}
		p.unheard = append(p.unheard, unheard{e, change})
	}
}

// lateBy tells whether a call went out after the grace from a time on, and breaks the rule then.
func (c *Checker) lateBy(told int64, what string, call history.Event, lines ...history.Event) bool {
	if told == math.MaxInt64 || call.BegunAt <= told+c.terms.DrainGrace.Microseconds()+slack {
		return false
	}
	c.broken(Drain, call.BegunAt, call.IDs[0], fmt.Sprintf("it went to an endpoint %.3f s after %s", float64(call.BegunAt-told)/1e6, what),
		[]string{call.Relay, call.Endpoint}, append(lines, call)...)
	return true
}
