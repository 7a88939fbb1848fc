package rules

import (
	"fmt"

	"larchrouter/internal/lab/history"
)

// Messages: what clients heard, and how they ended.

func (c *Checker) hand(e history.Event) {
	m := &msg{Event: e, class: c.classes[e.Class], due: e.At + e.LeftMs*ms, lines: []history.Event{e}}
	if m.class == nil {
		return
	}
	m.want = c.wants[e.FirstID]
	if m.want == nil {
		m.want = &want{at: e.At, class: m.class, tenant: e.Tenant}
		c.wants[e.FirstID] = m.want
		c.later(e.At+c.longest+keepFor, func() { c.settle(e.FirstID) })
	}
	m.want.ids++
	c.msgs[e.ID] = m
	c.later(m.due+endSlack, func() { c.overdue(m) })
}

func (c *Checker) heard(e history.Event) {
	m := c.msgs[e.ID]
	if m == nil || m.left {
		return
	}
	m.lines = append(m.lines, e)
	if e.CompleteAt > 0 { // the time of a request counts from its last byte
		m.due = e.CompleteAt + m.LeftMs*ms
	}
	p := c.proc(e.Relay)
	switch {
	case e.Status == 200 || e.Status == 202:
		m.taken = e.At
		if m.delivered > 0 {
			m.want.deliver(m.delivered)
			p.counts["served"].must.add(m.delivered)
		}
	case e.Status == 429 || e.Status == 503:
		m.refused, m.want.refused = true, true
		if m.Detail != history.HalfClosed { // to its relay such a client has left, and what it wanted need not be counted
			p.counts["refused"].must.add(e.At)
		}
		p.counts["refused"].may.add(e.At)
		c.handedBack(m, e)
	default:
		m.want.failed = true
		p.counts["failed"].may.add(e.At)
	}
}

// hungUp takes in that a client has stopped waiting, or that its connection ended. A request that the relay had read is
// owed an answer, on a new connection as well as on a kept one; only a process that is killed cannot give it.
func (c *Checker) hungUp(e history.Event) {
	m := c.msgs[e.ID]
	if m == nil {
		return
	}
	m.left, m.lines = true, append(m.lines, e)
	p := c.proc(e.Relay)
	for _, name := range []string{"refused", "failed"} { // the relay may count it, though nobody hears its answer
		p.counts[name].may.add(e.At)
	}
	if e.Detail != history.Unanswered {
		return
	}
	c.looked(End)
	if p.killed > 0 && p.killed >= m.At {
		return
	}
	c.broken(End, e.At, m.ID, "its request was read, and its connection closed with no answer", []string{e.Relay}, m.lines...)
	c.report.Lost++
}

// handedBack looks whether a message may be handed in again, as its client was told.
func (c *Checker) handedBack(m *msg, e history.Event) {
	c.looked(Repeat)
	for _, a := range m.calls {
		if a.end > 0 && !a.mayRun() {
			continue
		}
		if m.class.Effect == "at_most_once" || m.class.Effect == "deduplicated" && m.class.SameZone {
			c.broken(Repeat, e.At, m.ID, "it may have run, and its client was told to hand it in again", []string{e.Relay}, append(m.lines, a.Event)...)
			return
		}
	}
}

func (w *want) deliver(at int64) {
	if w.delivered == 0 || at < w.delivered {
		w.delivered = at
	}
}

func (c *Checker) noticed(e history.Event) {
	c.looked(Once)
	m := c.msgs[e.ID]
	if m == nil {
		return // of a message that was over long ago: it does no harm
	}
	procs := []string{e.Relay}
	switch {
	case m.notice.At > 0 && m.notice.Detail != e.Detail:
		c.broken(Once, e.At, m.ID, fmt.Sprintf("it has ended as %s and as %s", m.notice.Detail, e.Detail), procs, append(m.lines, m.notice, e)...)
	case m.notice.At > 0: // told again, for the answer was not heard
		return
	case m.delivered > 0 && !m.crossed() && e.At > m.delivered+slack && !c.restarted(e.Relay, m.delivered, e.At) && !c.inherited(e.Relay, m.deliverer(), m.delivered):
		c.broken(Once, e.At, m.ID, fmt.Sprintf("it was delivered, and %.3f s later told to be %s", float64(e.At-m.delivered)/1e6, e.Detail), procs, append(m.lines, e)...)
	}
	m.notice = e
	if len(m.lines) < linesMost {
		m.lines = append(m.lines, e)
	}
	p := c.proc(e.Relay)
	if m.delivered > 0 && m.taken > 0 { // its time was up as the answer came, and it was counted so
		p.counts["served"].unread++
	}
	if e.Detail == "deferred" {
		c.handedBack(m, e)
		m.want.refused = true
		p.counts["refused"].may.add(e.At)
		if !m.left {
			p.counts["refused"].must.add(e.At)
		}
	} else {
		m.want.failed = true
		p.counts["failed"].may.add(e.At)
		if !m.left {
			p.counts["failed"].must.add(e.At)
		}
	}
}

// restarted tells whether a relay's process ended or began between two times.
func (c *Checker) restarted(relay string, from, to int64) bool {
	p := c.proc(relay)
	return p.down > 0 && p.down <= to || p.resumed > 0 && p.resumed >= from-restart
}

// overdue looks whether a message that was taken on has its end, once it should.
func (c *Checker) overdue(m *msg) {
	p := c.proc(m.Relay)
	if m.taken == 0 {
		c.forget(m)
		return
	}
	if c.excused(p) {
		c.later(c.now+500*ms, func() { c.overdue(m) })
		return
	}
	allowed := m.allowedUntil(p)
	if c.now < allowed {
		c.later(allowed, func() { c.overdue(m) })
		return
	}
	c.looked(End)
	ended := m.delivered
	if m.notice.At > 0 && (ended == 0 || m.notice.At < ended) {
		ended = m.notice.At
	}
	switch {
	case ended == 0:
		c.broken(End, allowed, m.ID, "it was taken on, its time is up, and it has no end", []string{m.Relay}, m.lines...)
		c.report.Lost++
	case ended > allowed:
		c.broken(End, ended, m.ID, fmt.Sprintf("its end came %.3f s late", float64(ended-allowed)/1e6), []string{m.Relay}, m.lines...)
	}
	c.forget(m)
}

// excused tells whether a relay cannot end anything now, by the terms: it restarts, its machine is lost and not taken over
// yet, or the lab has stopped it. One that crashed is not excused.
func (c *Checker) excused(p *process) bool {
	switch {
	case p.down == 0 || p.crashed:
		return false
	case p.lost:
		return c.now <= p.down+c.takeOver()
	}
	return true
}

// allowedUntil is by when a message must have its end: in its time and the slack. Besides, no end is overdue until some time
// after a restart of its relay, nor before a lost machine's messages can be taken over. A relay that the lab had stopped has
// the slack once it goes on, and no more.
func (m *msg) allowedUntil(p *process) int64 {
	allowed := max(m.due+endSlack, m.allowed)
	if p.ready > m.taken {
		allowed = max(allowed, p.ready+restart+slack)
	}
	if p.continued > m.taken {
		allowed = max(allowed, p.continued+endSlack)
	}
	return allowed
}

// forget drops a message some time after it is over: until then it may yet be sent where it must not be.
func (c *Checker) forget(m *msg) { c.later(c.now+keepFor, func() { delete(c.msgs, m.ID) }) }
