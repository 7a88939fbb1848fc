package journal

// The room of copies. A copy follows its owner's journal record by record, so one that is full takes no ends either: they come
// behind what it has no room for. The owner therefore takes on no more than each copy has room for in any case.

const (
	copyReserveDivisor = 8  // part of a copy's budget that is kept for records of messages already held
	copyBatchDivisor   = 16 // part of it that the records of one batch may take
	// takenGrowth bounds by how much what a copy holds grows with a batch of messages taken on, in sizes of the batch: each has
	// room for its history, which is less than its record.
	acceptedGrowth = 2
)

// OpenCopy opens the journal of a copy, whose owner bounds what is in it by CopyMost.
func OpenCopy(dir string, budget int64) (*Journal, error) {
	return openWithReserve(dir, budget, usableBytes(budget)/copyReserveDivisor)
}

// CopyBatch is how many bytes of records a copy of a budget has room for at once.
func CopyBatchBytes(budget int64) int64 { return max(0, usableBytes(budget)/copyBatchDivisor) }

// CopyMost is what an owner may hold, in bytes as CopySize counts them, so that a copy of a budget has room for all that may
// follow: the file as compacted and what it holds (each as large as that at the most), one batch, and the reserve.
func MaxCopyBytes(budget int64) int64 {
	available := usableBytes(budget)
	batchBytes := CopyBatchBytes(budget)
	return max(0, (available-available/copyReserveDivisor-(1+acceptedGrowth)*batchBytes)/2)
}

// CopySize is what a message takes of a copy at the most, in bytes: its record may come with the history that it has by then,
// and has room for more.
func EntryCopyBytes(entry *Entry) int64 {
	return int64(len(appendFrame(nil, Record{Op: OpAccepted, Entry: entry}))) + 2*historyBytes
}

// CopyHeld is what a copy of an estate takes at the most, in bytes: its messages, and what is known of endpoints.
func (j *Journal) GroupCopyBytes(group uint64) int64 {
	return j.copyBytes[group] + int64(len(j.disabledHosts)+len(j.retryAfters))*historyBytes + groupStateBytes
}

// letGo takes a message that ends out of what its estate holds.
func (j *Journal) releaseCopyBytes(entry *Entry) {
	if j.copyBytes[entry.Group] -= entry.compactedBytes + historyBytes; j.copyBytes[entry.Group] == 0 {
		delete(j.copyBytes, entry.Group)
	}
}
