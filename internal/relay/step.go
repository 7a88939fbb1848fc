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
		for _, m := range r.newMessages {
			r.refuse(m, comeBack)
		}
		r.newMessages = nil
		r.flush()
		return
	}
	r.bring()
	if r.wakeDue {
		r.events = append(r.events, choice.Woken{})
	}
	if len(r.events) == 0 {
		r.flush()
		return
	}
	events, now := r.events, r.now()
	r.events = nil
	r.timeFrom(now, events)
	if r.wakeDue {
		r.wakeDue, r.wakeAt = false, 0
	}
	var sends []choice.Send
	for _, action := range r.chooser.Step(now, events) {
		switch action := action.(type) {
		case choice.Send:
			sends = append(sends, action)
		case choice.Refuse:
			r.endUndelivered(action.ID, deferred, min(action.After, r.settings.Load().MaxRetryAfter))
		case choice.Fail:
			r.endUndelivered(action.ID, undeliverable, 0)
		case choice.Cancel:
			if m := r.held[action.ID]; m != nil && m.call != nil {
				m.call.cancel(errCancelled)
			}
		case choice.Wake:
			r.armWake(now, action.After)
		case choice.Health:
			r.record(journal.Record{Op: journal.OpHealth, ID: action.Host, Ran: action.Unwell, Base: action.Base, At: steady.UnixMilli()})
		case choice.Log:
			slog.Info(action.Text)
		}
	}
	r.flush()
	r.acceptNew()
	r.dispatch(sends)
}

// takeOn records what came since the last step, and answers its clients. Only what is in the journal is taken on.
func (r *Relay) acceptNew() {
	for _, m := range r.newMessages {
		if m.over {
			continue
		}
		err := r.bindAfterFlush([]journal.Record{{Op: journal.OpTaken, Entry: m.Entry}}, countIn, func(committed bool) {
			switch {
			case m.over:
			case committed:
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
	r.newMessages = r.newMessages[:0]
	if r.copies != nil {
		r.copies.fresh = 0
	}
}

// arm sets the timer for the earliest wake-up asked for. One that fell due, but whose tick
// the loop has not read yet, no longer counts: the Chooser has asked anew, will not ask
// again before that, and without the guard sleeps until something else comes in.
func (r *Relay) armWake(now, after time.Duration) {
	if at := now + after; r.wakeAt <= now || at < r.wakeAt {
		r.wakeAt = at
		r.wakeTimer.Reset(after) // drops an unread tick
	}
}

// refuse ends a message that was never taken on.
func (r *Relay) refuse(m *message, retryAfter time.Duration) {
	if r.copies != nil && r.journal.Entry(m.ID) != nil { // on disk, but it does not count yet
		r.uncounted(m)
		return
	}
	r.figures.ended(m.Class, refusedEnd)
	r.release(m)
	m.answer(answer{status: http.StatusServiceUnavailable, after: retryAfter, text: "refused"})
}

// final ends a message that the Chooser has given up, at once.
func (r *Relay) endUndelivered(id, status string, retryAfter time.Duration) {
	switch m := r.held[id]; {
	case m == nil:
	case m.fresh != nil:
		r.refuse(m, retryAfter)
	case m.served:
		r.finish(m, servedEnd)
	default:
		r.give(m, notice{ID: id, Status: status, RetryAfterMS: retryAfter.Milliseconds()})
	}
}

// dispatch groups the sends of one Step into calls, records them, and starts them.
func (r *Relay) dispatch(sends []choice.Send) {
	openCalls := map[string]*call{}
	var calls []*call
	wallTime := steady.UnixMilli()
	for _, send := range sends {
		m, host := r.held[send.ID], r.hosts[send.Host]
		if m == nil || host == nil || host.dest != m.Dest || host.closed.Load() {
			if host != nil && host.closed.Load() {
				r.figures.withheld(endpointShut, 1)
			}
			r.events = append(r.events, choice.Result{ID: send.ID, Host: send.Host, Outcome: choice.NotSent})
			continue
		}
		c, size := openCalls[send.Host], frameSize(m)
		if c == nil || len(c.members) >= host.maxPerCall || c.size+size > maxBody { // no body may be longer
			c = &call{host: host}
			openCalls[send.Host] = c
			calls = append(calls, c)
		}
		c.size += size
		c.members, c.sends = append(c.members, m), append(c.sends, send)
	}
	for _, c := range calls {
		var records []journal.Record
		for i, m := range c.members {
			records = append(records, journal.Record{Op: journal.OpTry, ID: m.ID, At: wallTime, Wait: c.sends[i].Timeout.Milliseconds(), Zone: c.host.zone})
		}
		// An attempt that a restart would not know of must not go out.
		recordedAt := time.Now()
		err := r.bindAfterFlush(records, freshIn, func(committed bool) { r.startRecorded(c, recordedAt, committed) })
		if err != nil {
			slog.Error("attempts not sent", "err", err, "remedy", remedy.Of(err))
			r.reportNotSent(c)
		}
	}
}

// unsent tells the decisions that a call does not go.
func (r *Relay) reportNotSent(c *call) {
	for _, send := range c.sends {
		r.events = append(r.events, choice.Result{ID: send.ID, Host: send.Host, Outcome: choice.NotSent})
	}
}

// startCounted starts a call whose record counts, unless something came between: then all of it stays.
func (r *Relay) startRecorded(c *call, recordedAt time.Time, committed bool) {
	if r.copies == nil {
		r.startCall(c)
		return
	}
	waited := time.Since(recordedAt)
	withheld := !committed || waited >= freshIn || r.stopped || r.heir != nil || c.host.closed.Load() ||
		slices.ContainsFunc(c.members, func(m *message) bool { return m.over })
	for i := range c.sends { // a call that lasts to the end of its message's time must end then
		c.sends[i].Timeout -= waited
		withheld = withheld || c.sends[i].Timeout <= 0
	}
	if !withheld {
		c.startBy = recordedAt.Add(freshIn)
		r.startCall(c)
		return
	}
	for _, m := range c.members {
		if !m.over {
			r.record(journal.Record{Op: journal.OpOutcome, ID: m.ID})
		}
	}
	r.reportNotSent(c)
}

// ended takes in what became of one message's attempt.
func (r *Relay) attemptEnded(c *call, m *message, result memberResult, feedback hostFeedback) {
	if m.call != c { // its own time was up before the call's
		if result.outcome == choice.Served {
			r.servedLate(m)
		}
		return
	}
	m.call = nil
	if r.heir != nil {
		r.hostTransport.Load().CloseIdleConnections() // descriptors count for both processes together
		r.heir.send(passed{End: &endPassed{m.ID, result.outcome, result.done, feedback.elapsed, feedback.retryAfter, feedback.loadReport, feedback.staleConn}})
		return
	}
	if feedback.retryAfter > 0 && r.copies != nil { // an heir is to know of it
		r.record(journal.Record{Op: journal.OpWait, ID: c.host.id, At: steady.UnixMilli(), Wait: feedback.retryAfter.Milliseconds()})
	}
	r.events = append(r.events, choice.Result{ID: m.ID, Host: c.host.id, Outcome: result.outcome, Took: feedback.elapsed, Wait: feedback.retryAfter,
		Stale: feedback.staleConn, Report: r.loadReportOf(feedback), Done: result.done || result.outcome == choice.Served})
	if m.over {
		switch {
		case result.outcome != choice.Served:
		case m.gone: // delivered from here all the same; the other finds out by its own call
			r.figures.ended(m.Class, servedEnd)
		default:
			r.servedLate(m)
		}
		return
	}
	if result.done || result.outcome == choice.Served {
		finalEnding := servedEnd
		if result.outcome != choice.Served { // over at the host: out of time
			finalEnding = failedEnd
		}
		r.finish(m, finalEnding)
		return
	}
	neverRan := result.outcome == choice.Refused || result.outcome == choice.NoConnection || result.outcome == choice.NotSent
	r.record(journal.Record{Op: journal.OpOutcome, ID: m.ID, Ran: !neverRan})
}

// finish ends a message that needs no notice.
func (r *Relay) finish(m *message, finalEnding ending) {
	r.figures.ended(m.Class, finalEnding)
	r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
	m.served = finalEnding == servedEnd
	r.drop(m)
}
