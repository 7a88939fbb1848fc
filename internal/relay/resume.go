package relay

import (
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/steady"
)

// resume continues with a message on record. If another process may have an attempt in flight, the message waits
// until that has certainly ended: for the timeout of its call, the time within which the call may still have been sent, and
// 1 % for the difference between clocks.
func (r *Relay) resume(entry *journal.Entry, mayRunElsewhere bool) {
	delay := time.Duration(0)
	if mayRunElsewhere && entry.InFlight && entry.NoticeStatus == "" {
		delay = time.Duration(max(entry.TimeoutMs, entry.CallMs))*time.Millisecond + callStartTimeout
		delay += delay / 100
	}
	if delay == 0 {
		r.resumeNow(entry, false)
		return
	}
	timeLeft := time.Duration(entry.Due-steady.UnixMilli()) * time.Millisecond
	m := &message{Entry: entry, due: r.now() + timeLeft}
	r.pending[entry.ID] = m
	// Its deadline may pass before that. Then it ends as its class says, without another attempt.
	timeLeft -= r.endMargin(lifetimeOf(entry, timeLeft))
	noMoreAttempts := delay >= timeLeft
	time.AfterFunc(min(delay, max(0, timeLeft)), func() {
		r.post(func() {
			if r.pending[entry.ID] == m && !r.stopped && r.nextProcess == nil {
				delete(r.pending, entry.ID)
				r.resumeNow(entry, noMoreAttempts)
			}
		})
	})
}

// updateTimeLeft sets the time left of the messages in events to what it is at this step. A message may have reached
// the loop long before: a start resumes the journal before it serves, and a process may get no CPU time meanwhile.
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

// withTimeLeft returns a restored message as it is once only timeLeft is left to it.
func withTimeLeft(restored choice.Restored, timeLeft time.Duration) choice.Restored {
	elapsed := restored.Left - timeLeft
	restored.Left, restored.FirstRunAgo = timeLeft, restored.FirstRunAgo+elapsed
	if restored.InFlight != nil {
		running := *restored.InFlight
		running.SentAgo += elapsed
		restored.InFlight = &running
	}
	return restored
}

// lifetimeOf returns the full lifetime of a message on record, or what is left of it if its terms were not recorded.
func lifetimeOf(entry *journal.Entry, timeLeft time.Duration) time.Duration {
	if entry.Terms != nil {
		return entry.Terms.Class.Deadline
	}
	return timeLeft
}

// applyRecordedWaits passes the Chooser the waits that hosts asked of the previous process.
func (r *Relay) applyRecordedWaits(records []journal.Record) {
	for _, record := range records {
		if record.Op != journal.OpRetryAfter {
			continue
		}
		if remaining := time.Duration(record.At+record.WaitMs-steady.UnixMilli()) * time.Millisecond; remaining > 0 {
			if h := r.hosts[record.ID]; h != nil {
				h.wait.extend(r.now() + remaining)
			}
			r.events = append(r.events, choice.RetryAfter{Host: record.ID, Remaining: remaining})
		}
	}
}
