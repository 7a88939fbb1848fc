package relay

import (
	"log/slog"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
)

// From the loop's state to the journal, and from there to the sender of notices.

// recordsAtOnce bounds the records of one write: the journal keeps room for about so many beyond what it holds, and makes
// room by what they end.
const recordsAtOnce = 64

// bindInOrder records what something new depends on, unless earlier records could not be written yet: written after it,
// the end of an earlier message would end a new one of the same id, and an outcome would be taken for that of a new attempt.
func (r *Relay) bindInOrder(recs []journal.Record, most time.Duration, then func(counts bool)) error {
	if len(r.pendingRecords) > 0 {
		return errRecordsPending
	}
	return r.bind(recs, most, then)
}

// flush records what has ended. What cannot be written now is kept, and no notice
// goes out before it is: a client told to come again, and a restart that takes the
// message up again, would deliver it twice.
func (r *Relay) flush() {
	if r.nextProcess != nil {
		return // the journal is the next process's
	}
	all := r.pendingRecords
	for len(r.pendingRecords) > 0 {
		part := r.pendingRecords[:min(len(r.pendingRecords), recordsAtOnce)]
		notices := r.noticesOf(part)
		var then func(counts bool)
		if len(notices) > 0 {
			then = r.noticesCounted(notices)
		}
		if err := r.bind(part, 0, then); err != nil {
			if then != nil {
				r.dropUncounted()
			}
			slog.Error("not recorded", "records", len(r.pendingRecords), "err", err, "remedy", remedy.Of(err))
			r.flushAgain()
			return
		}
		r.pendingRecords = r.pendingRecords[len(part):]
		r.unrecordedNotices = r.unrecordedNotices[len(notices):]
	}
	r.pendingRecords = all[:0]
	if len(r.unrecordedNotices) > 0 { // an earlier process recorded them
		r.sendNotices(r.unrecordedNotices, true)
	}
	r.unrecordedNotices = nil
}

// noticesOf are the first of the notices that wait, up to the last one that some records are of. Notices wait in the order
// of their records.
func (r *Relay) noticesOf(records []journal.Record) []notice {
	count := 0
	for _, record := range records {
		if record.Op != journal.OpNotice {
			continue
		}
		for count < len(r.unrecordedNotices) && r.unrecordedNotices[count].ID != record.ID {
			count++ // an earlier process recorded it
		}
		count++
	}
	return r.unrecordedNotices[:min(count, len(r.unrecordedNotices))]
}

// sendNotices has notices go out once their records count.
func (r *Relay) sendNotices(notices []notice, counts bool) {
	if !counts { // another relay ends them
		r.pendingNotices -= len(notices)
		return
	}
	r.notices.add(notices)
}

// rewriteIn is the time from a record that could not be written to the next attempt. What it ends waits for it.
const rewriteIn = 50 * time.Millisecond

// flushAgain has the loop take a turn, and so flush, in a while; one such turn at a time, however many attempts have failed.
func (r *Relay) flushAgain() {
	if r.flushScheduled {
		return
	}
	r.flushScheduled = true
	time.AfterFunc(rewriteIn, func() { r.post(func() { r.flushScheduled = false }) })
}
