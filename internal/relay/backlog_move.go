package relay

import (
	"errors"
	"log/slog"
	"time"

	"larchrouter/internal/backlog"
	"larchrouter/internal/backlog/entry"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/steady"
)

// Messages on their way from the backlog on disk to the journal.

// noSpaceRetryDelay is the time until messages are loaded again for which the journal had no space.
const noSpaceRetryDelay = checkAllInterval / 10

// unpackStored returns the message that was read from disk. One that cannot be decoded has no terms, and ends as
// undeliverable for that.
func unpackStored(stored backlog.StoredMessage) *journal.Entry {
	unpacked, err := entry.Unpack(stored)
	if err != nil {
		slog.Error("cannot decode a message on disk", "err", err, "remedy", remedy.Of(err))
		return &journal.Entry{ID: stored.ID, Dest: stored.Dest, Due: stored.Due}
	}
	return unpacked
}

// unpackExpired returns a message that was read from disk to be ended. It is not sent any more, so the journal needs no
// space for its body.
func unpackExpired(stored backlog.StoredMessage) *journal.Entry {
	unpacked := unpackStored(stored)
	unpacked.Body, unpacked.Tries = nil, journal.NoMoreTries
	return unpacked
}

// moveToJournal records messages from disk as accepted in the journal, as many as it has space for, then removes these from
// disk. It returns their number, and whether loading may go on.
func (r *Relay) moveToJournal(stored []backlog.StoredMessage, unpack func(backlog.StoredMessage) *journal.Entry) (moved int, ok bool) {
	o := r.overflow
	var moving []*movingMessage
	for _, message := range stored {
		journaled := r.journal.Entry(message.ID) != nil // if so, the journal's record of it applies
		moving = append(moving, &movingMessage{entry: unpack(message), place: message.Sequence, submitted: journaled})
	}
	moved, err := r.recordMoving(moving)
	o.moving = append(o.moving, moving[:moved]...)
	r.submitMoving()
	switch {
	case errors.Is(err, journal.ErrFull):
		r.pauseForSpace(moving[moved:])
	case err != nil:
		r.pauseLoading("cannot move messages from the backlog to the journal", err, defaultRetryAfter)
	case moved < len(moving):
		o.moreWork = true
	}
	return moved, err == nil
}

// recordMoving records the first of the messages as accepted, and returns how many. If the journal has no space for all of
// them, it halves their number until it has.
func (r *Relay) recordMoving(moving []*movingMessage) (int, error) {
	for count := len(moving); ; count /= 2 {
		err := r.journal.Append(acceptedRecords(moving[:count])...)
		switch {
		case err == nil:
			return count, nil
		case count <= 1 || !errors.Is(err, journal.ErrFull):
			return 0, err
		}
	}
}

// acceptedRecords returns the records of messages that the journal does not have yet.
func acceptedRecords(moving []*movingMessage) (records []journal.Record) {
	for _, m := range moving {
		if !m.submitted {
			records = append(records, journal.Record{Op: journal.OpAccepted, Entry: m.entry})
		}
	}
	return records
}

// pauseForSpace stops loading until some of the messages in the journal may have ended.
func (r *Relay) pauseForSpace(waiting []*movingMessage) {
	o := r.overflow
	o.readRetryAt, o.moreWork = r.now()+noSpaceRetryDelay, false
	if suppressed, ok := o.noSpaceErrors.allow(time.Now()); ok {
		slog.Warn("the journal has no space for messages of the backlog", "messages", len(waiting), "journal", r.journal.Size(), "crowded", r.journal.NearlyFull(),
			"remedy", remedy.Of(journal.ErrFull), "suppressed", suppressed)
	}
}

// submitMoving removes messages from disk that are in the journal, and submits them to the Chooser. A message
// submitted before its removal could end in the journal and then be loaded from disk again, so it waits for the
// removal, but not beyond its deadline: an expired message ends without an attempt in either case.
func (r *Relay) submitMoving() {
	o := r.overflow
	places, failed, now := map[int][]uint64{}, map[int]bool{}, r.now()
	for _, m := range o.moving {
		if failed[m.entry.Dest] = now < o.removeRetryAt; m.place > 0 && now >= o.removeRetryAt {
			places[m.entry.Dest] = append(places[m.entry.Dest], m.place)
		}
	}
	for dest, destPlaces := range places {
		if err := o.store.Remove(dest, destPlaces...); err != nil {
			slog.Error("cannot remove messages from the backlog", "messages", len(destPlaces), "err", err, "remedy", remedy.Of(err))
			failed[dest], o.removeRetryAt = true, now+checkAllInterval
		}
	}
	expiryLimit := steady.Now().Add(r.latestEndLead()).UnixMilli()
	remaining := o.moving[:0]
	for _, m := range o.moving {
		removed := m.place == 0 || !failed[m.entry.Dest]
		if !m.submitted && (removed || m.entry.Due <= expiryLimit) {
			r.resumeNow(m.entry, false)
			m.submitted = true
		}
		if !removed {
			remaining = append(remaining, m)
		}
	}
	clear(o.moving[len(remaining):])
	o.moving = remaining
}
