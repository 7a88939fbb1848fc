package journal

import (
	"iter"
	"maps"
	"os"
	"time"

	"larchrouter/internal/steady"
)

// Compact writes what is still owed to a new file and puts it in the old one's place.
func (j *Journal) Compact() error {
	var buf []byte
	order := j.order[:0:0]
	for e := range j.All() {
		buf = appendFrame(buf, Record{Op: OpAccepted, Entry: e})
		order = append(order, orderEntry{e.ID, e.sequence})
	}
	for id, record := range j.outages {
		if steady.Since(record.At) > outageExpiry { // its host may be gone from the list since
			j.compactedBytes -= historyBytes
			delete(j.outages, id)
			continue
		}
		buf = appendFrame(buf, record)
	}
	for id, record := range j.disabledHosts {
		if !record.Flag && steady.Since(record.At) > outageExpiry { // warm long since
			j.compactedBytes -= historyBytes
			delete(j.disabledHosts, id)
			continue
		}
		buf = appendFrame(buf, record)
	}
	for id, record := range j.retryAfters {
		if steady.Since(record.At) > time.Duration(record.WaitMs)*time.Millisecond {
			j.compactedBytes -= historyBytes
			delete(j.retryAfters, id)
			continue
		}
		buf = appendFrame(buf, record)
	}
	for _, state := range j.groups {
		buf = appendFrame(buf, Record{Op: OpGroupState, GroupState: &state})
	}
	// A file of a larger budget may leave no room for its copy. It stays all the same until that is whole: what was taken on is
	// still owed if the copy cannot be written, or a kill comes between.
	file, err := os.OpenFile(j.path+".next", os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return diskFailure("it could not be written anew", err)
	}
	_, err = file.Write(buf)
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
	j.file, j.fileBytes, j.order, j.writeError, j.partialRecord, j.stopped = file, int64(len(buf)), order, nil, false, false
	return nil
}

// Break has nothing more be written: the file may be another process's by now. A compaction that goes well ends it.
func (j *Journal) StopWriting(err error) { j.writeError, j.partialRecord, j.stopped = err, false, true }

// goOn opens the file as it stands, for the journal to be appended to it: its sound part is so long. What that cannot do now is
// tried again by usable.
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

// usable tells why nothing can be written. What stood in the way is tried again first: a file that could not be opened, half a
// record that could not be cut back.
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

// Close gives the file up.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

// All are the messages that are owed their end or its notice, in the order in which they were taken on.
func (j *Journal) All() iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for _, position := range j.order {
			if entry := j.entries[position.id]; entry != nil && entry.sequence == position.sequence && !yield(entry) {
				return
			}
		}
	}
}

// Entry is what is held of a message; nil if it has ended.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Damaged tells whether records that had been written could not be read as it was opened.
func (j *Journal) Damaged() bool { return j.damaged }

// Len is how many messages are held.
func (j *Journal) Len() int { return len(j.entries) }

// Crowded tells whether what is held takes three eighths of the budget: the file and its copy need half of what is left, too.
func (j *Journal) NearlyFull() bool { return 8*j.compactedBytes > 3*j.budgetBytes }

// Size is the length of the file in bytes.
func (j *Journal) Size() int64 { return j.fileBytes }

// Unwell are hosts in an outage, or cold after it.
func (j *Journal) Outages() iter.Seq2[string, Record] { return maps.All(j.outages) }

// ByHand are hosts that operators took out, or gave back not long ago.
func (j *Journal) DisabledHosts() iter.Seq2[string, Record] { return maps.All(j.disabledHosts) }

// Out tells whether operators have taken a host out.
func (j *Journal) Disabled(host string) bool { return j.disabledHosts[host].Flag }
