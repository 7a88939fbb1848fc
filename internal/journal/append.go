package journal

import (
	"encoding/base64"
	"errors"
)

// compactionDivisor is the part of the budget that a compaction has to be able to free before one makes space for a new
// message: each writes the whole journal, and a full one would be compacted for every message that it has no space for.
const compactionDivisor = 16

// endingDivisor is the part of the budget that ReserveForEnding reserves. Once the messages that took it have ended, their
// space is worth a compaction.
const endingDivisor = compactionDivisor / 2

// ReserveForEnding reserves a part of the budget for messages with NoMoreTries, so that others cannot keep them from being
// recorded and ended.
func (j *Journal) ReserveForEnding() { j.endingBytes = j.budgetBytes / endingDivisor }

// worthCompacting reports whether a compaction may free enough to be made for a new message.
func (j *Journal) worthCompacting() bool {
	return j.fileBytes-j.sizeCompacted+j.endedBytes >= j.budgetBytes/compactionDivisor
}

// addition is what records add to the journal, in bytes.
type addition struct {
	written int64 // to the file
	growth  int64 // of a compacted journal
	reserve int64 // that must be left
}

// fits reports whether an addition fits the budget. The file and its compacted copy must fit it together at any time.
// Accepting a message must preserve that even after all pending messages have their full history: their ends could not be
// recorded otherwise.
func (j *Journal) fits(a addition) bool {
	file, live := j.fileBytes+a.written, j.compactedBytes+a.growth
	if a.reserve > 0 {
		file = max(file, live)
	}
	return file+live+a.reserve <= j.budgetBytes
}

// reserveFor returns how much of the budget has to be left when a message is accepted.
func (j *Journal) reserveFor(entry *Entry) int64 {
	if entry.Tries >= NoMoreTries {
		return j.reserveBytes
	}
	return j.reserveBytes + j.endingBytes
}

// hasNoSpaceFor reports whether messages certainly do not fit, by the size of their bodies alone, so that they need not be
// encoded.
func (j *Journal) hasNoSpaceFor(records []Record) bool {
	atLeast := addition{reserve: j.reserveBytes}
	for _, record := range records {
		if record.Op != OpAccepted {
			return false
		}
		atLeast.written += int64(base64.StdEncoding.EncodedLen(len(record.Entry.Body)))
	}
	atLeast.growth = atLeast.written
	return !j.fits(atLeast) && !j.worthCompacting()
}

// Append writes records and applies them. If it fails, none was recorded. Without space it returns ErrFull.
func (j *Journal) Append(records ...Record) error {
	if err := j.checkWritable(); err != nil {
		return err
	}
	if j.hasNoSpaceFor(records) {
		return ErrFull
	}
	defer j.frames.reset()
	var added addition
	recordBytes := make([]int64, len(records))
	for i, record := range records {
		recordBytes[i] = j.frames.append(record)
		added.written += recordBytes[i]
		switch record.Op {
		case OpAccepted:
			added.growth += recordBytes[i] + historyBytes
			added.reserve = max(added.reserve, j.reserveFor(record.Entry))
		case OpHealth, OpDisabled, OpRetryAfter:
			added.growth += historyBytes
		case OpClassTerms:
			added.growth += recordBytes[i]
		case OpGroupState:
			added.growth += groupStateBytes
		}
	}
	if !j.fits(added) && (added.reserve == 0 || j.worthCompacting()) {
		if err := j.Compact(); err != nil {
			return err
		}
	}
	if !j.fits(added) {
		return ErrFull
	}
	if _, err := j.file.WriteAt(j.frames.buf.Bytes(), j.fileBytes); err != nil {
		// A partial record would hide all records behind it from a replay.
		if truncateErr := j.file.Truncate(j.fileBytes); truncateErr != nil {
			j.partialRecord = true
			j.writeError = diskFailure("half a record was written, and could not be cut back", errors.Join(err, truncateErr))
		}
		return diskFailure("a record could not be written", err)
	}
	j.fileBytes += added.written
	for i, record := range records {
		j.apply(record, recordBytes[i])
	}
	return nil
}
