package relay

import (
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/steady"
)

// takeUp has a message of an estate go on. One that another process may have out is left alone until that has ended for
// certain: its time-out, the time in which the call may have gone out, and what clocks differ by.
func (r *Relay) takeUp(e *journal.Entry, another bool) {
	wait := time.Duration(0)
	if another && e.InFlight && e.NoticeStatus == "" {
		wait = time.Duration(e.TimeoutMs)*time.Millisecond + freshIn
		wait += wait / 100
	}
	if wait == 0 {
		r.takeUpNow(e, false)
		return
	}
	left := time.Duration(e.Due-steady.UnixMilli()) * time.Millisecond
	m := &message{Entry: e, due: r.now() + left}
	r.held[e.ID] = m
	// Its time may be up before that: then it ends by its class, without another try.
	left -= r.endMargin(lifetimeOf(e, left))
	last := wait >= left
	time.AfterFunc(min(wait, max(0, left)), func() {
		r.post(func() {
			if r.held[e.ID] == m && !r.stopped && r.heir == nil {
				delete(r.held, e.ID)
				r.takeUpNow(e, last)
			}
		})
	})
}

// timeFrom has messages come to the decisions with the time that is left to them at a step. It may be long after they came to
// the loop: a start takes up what the journal holds before it serves, and a process may get no core meanwhile.
func (r *Relay) timeFrom(now time.Duration, events []choice.Event) {
	for i, event := range events {
		switch e := event.(type) {
		case choice.Arrival:
			if m := r.held[e.ID]; m != nil {
				e.Left = m.due - now
				events[i] = e
			}
		case choice.Restored:
			if m := r.held[e.ID]; m != nil {
				events[i] = restoredAt(e, m.due-now)
			}
		}
	}
}

// restoredAt is what is known of a message that was taken up, once only so much time is left to it.
func restoredAt(e choice.Restored, left time.Duration) choice.Restored {
	late := e.Left - left
	e.Left, e.RanAgo = left, e.RanAgo+late
	if e.Out != nil {
		out := *e.Out
		out.Ago += late
		e.Out = &out
	}
	return e
}

// lifetimeOf is the whole time of a message on record; what is left of it if its terms were not recorded.
func lifetimeOf(e *journal.Entry, left time.Duration) time.Duration {
	if e.Terms != nil {
		return e.Terms.Class.Deadline
	}
	return left
}

// toldWaits has the decisions hear of waits that the process before told of.
func (r *Relay) toldWaits(recs []journal.Record) {
	for _, w := range recs {
		if w.Op != journal.OpRetryAfter {
			continue
		}
		if left := time.Duration(w.At+w.WaitMs-steady.UnixMilli()) * time.Millisecond; left > 0 {
			if h := r.hosts[w.ID]; h != nil {
				h.waiting.heed(r.now() + left)
			}
			r.events = append(r.events, choice.Waits{Host: w.ID, Left: left})
		}
	}
}
