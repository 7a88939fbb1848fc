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
const maxRecordsPerWrite = 64

// bindInOrder records what something new depends on, unless earlier records could not be written yet: written after it,
// the end of an earlier message would end a new one of the same id, and an outcome would be taken for that of a new attempt.
func (r *Relay) bindAfterFlush(records []journal.Record, maxWait time.Duration, then func(committed bool)) error {
	if len(r.records) > 0 {
		return errUnwritten
	}
	return r.bind(records, maxWait, then)
}

// flush records what has ended. What cannot be written now is kept, and no notice
// goes out before it is: a client told to come again, and a restart that takes the
// message up again, would deliver it twice.
func (r *Relay) flush() {
	if r.heir != nil {
		return // the journal is the next process's
	}
	all := r.records
	for len(r.records) > 0 {
		batch := r.records[:min(len(r.records), maxRecordsPerWrite)]
		notices := r.noticesFor(batch)
		var then func(counts bool)
		if len(notices) > 0 {
			then = r.whenNoticesCommitted(notices)
		}
		if err := r.bind(batch, 0, then); err != nil {
			if then != nil {
				r.dropUncommittedNotices()
			}
			slog.Error("not recorded", "records", len(r.records), "err", err, "remedy", remedy.Of(err))
			r.scheduleFlush()
			return
		}
		r.records = r.records[len(batch):]
		r.untold = r.untold[len(notices):]
	}
	r.records = all[:0]
	if len(r.untold) > 0 { // an earlier process recorded them
		r.sendNotices(r.untold, true)
	}
	r.untold = nil
}

// noticesOf are the first of the notices that wait, up to the last one that some records are of. Notices wait in the order
// of their records.
func (r *Relay) noticesFor(records []journal.Record) []notice {
	count := 0
	for _, record := range records {
		if record.Op != journal.OpNotice {
			continue
		}
		for count < len(r.untold) && r.untold[count].ID != record.ID {
			count++ // an earlier process recorded it
		}
		count++
	}
	return r.untold[:min(count, len(r.untold))]
}

// sendNotices has notices go out once their records count.
func (r *Relay) sendNotices(notices []notice, committed bool) {
	if !committed { // another relay ends them
		r.owed -= len(notices)
		return
	}
	r.notices.add(notices)
}

// rewriteIn is the time from a record that could not be written to the next attempt. What it ends waits for it.
const flushRetryDelay = 50 * time.Millisecond

// flushAgain has the loop take a turn, and so flush, in a while; one such turn at a time, however many attempts have failed.
func (r *Relay) scheduleFlush() {
	if r.flushes {
		return
	}
	r.flushes = true
	time.AfterFunc(flushRetryDelay, func() { r.post(func() { r.flushes = false }) })
}
