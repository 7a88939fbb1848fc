package relay

import (
	"log/slog"
	"net/http"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// step passes the events received since the last step to the Chooser, and carries out the actions that it returns.
func (r *Relay) step() {
	if r.nextProcess != nil {
		r.events = nil
		return
	}
	r.storeQueued()
	if r.stopped {
		r.events = nil
		for _, m := range r.newMessages {
			r.noteRefusal(m.ID, refusedStopping)
			r.refuse(m, defaultRetryAfter)
		}
		r.newMessages = nil
		r.flush()
		return
	}
	r.loadFromBacklog()
	if r.wakeDue {
		r.events = append(r.events, choice.Woken{})
	}
	if len(r.events) == 0 {
		r.flush()
		return
	}
	events, now := r.events, r.now()
	r.events = nil
	r.updateTimeLeft(now, events)
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
			if m := r.pending[action.ID]; m != nil && m.call != nil {
				m.call.cancel(errCancelled)
			}
		case choice.Wake:
			r.armWake(now, action.After)
		case choice.Health:
			r.record(journal.Record{Op: journal.OpHealth, ID: action.Host, Flag: action.Unwell, Base: action.Base, At: steady.UnixMilli()})
		case choice.UnitChange:
			r.metrics.noteUnitChange(action)
		case choice.Log:
			slog.Info(action.Text)
		}
	}
	r.flush()
	r.acceptNew()
	r.metrics.countSends(sends)
	r.dispatch(sends)
}

// acceptNew records the messages that arrived since the last step, and answers their clients. A message is accepted
// only once it is in the journal.
func (r *Relay) acceptNew() {
	for _, msg := range r.newMessages {
		if msg.ended {
			continue
		}
		err := r.commitInOrder([]journal.Record{{Op: journal.OpAccepted, Entry: msg.Entry}}, commitTimeout, func(committed bool) {
			switch {
			case msg.ended:
			case committed:
				msg.answer(apiResponse{status: http.StatusAccepted})
			default:
				r.endUncommitted(msg)
			}
		})
		if err != nil {
			if suppressed, ok := r.unrecordedErrors.allow(time.Now()); ok {
				slog.Error("message not accepted: could not be recorded", "err", err, "remedy", remedy.Of(err), "others", suppressed)
			}
			r.events = append(r.events, choice.Withdrawn{ID: msg.ID})
			r.noteRefusal(msg.ID, refusedUnrecorded)
			r.refuse(msg, defaultRetryAfter)
		}
	}
	r.newMessages = r.newMessages[:0]
	if r.replication != nil {
		r.replication.unrecordedBytes = 0
	}
}

// armWake sets the timer for the earliest wake-up that was asked for. A wake-up that is due, but whose tick the loop
// has not read yet, no longer counts: the Chooser has asked for its next wake-up since, and does not ask again before
// that. Without this check the loop would sleep until another event arrives.
func (r *Relay) armWake(now, after time.Duration) {
	if at := now + after; r.wakeAt <= now || at < r.wakeAt {
		r.wakeAt = at
		r.wakeTimer.Reset(after) // Reset drops an unread tick
	}
}

// refuse ends a message that was never accepted, and tells its client to retry after the given time.
func (r *Relay) refuse(msg *message, retryAfter time.Duration) {
	if r.replication != nil && r.journal.Entry(msg.ID) != nil { // on disk, but not committed yet
		r.endUncommitted(msg)
		return
	}
	r.metrics.countOutcome(msg.Class, outcomeRefused)
	r.release(msg)
	msg.answer(apiResponse{status: http.StatusServiceUnavailable, retryAfter: retryAfter, text: "refused"})
}

// endUndelivered ends a message that the Chooser has given up. After retryAfter the client may send a deferred message
// again.
func (r *Relay) endUndelivered(id, status string, retryAfter time.Duration) {
	switch msg := r.pending[id]; {
	case msg == nil:
	case msg.unanswered != nil:
		r.noteRefusal(id, refusedByChooser)
		r.refuse(msg, retryAfter)
	case msg.served:
		r.finish(msg, outcomeServed)
	default:
		r.endWithNotice(msg, r.endNotice(msg, status, retryAfter))
	}
}

// attemptEnded handles the result of one message's attempt.
func (r *Relay) attemptEnded(hostCall *call, msg *message, result memberResult, feedback hostFeedback) {
	if msg.call != hostCall { // the message reached its own time-out before the call ended
		if result.outcome == choice.Served {
			r.servedLate(msg)
		}
		return
	}
	msg.call = nil
	logAttempt(hostCall, msg, result.outcome, feedback)
	if r.nextProcess != nil {
		r.hostTransport.Load().CloseIdleConnections() // both processes share the limit on descriptors
		r.nextProcess.send(handoverUpdate{Result: &forwardedResult{msg.ID, result.outcome, result.done, feedback.elapsed, feedback.retryAfter, feedback.loadReport, feedback.staleConn}})
		return
	}
	if feedback.retryAfter > 0 && r.replication != nil { // a successor must know of the wait
		r.record(journal.Record{Op: journal.OpRetryAfter, ID: hostCall.host.id, At: steady.UnixMilli(), WaitMs: feedback.retryAfter.Milliseconds()})
	}
	r.events = append(r.events, choice.Result{ID: msg.ID, Host: hostCall.host.id, Outcome: result.outcome, Took: feedback.elapsed, RetryAfter: feedback.retryAfter,
		StaleConn: feedback.staleConn, Report: r.loadReportOf(feedback), Done: result.done || result.outcome == choice.Served})
	if msg.ended {
		switch {
		case result.outcome != choice.Served:
		case msg.transferred: // delivered by this relay all the same; the relay that took the message over learns of it by its own call
			r.metrics.countOutcome(msg.Class, outcomeServed)
		default:
			r.servedLate(msg)
		}
		return
	}
	if result.done || result.outcome == choice.Served {
		finalEnding := outcomeServed
		if result.outcome != choice.Served { // the endpoint reports that the message's time has expired
			finalEnding = outcomeFailed
		}
		r.finish(msg, finalEnding)
		return
	}
	neverRan := result.outcome == choice.Refused || result.outcome == choice.NoConnection || result.outcome == choice.NotSent
	r.record(journal.Record{Op: journal.OpOutcome, ID: msg.ID, Flag: !neverRan})
}

// finish ends a message that needs no notice.
func (r *Relay) finish(msg *message, finalEnding messageOutcome) {
	r.metrics.countOutcome(msg.Class, finalEnding)
	r.record(journal.Record{Op: journal.OpEnd, ID: msg.ID})
	msg.served = finalEnding == outcomeServed
	r.forget(msg)
}
