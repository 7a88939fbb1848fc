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
	for _, msg := range r.newMessages {
		if msg.over {
			continue
		}
		err := r.bindAfterFlush([]journal.Record{{Op: journal.OpTaken, Entry: msg.Entry}}, countIn, func(committed bool) {
			switch {
			case msg.over:
			case committed:
				msg.answer(answer{status: http.StatusAccepted})
			default:
				r.uncounted(msg)
			}
		})
		if err != nil {
			slog.Error("message not taken on", "err", err, "remedy", remedy.Of(err))
			r.events = append(r.events, choice.Withdrawn{ID: msg.ID})
			r.refuse(msg, comeBack)
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
func (r *Relay) refuse(msg *message, retryAfter time.Duration) {
	if r.copies != nil && r.journal.Entry(msg.ID) != nil { // on disk, but it does not count yet
		r.uncounted(msg)
		return
	}
	r.figures.ended(msg.Class, refusedEnd)
	r.release(msg)
	msg.answer(answer{status: http.StatusServiceUnavailable, after: retryAfter, text: "refused"})
}

// final ends a message that the Chooser has given up, at once.
func (r *Relay) endUndelivered(id, status string, retryAfter time.Duration) {
	switch msg := r.held[id]; {
	case msg == nil:
	case msg.fresh != nil:
		r.refuse(msg, retryAfter)
	case msg.served:
		r.finish(msg, servedEnd)
	default:
		r.give(msg, notice{ID: id, Status: status, RetryAfterMS: retryAfter.Milliseconds()})
	}
}

// dispatch groups the sends of one Step into calls, records them, and starts them.
func (r *Relay) dispatch(sends []choice.Send) {
	openCalls := map[string]*call{}
	var calls []*call
	wallTime := steady.UnixMilli()
	for _, send := range sends {
		msg, host := r.held[send.ID], r.hosts[send.Host]
		if msg == nil || host == nil || host.dest != msg.Dest || host.closed.Load() {
			if host != nil && host.closed.Load() {
				r.figures.withheld(endpointShut, 1)
			}
			r.events = append(r.events, choice.Result{ID: send.ID, Host: send.Host, Outcome: choice.NotSent})
			continue
		}
		hostCall, size := openCalls[send.Host], frameSize(msg)
		if hostCall == nil || len(hostCall.members) >= host.maxPerCall || hostCall.size+size > maxBody { // no body may be longer
			hostCall = &call{host: host}
			openCalls[send.Host] = hostCall
			calls = append(calls, hostCall)
		}
		hostCall.size += size
		hostCall.members, hostCall.sends = append(hostCall.members, msg), append(hostCall.sends, send)
	}
	for _, hostCall := range calls {
		var records []journal.Record
		for i, msg := range hostCall.members {
			records = append(records, journal.Record{Op: journal.OpTry, ID: msg.ID, At: wallTime, Wait: hostCall.sends[i].Timeout.Milliseconds(), Zone: hostCall.host.zone})
		}
		// An attempt that a restart would not know of must not go out.
		recordedAt := time.Now()
		err := r.bindAfterFlush(records, freshIn, func(committed bool) { r.startRecorded(hostCall, recordedAt, committed) })
		if err != nil {
			slog.Error("attempts not sent", "err", err, "remedy", remedy.Of(err))
			r.reportNotSent(hostCall)
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
func (r *Relay) startRecorded(hostCall *call, recordedAt time.Time, committed bool) {
	if r.copies == nil {
		r.startCall(hostCall)
		return
	}
	waited := time.Since(recordedAt)
	withheld := !committed || waited >= freshIn || r.stopped || r.heir != nil || hostCall.host.closed.Load() ||
		slices.ContainsFunc(hostCall.members, func(m *message) bool { return m.over })
	for i := range hostCall.sends { // a call that lasts to the end of its message's time must end then
		hostCall.sends[i].Timeout -= waited
		withheld = withheld || hostCall.sends[i].Timeout <= 0
	}
	if !withheld {
		hostCall.startBy = recordedAt.Add(freshIn)
		r.startCall(hostCall)
		return
	}
	for _, m := range hostCall.members {
		if !m.over {
			r.record(journal.Record{Op: journal.OpOutcome, ID: m.ID})
		}
	}
	r.reportNotSent(hostCall)
}

// ended takes in what became of one message's attempt.
func (r *Relay) attemptEnded(hostCall *call, msg *message, result memberResult, feedback hostFeedback) {
	if msg.call != hostCall { // its own time was up before the call's
		if result.outcome == choice.Served {
			r.servedLate(msg)
		}
		return
	}
	msg.call = nil
	if r.heir != nil {
		r.hostTransport.Load().CloseIdleConnections() // descriptors count for both processes together
		r.heir.send(passed{End: &endPassed{msg.ID, result.outcome, result.done, feedback.elapsed, feedback.retryAfter, feedback.loadReport, feedback.staleConn}})
		return
	}
	if feedback.retryAfter > 0 && r.copies != nil { // an heir is to know of it
		r.record(journal.Record{Op: journal.OpWait, ID: hostCall.host.id, At: steady.UnixMilli(), Wait: feedback.retryAfter.Milliseconds()})
	}
	r.events = append(r.events, choice.Result{ID: msg.ID, Host: hostCall.host.id, Outcome: result.outcome, Took: feedback.elapsed, Wait: feedback.retryAfter,
		Stale: feedback.staleConn, Report: r.loadReportOf(feedback), Done: result.done || result.outcome == choice.Served})
	if msg.over {
		switch {
		case result.outcome != choice.Served:
		case msg.gone: // delivered from here all the same; the other finds out by its own call
			r.figures.ended(msg.Class, servedEnd)
		default:
			r.servedLate(msg)
		}
		return
	}
	if result.done || result.outcome == choice.Served {
		finalEnding := servedEnd
		if result.outcome != choice.Served { // over at the host: out of time
			finalEnding = failedEnd
		}
		r.finish(msg, finalEnding)
		return
	}
	neverRan := result.outcome == choice.Refused || result.outcome == choice.NoConnection || result.outcome == choice.NotSent
	r.record(journal.Record{Op: journal.OpOutcome, ID: msg.ID, Ran: !neverRan})
}

// finish ends a message that needs no notice.
func (r *Relay) finish(msg *message, finalEnding ending) {
	r.figures.ended(msg.Class, finalEnding)
	r.record(journal.Record{Op: journal.OpEnd, ID: msg.ID})
	msg.served = finalEnding == servedEnd
	r.drop(msg)
}
