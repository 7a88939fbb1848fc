// Package journal is the durable record of the messages whose end a relay is responsible for, and of what it must know of
// endpoints across restarts: one append-only file that is replayed and compacted when it is opened.
package journal

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"larchrouter/internal/remedy"
)

// The file is a sequence of records: length, CRC32, JSON. What write(2) has accepted outlives the process, so nothing is
// synced. Times are Unix milliseconds.

const (
	frameHeaderSize   = 8
	maxRecordBytes    = 256 << 10
	blockSize         = 512     // each file counts in whole blocks
	historyBytes      = 384     // bytes for the history of an entry beyond the record that accepted it
	relayReserveBytes = 1 << 17 // bytes of a relay's own journal that are reserved for records of pending messages
	// outageExpiry is the age at which the last record of an outage, or of a host that was enabled again, no longer counts when
	// the journal is compacted, which each start does.
	outageExpiry    = 5 * time.Minute
	groupStateBytes = 4 << 10 // bytes for the state of a replication group
)

// Journal is the journal of one relay, or of one copy. Only one process may have it open. It is not safe for concurrent use.
type Journal struct {
	path           string
	budgetBytes    int64 // limit for all files together
	file           *os.File
	fileBytes      int64
	reserveBytes   int64            // part of the budget reserved for records of pending messages
	endingBytes    int64            // part of the budget reserved for messages with NoMoreTries
	compactedBytes int64            // maximum size of a compacted journal
	sizeCompacted  int64            // length of the file after the last compaction
	endedBytes     int64            // of compactedBytes, what messages that ended since then no longer need
	copyBytes      map[uint64]int64 // maximum number of bytes of the messages in a copy, by group
	entries        map[string]*Entry
	outages        map[string]Record     // hosts in an outage or cold after one
	disabledHosts  map[string]Record     // hosts that operators disabled or recently enabled again
	retryAfters    map[string]Record     // waits that hosts asked for
	groups         map[uint64]GroupState // states of replication groups
	classTerms     *ClassTerms           // nil for none
	classTermsSize int64                 // bytes of their record
	frames         frameBuffer           // of the records that are being appended
	order          []orderEntry          // order of acceptance; compaction drops ended messages, and an id may be accepted again before that
	lastSequence   uint64
	damaged        bool  // intact records followed bytes that could not be read
	writeError     error // why nothing can be written
	stopped        bool  // by StopWriting: another process may own the file
	partialRecord  bool  // a failed write left part of a record that could not be truncated yet
}

// orderEntry is a message in the order of acceptance.
type orderEntry struct {
	id       string
	sequence uint64
}

func newJournal(path string, budget, reserve int64) *Journal {
	return &Journal{path: path, budgetBytes: budget, reserveBytes: reserve, copyBytes: map[uint64]int64{}, entries: map[string]*Entry{}, outages: map[string]Record{}, disabledHosts: map[string]Record{},
		retryAfters: map[string]Record{}, groups: map[uint64]GroupState{}}
}

// Open replays the journal that an earlier process left and compacts it. While the folder cannot be written it continues
// with the existing file.
func Open(dir string, budget int64) (*Journal, error) {
	return openWithReserve(dir, budget, relayReserveBytes)
}

// usableBytes returns how much of a budget records may use, as both files count in whole blocks.
func usableBytes(budget int64) int64 { return budget - 4*blockSize }

func openWithReserve(dir string, budget, reserve int64) (*Journal, error) {
	journal := newJournal(filepath.Join(dir, fileName), usableBytes(budget), reserve)
	if err := removeLeftover(filepath.Join(dir, fenceName)); err != nil {
		slog.Warn("journal", "err", err, "remedy", remedy.Of(err))
	}
	data, err := os.ReadFile(journal.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	intactBytes := 0 // bytes up to the end of the last intact record
	for offset := 0; offset < len(data); {
		record, size, err := decodeFrame(data[offset:])
		if err != nil {
			// This is the end of the file that was being written when the process was killed, or damage: intact records behind it
			// still belong to messages whose end is due.
			skipped := findNextFrame(data[offset:])
			if skipped < 0 {
				break
			}
			slog.Warn("journal is damaged; skipping unreadable bytes", "at", offset, "bytes", skipped, "err", err)
			journal.markInDoubt()
			journal.damaged = true
			offset += skipped
			continue
		}
		journal.apply(record, int64(size))
		offset += size
		intactBytes = offset
	}
	// A leftover copy is of a compaction that a kill interrupted: the old file is still complete.
	journal.fileBytes = int64(len(data))
	if err := journal.Compact(); err != nil {
		slog.Error("journal could not be compacted; continuing with the existing file", "err", err, "remedy", remedy.Of(err))
		journal.openExisting(int64(intactBytes))
	}
	return journal, nil
}

// markInDoubt assumes that each message known so far was sent, long ago, in records that are lost: it may not be sent again
// where a repeat does harm, and is rejected to its sender where a repeat does none.
func (j *Journal) markInDoubt() {
	for _, e := range j.entries {
		if e.NoticeStatus == "" {
			e.MayHaveRun, e.MayHaveRunAt = true, 0
		}
	}
}

// apply updates the state with one record of recordBytes bytes.
func (j *Journal) apply(record Record, recordBytes int64) {
	entry := j.entries[record.ID]
	switch {
	case record.Op == OpHealth && record.Flag:
		if _, ok := j.outages[record.ID]; !ok {
			j.compactedBytes += historyBytes
		}
		j.outages[record.ID] = record
	case record.Op == OpHealth:
		if _, ok := j.outages[record.ID]; ok {
			j.compactedBytes -= historyBytes
		}
		delete(j.outages, record.ID)
	case record.Op == OpDisabled:
		if _, ok := j.disabledHosts[record.ID]; !ok {
			j.compactedBytes += historyBytes
		}
		j.disabledHosts[record.ID] = record
	case record.Op == OpRetryAfter:
		if _, ok := j.retryAfters[record.ID]; !ok {
			j.compactedBytes += historyBytes
		}
		j.retryAfters[record.ID] = record
	case record.Op == OpClassTerms && record.ClassTerms != nil:
		j.compactedBytes += recordBytes - j.classTermsSize
		j.classTerms, j.classTermsSize = record.ClassTerms, recordBytes
	case record.Op == OpGroupState && record.GroupState != nil:
		j.setGroupState(*record.GroupState)
	case record.Op == OpGroupNext:
		if state, ok := j.groups[record.Group]; ok {
			state.Next = max(state.Next, record.NextRecord)
			j.groups[record.Group] = state
		}
	case record.Op == OpAccepted && record.Entry != nil && j.entries[record.Entry.ID] == nil:
		entry = record.Entry
		entry.compactedBytes = recordBytes + historyBytes
		j.compactedBytes += entry.compactedBytes
		j.copyBytes[entry.Group] += entry.compactedBytes + historyBytes
		j.entries[entry.ID] = entry
		j.lastSequence++
		entry.sequence = j.lastSequence
		j.order = append(j.order, orderEntry{entry.ID, entry.sequence})
	case entry == nil:
	case record.Op == OpTry:
		entry.Tries++
		entry.InFlight, entry.LastTryAt, entry.LastTryZone, entry.TimeoutMs, entry.CallMs = true, record.At, record.Zone, record.WaitMs, record.CallMs
	case record.Op == OpOutcome && entry.InFlight:
		entry.InFlight = false
		if record.Flag && !entry.MayHaveRun {
			entry.MayHaveRun, entry.MayHaveRunAt, entry.Zone = true, entry.LastTryAt, entry.LastTryZone
		}
	case record.Op == OpNotice:
		entry.NoticeStatus, entry.RetryAfterMs, entry.Body, entry.InFlight = record.Status, record.RetryAfterMs, nil, false
	case record.Op == OpEnd:
		j.compactedBytes -= entry.compactedBytes
		j.endedBytes += entry.compactedBytes
		j.releaseCopyBytes(entry)
		delete(j.entries, record.ID)
	}
}
