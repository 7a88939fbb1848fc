package relay

import (
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/steady"
)

// takeUp has a message of an estate go on. One that another process may have out is left alone until that has ended for
// certain: its time-out, the time in which the call may have gone out, and what clocks differ by.
func (r *Relay) resume(entry *journal.Entry, mayRunElsewhere bool) {
	delay := time.Duration(0)
	if mayRunElsewhere && entry.Out && entry.Status == "" {
		delay = time.Duration(entry.Wait)*time.Millisecond + callStartTimeout
		delay += delay / 100
	}
	if delay == 0 {
		r.resumeNow(entry, false)
		return
	}
	timeLeft := time.Duration(entry.Due-steady.UnixMilli()) * time.Millisecond
	m := &message{Entry: entry, due: r.now() + timeLeft}
	r.pending[entry.ID] = m
	// Its time may be up before that: then it ends by its class, without another try.
	timeLeft -= r.endMargin(lifetimeOf(entry, timeLeft))
	lastAttemptMade := delay >= timeLeft
	time.AfterFunc(min(delay, max(0, timeLeft)), func() {
		r.post(func() {
			if r.pending[entry.ID] == m && !r.stopped && r.nextProcess == nil {
				delete(r.pending, entry.ID)
				r.resumeNow(entry, lastAttemptMade)
			}
		})
	})
}

// timeFrom has messages come to the decisions with the time that is left to them at a step. It may be long after they came to
// the loop: a start takes up what the journal holds before it serves, and a process may get no core meanwhile.
func (r *Relay) updateTimeLeft(now time.Duration, events []choice.Event) {
	for i, event := range events {
		switch e := event.(type) {
		case choice.Arrival:
			if m := r.pending[e.ID]; m != nil {
				e.Left = m.due - now
				events[i] = e
			}
		case choice.Restored:
			if m := r.pending[e.ID]; m != nil {
				events[i] = withTimeLeft(e, m.due-now)
			}
		}
	}
}

// restoredAt is what is known of a message that was taken up, once only so much time is left to it.
func withTimeLeft(restored choice.Restored, timeLeft time.Duration) choice.Restored {
	elapsed := restored.Left - timeLeft
	restored.Left, restored.RanAgo = timeLeft, restored.RanAgo+elapsed
	if restored.Out != nil {
		running := *restored.Out
		running.Ago += elapsed
		restored.Out = &running
	}
	return restored
}

// lifetimeOf is the whole time of a message on record; what is left of it if its terms were not recorded.
func lifetimeOf(entry *journal.Entry, timeLeft time.Duration) time.Duration {
	if entry.Terms != nil {
		return entry.Terms.Class.Deadline
	}
	return timeLeft
}

// toldWaits has the decisions hear of waits that the process before told of.
func (r *Relay) applyRecordedWaits(records []journal.Record) {
	for _, record := range records {
		if record.Op != journal.OpWait {
			continue
		}
		if remaining := time.Duration(record.At+record.Wait-steady.UnixMilli()) * time.Millisecond; remaining > 0 {
			if h := r.hosts[record.ID]; h != nil {
				h.waiting.heed(r.now() + remaining)
			}
			r.events = append(r.events, choice.Waits{Host: record.ID, Left: remaining})
		}
	}
}
