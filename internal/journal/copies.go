package journal

// Space in copies. A copy receives the records of its owner's journal in order, so a full copy cannot record ends either:
// they follow records for which there is no space. The owner therefore accepts no more messages than each copy certainly
// has space for.

const (
	copyReserveDivisor = 8  // divisor of a copy's budget: the part reserved for records of pending messages
	copyBatchDivisor   = 16 // divisor of a copy's budget: the part that the records of one batch may use
	// acceptedGrowth bounds the growth of a copy by a batch of accepted messages, as a multiple of the batch: each message
	// has space for its history, which is smaller than its record.
	acceptedGrowth = 2
)

// OpenCopy opens the journal of a copy, whose owner limits its content to MaxCopyBytes.
func OpenCopy(dir string, budget int64) (*Journal, error) {
	return openWithReserve(dir, budget, usableBytes(budget)/copyReserveDivisor)
}

// CopyBatchBytes returns how many bytes of records a copy with that budget can receive at once.
func CopyBatchBytes(budget int64) int64 { return max(0, usableBytes(budget)/copyBatchDivisor) }

// MaxCopyBytes returns how much an owner may have pending, in bytes as counted by EntryCopyBytes, so that a copy with that
// budget has space for all that may follow: the compacted file and the live content (each at most that large), one batch,
// and the reserve.
func MaxCopyBytes(budget int64) int64 {
	available := usableBytes(budget)
	batchBytes := CopyBatchBytes(budget)
	return max(0, (available-available/copyReserveDivisor-(1+acceptedGrowth)*batchBytes)/2)
}

// EntryCopyBytes returns the maximum number of bytes that a message takes in a copy: its record may include its history so
// far, and has space for more.
func EntryCopyBytes(entry *Entry) int64 {
	return int64(len(appendFrame(nil, Record{Op: OpAccepted, Entry: entry}))) + 2*historyBytes
}

// GroupCopyBytes returns the maximum number of bytes that a copy of a replication group takes: its messages and what is
// recorded of endpoints.
func (j *Journal) GroupCopyBytes(group uint64) int64 {
	return j.copyBytes[group] + int64(len(j.disabledHosts)+len(j.retryAfters))*historyBytes + groupStateBytes
}

// releaseCopyBytes subtracts a message that ended from the size of its group.
func (j *Journal) releaseCopyBytes(entry *Entry) {
	if j.copyBytes[entry.Group] -= entry.compactedBytes + historyBytes; j.copyBytes[entry.Group] == 0 {
		delete(j.copyBytes, entry.Group)
	}
}
