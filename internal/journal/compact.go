package journal

import (
	"iter"
	"maps"
	"os"
	"time"

	"larchrouter/internal/steady"
)

// Compact writes all that is still needed to a new file and replaces the old one with it.
func (j *Journal) Compact() error {
	// A file written under a larger budget may leave no space for its copy within this one. It stays until the copy is
	// complete: accepted messages are still due if the copy cannot be written or the process is killed in between.
	file, err := os.OpenFile(j.path+".next", os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return diskFailure("it could not be written anew", err)
	}
	writer := &frameWriter{out: file}
	order := j.writeLive(writer)
	err = writer.flush()
	if err == nil {
		err = os.Rename(j.path+".next", j.path)
	}
	if err != nil {
		file.Close()
		os.Remove(j.path + ".next")
		return diskFailure("it could not be written anew", err)
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.fileBytes, j.order, j.writeError, j.partialRecord, j.stopped = file, writer.written, order, nil, false, false
	j.sizeCompacted, j.endedBytes = j.fileBytes, 0
	return nil
}

// writeLive writes all that is still needed, and drops what has expired. It returns the order of the messages.
func (j *Journal) writeLive(writer *frameWriter) (order []orderEntry) {
	for e := range j.All() {
		writer.append(Record{Op: OpAccepted, Entry: e})
		order = append(order, orderEntry{e.ID, e.sequence})
	}
	j.writeUnexpired(writer, j.outages, func(record Record) bool { // its host may have been removed from the discovery list since
		return steady.Since(record.At) > outageExpiry
	})
	j.writeUnexpired(writer, j.disabledHosts, func(record Record) bool { // the host was enabled long ago and is warm
		return !record.Flag && steady.Since(record.At) > outageExpiry
	})
	j.writeUnexpired(writer, j.retryAfters, func(record Record) bool {
		return steady.Since(record.At) > time.Duration(record.WaitMs)*time.Millisecond
	})
	if j.classTerms != nil {
		writer.append(Record{Op: OpClassTerms, ClassTerms: j.classTerms})
	}
	for _, state := range j.groups {
		writer.append(Record{Op: OpGroupState, GroupState: &state})
	}
	return order
}

// writeUnexpired writes the records of hosts, and drops those that have expired.
func (j *Journal) writeUnexpired(writer *frameWriter, records map[string]Record, expired func(Record) bool) {
	for id, record := range records {
		if expired(record) {
			j.compactedBytes -= historyBytes
			delete(records, id)
			continue
		}
		writer.append(record)
	}
}

// StopWriting makes all further writes fail with err, as another process may own the file by now. A successful Compact
// ends this state.
func (j *Journal) StopWriting(err error) { j.writeError, j.partialRecord, j.stopped = err, false, true }

// openExisting opens the file as it is, to append after its intact part of that many bytes. checkWritable later retries
// what fails here.
func (j *Journal) openExisting(intactBytes int64) {
	j.fileBytes = intactBytes
	file, err := os.OpenFile(j.path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		j.writeError = diskFailure("it could not be opened", err)
		return
	}
	j.file = file
	if err := file.Truncate(intactBytes); err != nil {
		j.partialRecord, j.writeError = true, diskFailure("half a record of before could not be cut off", err)
	}
}

// checkWritable returns the error that keeps records from being written. It first retries what failed before: to open the
// file, or to truncate a partial record.
func (j *Journal) checkWritable() error {
	if j.stopped {
		return j.writeError
	}
	if j.file == nil {
		j.writeError = nil
		j.openExisting(j.fileBytes)
		return j.writeError
	}
	if !j.partialRecord || j.file.Truncate(j.fileBytes) != nil {
		return j.writeError
	}
	j.writeError, j.partialRecord = nil, false
	return nil
}

// Close closes the file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

// All iterates over the messages whose end or notice is due, in the order in which they were accepted.
func (j *Journal) All() iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for _, position := range j.order {
			if entry := j.entries[position.id]; entry != nil && entry.sequence == position.sequence && !yield(entry) {
				return
			}
		}
	}
}

// Entry returns the entry of a pending message, nil if there is none or it has ended.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Damaged reports whether records that had been written could not be read when the journal was opened.
func (j *Journal) Damaged() bool { return j.damaged }

// Len returns the number of pending messages.
func (j *Journal) Len() int { return len(j.entries) }

// NearlyFull reports whether the pending messages use more than three eighths of the budget. The file and its copy need
// half of the remainder, too.
func (j *Journal) NearlyFull() bool { return 8*j.compactedBytes > 3*j.budgetBytes }

// Size returns the length of the file in bytes.
func (j *Journal) Size() int64 { return j.fileBytes }

// ClassTerms returns the recorded terms of the classes; the second result is false if the journal has none.
func (j *Journal) ClassTerms() (terms ClassTerms, ok bool) {
	if j.classTerms == nil {
		return terms, false
	}
	return *j.classTerms, true
}

// Outages iterates over the hosts that are in an outage or cold after one.
func (j *Journal) Outages() iter.Seq2[string, Record] { return maps.All(j.outages) }

// DisabledHosts iterates over the hosts that operators disabled or recently enabled again.
func (j *Journal) DisabledHosts() iter.Seq2[string, Record] { return maps.All(j.disabledHosts) }

// Disabled reports whether operators have disabled a host.
func (j *Journal) Disabled(host string) bool { return j.disabledHosts[host].Flag }
