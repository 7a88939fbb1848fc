// Package journal is the durable record of the messages that a relay owes their end, and of what it has to
// remember of endpoints across its processes: one append-only file that a start replays and compacts.
package journal

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"larchrouter/internal/remedy"
)

// The file holds records: length, CRC32, JSON. What write(2) has taken outlasts
// the process, so nothing is synced. Times in it are Unix milliseconds.

const (
	frameHeaderSize   = 8
	maxRecordBytes    = 256 << 10
	blockSize         = 512     // each file counts in whole blocks
	historyBytes      = 384     // room for an entry's history beyond what it was taken on with
	relayReserveBytes = 1 << 17 // of a relay's own journal, kept for records of messages already held
	// forgetUnwell is when an outage last heard of is over for a relay that starts.
	outageExpiry    = 5 * time.Minute
	groupStateBytes = 4 << 10 // room for an estate's mark
)

// Journal is one relay's, open in one process. It is not safe for concurrent use.
type Journal struct {
	path           string
	budgetBytes    int64 // for all files together
	file           *os.File
	fileBytes      int64
	reserveBytes   int64            // of the budget, kept for records of messages already held
	compactedBytes int64            // what a compacted journal takes at most
	copyBytes      map[uint64]int64 // what messages take of a copy at the most, by estate
	entries        map[string]*Entry
	outages        map[string]Record     // hosts in an outage, or cold after it
	disabledHosts  map[string]Record     // hosts that operators took out, or gave back not long ago
	retryAfters    map[string]Record     // told by hosts, and not over
	groups         map[uint64]GroupState // of estates
	order          []orderEntry          // as taken on; ended ones are dropped by compaction, and an id may come again before that
	lastSequence   uint64
	damaged        bool  // what was read had other bytes than were written
	writeError     error // nothing can be written
	stopped        bool  // the file may be another process's
	partialRecord  bool  // for a failed write left half a record, which could not be cut back yet
}

// place is where a message stands in the order.
type orderEntry struct {
	id       string
	sequence uint64
}

func newJournal(path string, budget, reserve int64) *Journal {
	return &Journal{path: path, budgetBytes: budget, reserveBytes: reserve, copyBytes: map[uint64]int64{}, entries: map[string]*Entry{}, outages: map[string]Record{}, disabledHosts: map[string]Record{},
		retryAfters: map[string]Record{}, groups: map[uint64]GroupState{}}
}

// Open replays what an earlier process left and starts a compacted file. While the folder cannot be written it goes on with
// the old one.
func Open(dir string, budget int64) (*Journal, error) {
	return openWithReserve(dir, budget, relayReserveBytes)
}

// usableOf is what records may take of a budget: both files count in whole blocks.
func usableBytes(budget int64) int64 { return budget - 4*blockSize }

func openWithReserve(dir string, budget, reserve int64) (*Journal, error) {
	j := newJournal(filepath.Join(dir, fileName), usableBytes(budget), reserve)
	if err := removeLeftover(filepath.Join(dir, fenceName)); err != nil {
		slog.Warn("journal", "err", err, "remedy", remedy.Of(err))
	}
	data, err := os.ReadFile(j.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	intactBytes := 0 // bytes up to the end of the last sound record
	for offset := 0; offset < len(data); {
		r, n, err := decodeFrame(data[offset:])
		if err != nil {
			// The tail that was being written when the process died, or damage: what can be read
			// behind it still tells of messages that are owed their end.
			skipped := findNextFrame(data[offset:])
			if skipped < 0 {
				break
			}
			slog.Warn("journal is damaged", "at", offset, "bytes", skipped, "err", err)
			j.markInDoubt()
			j.damaged = true
			offset += skipped
			continue
		}
		j.apply(r, int64(n))
		offset += n
		intactBytes = offset
	}
	// A leftover copy is of a compaction that a kill cut short: the old file still holds all.
	j.fileBytes = int64(len(data))
	if err := j.Compact(); err != nil {
		slog.Error("the old journal goes on", "err", err, "remedy", remedy.Of(err))
		j.openExisting(int64(intactBytes))
	}
	return j, nil
}

// doubt takes it that each message known so far was sent, long ago, in records that are lost:
// it may not go again where a repeat does harm, and is given back where it does none.
func (j *Journal) markInDoubt() {
	for _, e := range j.entries {
		if e.NoticeStatus == "" {
			e.MayHaveRun, e.MayHaveRunAt = true, 0
		}
	}
}

// apply brings the entries up to date with one record.
func (j *Journal) apply(r Record, recordBytes int64) {
	entry := j.entries[r.ID]
	switch {
	case r.Op == OpHealth && r.Flag:
		if _, ok := j.outages[r.ID]; !ok {
			j.compactedBytes += historyBytes
		}
		j.outages[r.ID] = r
	case r.Op == OpHealth:
		if _, ok := j.outages[r.ID]; ok {
			j.compactedBytes -= historyBytes
		}
		delete(j.outages, r.ID)
	case r.Op == OpDisabled:
		if _, ok := j.disabledHosts[r.ID]; !ok {
			j.compactedBytes += historyBytes
		}
		j.disabledHosts[r.ID] = r
	case r.Op == OpRetryAfter:
		if _, ok := j.retryAfters[r.ID]; !ok {
			j.compactedBytes += historyBytes
		}
		j.retryAfters[r.ID] = r
	case r.Op == OpGroupState && r.GroupState != nil:
		j.setGroupState(*r.GroupState)
	case r.Op == OpGroupNext:
		if state, ok := j.groups[r.Group]; ok {
			state.Next = max(state.Next, r.NextRecord)
			j.groups[r.Group] = state
		}
	case r.Op == OpAccepted && r.Entry != nil && j.entries[r.Entry.ID] == nil:
		entry = r.Entry
		entry.compactedBytes = recordBytes + historyBytes
		j.compactedBytes += entry.compactedBytes
		j.copyBytes[entry.Group] += entry.compactedBytes + historyBytes
		j.entries[entry.ID] = entry
		j.lastSequence++
		entry.sequence = j.lastSequence
		j.order = append(j.order, orderEntry{entry.ID, entry.sequence})
	case entry == nil:
	case r.Op == OpTry:
		entry.Tries++
		entry.InFlight, entry.LastTryAt, entry.LastTryZone, entry.TimeoutMs = true, r.At, r.Zone, r.WaitMs
	case r.Op == OpOutcome && entry.InFlight:
		entry.InFlight = false
		if r.Flag && !entry.MayHaveRun {
			entry.MayHaveRun, entry.MayHaveRunAt, entry.Zone = true, entry.LastTryAt, entry.LastTryZone
		}
	case r.Op == OpNotice:
		entry.NoticeStatus, entry.RetryAfterMs, entry.Body, entry.InFlight = r.Status, r.RetryAfterMs, nil, false
	case r.Op == OpEnd:
		j.compactedBytes -= entry.compactedBytes
		j.releaseCopyBytes(entry)
		delete(j.entries, r.ID)
	}
}

// Append writes records and applies them. When it fails nothing was recorded.
func (j *Journal) Append(records ...Record) error {
	if err := j.checkWritable(); err != nil {
		return err
	}
	var buf []byte
	var growth, reserve int64
	recordBytes := make([]int64, len(records))
	for i, r := range records {
		start := len(buf)
		buf = appendFrame(buf, r)
		recordBytes[i] = int64(len(buf) - start)
		switch r.Op {
		case OpAccepted:
			growth += recordBytes[i] + historyBytes
			reserve = j.reserveBytes
		case OpHealth, OpDisabled, OpRetryAfter:
			growth += historyBytes
		case OpGroupState:
			growth += groupStateBytes
		}
	}
	written := int64(len(buf))
	// The file and its compacted copy must fit together at any time. What is taken on must leave that so once everything
	// held has all of its history: a record of its end could not be written otherwise.
	fits := func() bool {
		file, live := j.fileBytes+written, j.compactedBytes+growth
		if reserve > 0 {
			file = max(file, live)
		}
		return file+live+reserve <= j.budgetBytes
	}
	if !fits() {
		if err := j.Compact(); err != nil {
			return err
		}
		if !fits() {
			return ErrFull
		}
	}
	if _, err := j.file.WriteAt(buf, j.fileBytes); err != nil {
		// Half a record would hide all that follows it from a replay.
		if truncateErr := j.file.Truncate(j.fileBytes); truncateErr != nil {
			j.partialRecord = true
			j.writeError = diskFailure("half a record was written, and could not be cut back", errors.Join(err, truncateErr))
		}
		return diskFailure("a record could not be written", err)
	}
	j.fileBytes += written
	for i, r := range records {
		j.apply(r, recordBytes[i])
	}
	return nil
}
