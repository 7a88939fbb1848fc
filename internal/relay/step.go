package relay

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// step lets the Chooser decide on what has come in, and carries its actions out.
func (r *Relay) step() {
	if r.heir != nil {
		r.events = nil
		return
	}
	r.putFresh()
	if r.stopped {
		r.events = nil
		for _, m := range r.fresh {
			r.refuse(m, comeBack)
		}
		r.fresh = nil
		r.flush()
		return
	}
	r.bring()
	if r.woken {
		r.events = append(r.events, choice.Woken{})
	}
	if len(r.events) == 0 {
		r.flush()
		return
	}
	events, now := r.events, r.now()
	r.events = nil
	r.timeFrom(now, events)
	if r.woken {
		r.woken, r.wakeAt = false, 0
	}
	var sends []choice.Send
	for _, a := range r.chooser.Step(now, events) {
		switch a := a.(type) {
		case choice.Send:
			sends = append(sends, a)
		case choice.Refuse:
			r.final(a.ID, deferred, min(a.After, r.set.Load().MaxRetryAfter))
		case choice.Fail:
			r.final(a.ID, undeliverable, 0)
		case choice.Cancel:
			if m := r.held[a.ID]; m != nil && m.call != nil {
				m.call.cancel(errCalled)
			}
		case choice.Wake:
			r.arm(now, a.After)
		case choice.Health:
			r.record(journal.Record{Op: journal.OpHealth, ID: a.Host, Flag: a.Unwell, Base: a.Base, At: steady.UnixMilli()})
		case choice.Log:
			slog.Info(a.Text)
		}
	}
	r.flush()
	r.takeOn()
	r.dispatch(sends)
}

// takeOn records what came since the last step, and answers its clients. Only what is in the journal is taken on.
func (r *Relay) takeOn() {
	for _, m := range r.fresh {
		if m.over {
			continue
		}
		err := r.bindInOrder([]journal.Record{{Op: journal.OpAccepted, Entry: m.Entry}}, countIn, func(counts bool) {
			switch {
			case m.over:
			case counts:
				m.answer(answer{status: http.StatusAccepted})
			default:
				r.uncounted(m)
			}
		})
		if err != nil {
			slog.Error("message not taken on", "err", err, "remedy", remedy.Of(err))
			r.events = append(r.events, choice.Withdrawn{ID: m.ID})
			r.refuse(m, comeBack)
		}
	}
	r.fresh = r.fresh[:0]
	if r.copies != nil {
		r.copies.fresh = 0
	}
}

// arm sets the timer for the earliest wake-up asked for. One that fell due, but whose tick
// the loop has not read yet, no longer counts: the Chooser has asked anew, will not ask
// again before that, and without the guard sleeps until something else comes in.
func (r *Relay) arm(now, after time.Duration) {
	if at := now + after; r.wakeAt <= now || at < r.wakeAt {
		r.wakeAt = at
		r.wake.Reset(after) // drops an unread tick
	}
}

// refuse ends a message that was never taken on.
func (r *Relay) refuse(m *message, after time.Duration) {
	if r.copies != nil && r.journal.Entry(m.ID) != nil { // on disk, but it does not count yet
		r.uncounted(m)
		return
	}
	r.figures.ended(m.Class, refusedEnd)
	r.release(m)
	m.answer(answer{status: http.StatusServiceUnavailable, after: after, text: "refused"})
}

// final ends a message that the Chooser has given up, at once.
func (r *Relay) final(id, status string, after time.Duration) {
	switch m := r.held[id]; {
	case m == nil:
	case m.fresh != nil:
		r.refuse(m, after)
	case m.served:
		r.finish(m, servedEnd)
	default:
		r.give(m, notice{ID: id, Status: status, Again: after.Milliseconds()})
	}
}

// dispatch groups the sends of one Step into calls, records them, and starts them.
func (r *Relay) dispatch(sends []choice.Send) {
	open := map[string]*call{}
	var calls []*call
	wall := steady.UnixMilli()
	for _, s := range sends {
		m, h := r.held[s.ID], r.hosts[s.Host]
		if m == nil || h == nil || h.dest != m.Dest || h.closed.Load() {
			if h != nil && h.closed.Load() {
				r.figures.withheld(endpointShut, 1)
			}
			r.events = append(r.events, choice.Result{ID: s.ID, Host: s.Host, Outcome: choice.NotSent})
			continue
		}
		c, size := open[s.Host], frameSize(m)
		if c == nil || len(c.members) >= h.perCall || c.size+size > maxBody { // no body may be longer
			c = &call{host: h}
			open[s.Host] = c
			calls = append(calls, c)
		}
		c.size += size
		c.members, c.sends = append(c.members, m), append(c.sends, s)
	}
	for _, c := range calls {
		var recs []journal.Record
		for i, m := range c.members {
			recs = append(recs, journal.Record{Op: journal.OpTry, ID: m.ID, At: wall, WaitMs: c.sends[i].Timeout.Milliseconds(), Zone: c.host.zone})
		}
		// An attempt that a restart would not know of must not go out.
		written := time.Now()
		err := r.bindInOrder(recs, freshIn, func(counts bool) { r.startCounted(c, written, counts) })
		if err != nil {
			slog.Error("attempts not sent", "err", err, "remedy", remedy.Of(err))
			r.unsent(c)
		}
	}
}

// unsent tells the decisions that a call does not go.
func (r *Relay) unsent(c *call) {
	for _, s := range c.sends {
		r.events = append(r.events, choice.Result{ID: s.ID, Host: s.Host, Outcome: choice.NotSent})
	}
}

// startCounted starts a call whose record counts, unless something came between: then all of it stays.
func (r *Relay) startCounted(c *call, written time.Time, counts bool) {
	if r.copies == nil {
		r.start(c)
		return
	}
	waited := time.Since(written)
	late := !counts || waited >= freshIn || r.stopped || r.heir != nil || c.host.closed.Load() ||
		slices.ContainsFunc(c.members, func(m *message) bool { return m.over })
	for i := range c.sends { // a call that lasts to the end of its message's time must end then
		c.sends[i].Timeout -= waited
		late = late || c.sends[i].Timeout <= 0
	}
	if !late {
		c.fresh = written.Add(freshIn)
		r.start(c)
		return
	}
	for _, m := range c.members {
		if !m.over {
			r.record(journal.Record{Op: journal.OpOutcome, ID: m.ID})
		}
	}
	r.unsent(c)
}

// ended takes in what became of one message's attempt.
func (r *Relay) ended(c *call, m *message, e end, t told) {
	if m.call != c { // its own time was up before the call's
		if e.outcome == choice.Served {
			r.servedLate(m)
		}
		return
	}
	m.call = nil
	if r.heir != nil {
		r.hostSide.Load().CloseIdleConnections() // descriptors count for both processes together
		r.heir.send(passed{End: &endPassed{m.ID, e.outcome, e.done, t.took, t.wait, t.report, t.stale}})
		return
	}
	if t.wait > 0 && r.copies != nil { // an heir is to know of it
		r.record(journal.Record{Op: journal.OpRetryAfter, ID: c.host.id, At: steady.UnixMilli(), WaitMs: t.wait.Milliseconds()})
	}
	r.events = append(r.events, choice.Result{ID: m.ID, Host: c.host.id, Outcome: e.outcome, Took: t.took, Wait: t.wait,
		Stale: t.stale, Report: r.reportOf(t), Done: e.done || e.outcome == choice.Served})
	if m.over {
		switch {
		case e.outcome != choice.Served:
		case m.gone: // delivered from here all the same; the other finds out by its own call
			r.figures.ended(m.Class, servedEnd)
		default:
			r.servedLate(m)
		}
		return
	}
	if e.done || e.outcome == choice.Served {
		how := servedEnd
		if e.outcome != choice.Served { // over at the host: out of time
			how = failedEnd
		}
		r.finish(m, how)
		return
	}
	never := e.outcome == choice.Refused || e.outcome == choice.NoConnection || e.outcome == choice.NotSent
	r.record(journal.Record{Op: journal.OpOutcome, ID: m.ID, Flag: !never})
}

// finish ends a message that needs no notice.
func (r *Relay) finish(m *message, how ending) {
	r.figures.ended(m.Class, how)
	r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
	m.served = how == servedEnd
	r.drop(m)
}
