package relay

import (
	"log/slog"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
)

// This file moves records from the loop's state to the journal, and notices from there to the sender.

// maxRecordsPerWrite limits the records of one write. The journal reserves space for about this many records beyond
// what it holds, and regains space by the entries that they end.
const maxRecordsPerWrite = 64

// commitInOrder commits what a new message or call depends on. It fails if earlier records are not written yet: if they
// were written after the new ones, the end of an earlier message would end a new one with the same id, and an outcome
// would be taken for that of a new attempt.
func (r *Relay) commitInOrder(records []journal.Record, maxWait time.Duration, onCommit func(committed bool)) error {
	if len(r.pendingRecords) > 0 {
		return errRecordsPending
	}
	return r.commitRecords(records, maxWait, onCommit)
}

// flush records what has ended. Records that cannot be written now are retained, and no notice is sent before its
// record is written: otherwise a client that is told to send the message again, and a restart that resumes it, would
// deliver it twice.
func (r *Relay) flush() {
	if r.nextProcess != nil {
		return // the journal belongs to the next process
	}
	allRecords := r.pendingRecords
	for len(r.pendingRecords) > 0 {
		batch := r.pendingRecords[:min(len(r.pendingRecords), maxRecordsPerWrite)]
		notices := r.noticesFor(batch)
		var onCommit func(committed bool)
		if len(notices) > 0 {
			onCommit = r.whenNoticesCommitted(notices)
		}
		if err := r.commitRecords(batch, 0, onCommit); err != nil {
			if onCommit != nil {
				r.dropUncommittedNotices()
			}
			slog.Error("records could not be written to the journal", "records", len(r.pendingRecords), "err", err, "remedy", remedy.Of(err))
			r.scheduleFlush()
			return
		}
		r.pendingRecords = r.pendingRecords[len(batch):]
		r.unrecordedNotices = r.unrecordedNotices[len(notices):]
	}
	r.pendingRecords = allRecords[:0]
	if len(r.unrecordedNotices) > 0 { // an earlier process recorded them
		r.sendNotices(r.unrecordedNotices, true)
	}
	r.unrecordedNotices = nil
}

// noticesFor returns the first of the waiting notices, up to the last one that one of the records belongs to. Notices
// wait in the order of their records.
func (r *Relay) noticesFor(records []journal.Record) []notice {
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

// sendNotices queues notices whose records are committed.
func (r *Relay) sendNotices(notices []notice, committed bool) {
	if !committed { // another relay ends the messages
		r.pendingNotices -= len(notices)
		return
	}
	r.notices.add(notices)
}

// flushRetryDelay is the time from a failed write of records to the next attempt. The notices of these records wait for
// it.
const flushRetryDelay = 50 * time.Millisecond

// scheduleFlush has the loop run again, and thereby flush, after a delay. Only one such run is scheduled at a time,
// however many attempts have failed.
func (r *Relay) scheduleFlush() {
	if r.flushScheduled {
		return
	}
	r.flushScheduled = true
	time.AfterFunc(flushRetryDelay, func() { r.post(func() { r.flushScheduled = false }) })
}
