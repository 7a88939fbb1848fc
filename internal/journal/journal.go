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
	sound := 0 // bytes up to the end of the last sound record
	for at := 0; at < len(data); {
		r, n, err := decodeFrame(data[at:])
		if err != nil {
			// The tail that was being written when the process died, or damage: what can be read
			// behind it still tells of messages that are owed their end.
			skip := findNextFrame(data[at:])
			if skip < 0 {
				break
			}
			slog.Warn("journal is damaged", "at", at, "bytes", skip, "err", err)
			j.markInDoubt()
			j.damaged = true
			at += skip
			continue
		}
		j.apply(r, int64(n))
		at += n
		sound = at
	}
	// A leftover copy is of a compaction that a kill cut short: the old file still holds all.
	j.fileBytes = int64(len(data))
	if err := j.Compact(); err != nil {
		slog.Error("the old journal goes on", "err", err, "remedy", remedy.Of(err))
		j.openExisting(int64(sound))
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
func (j *Journal) apply(r Record, n int64) {
	e := j.entries[r.ID]
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
		if m, ok := j.groups[r.Group]; ok {
			m.Next = max(m.Next, r.NextRecord)
			j.groups[r.Group] = m
		}
	case r.Op == OpAccepted && r.Entry != nil && j.entries[r.Entry.ID] == nil:
		e = r.Entry
		e.compactedBytes = n + historyBytes
		j.compactedBytes += e.compactedBytes
		j.copyBytes[e.Group] += e.compactedBytes + historyBytes
		j.entries[e.ID] = e
		j.lastSequence++
		e.sequence = j.lastSequence
		j.order = append(j.order, orderEntry{e.ID, e.sequence})
	case e == nil:
	case r.Op == OpTry:
		e.Tries++
		e.InFlight, e.LastTryAt, e.LastTryZone, e.TimeoutMs = true, r.At, r.Zone, r.WaitMs
	case r.Op == OpOutcome && e.InFlight:
		e.InFlight = false
		if r.Flag && !e.MayHaveRun {
			e.MayHaveRun, e.MayHaveRunAt, e.Zone = true, e.LastTryAt, e.LastTryZone
		}
	case r.Op == OpNotice:
		e.NoticeStatus, e.RetryAfterMs, e.Body, e.InFlight = r.Status, r.RetryAfterMs, nil, false
	case r.Op == OpEnd:
		j.compactedBytes -= e.compactedBytes
		j.releaseCopyBytes(e)
		delete(j.entries, r.ID)
	}
}

// Append writes records and applies them. When it fails nothing was recorded.
func (j *Journal) Append(recs ...Record) error {
	if err := j.checkWritable(); err != nil {
		return err
	}
	var buf []byte
	var grows, spare int64
	ends := make([]int64, len(recs))
	for i, r := range recs {
		before := len(buf)
		buf = appendFrame(buf, r)
		ends[i] = int64(len(buf) - before)
		switch r.Op {
		case OpAccepted:
			grows += ends[i] + historyBytes
			spare = j.reserveBytes
		case OpHealth, OpDisabled, OpRetryAfter:
			grows += historyBytes
		case OpGroupState:
			grows += groupStateBytes
		}
	}
	n := int64(len(buf))
	// The file and its compacted copy must fit together at any time. What is taken on must leave that so once everything
	// held has all of its history: a record of its end could not be written otherwise.
	fits := func() bool {
		file, live := j.fileBytes+n, j.compactedBytes+grows
		if spare > 0 {
			file = max(file, live)
		}
		return file+live+spare <= j.budgetBytes
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
		if terr := j.file.Truncate(j.fileBytes); terr != nil {
			j.partialRecord = true
			j.writeError = diskFailure("half a record was written, and could not be cut back", errors.Join(err, terr))
		}
		return diskFailure("a record could not be written", err)
	}
	j.fileBytes += n
	for i, r := range recs {
		j.apply(r, ends[i])
	}
	return nil
}
