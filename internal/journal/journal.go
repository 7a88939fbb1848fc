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
	headerSize = 8
	maxRecord  = 256 << 10
	blockSize  = 512     // each file counts in whole blocks
	slack      = 384     // room for an entry's history beyond what it was taken on with
	ownReserve = 1 << 17 // of a relay's own journal, kept for records of messages already held
	// forgetUnwell is when an outage last heard of is over for a relay that starts.
	forgetUnwell = 5 * time.Minute
	markMost     = 4 << 10 // room for an estate's mark
)

// Journal is one relay's, open in one process. It is not safe for concurrent use.
type Journal struct {
	path    string
	budget  int64 // for all files together
	f       *os.File
	size    int64
	reserve int64            // of the budget, kept for records of messages already held
	live    int64            // what a compacted journal takes at most
	held    map[uint64]int64 // what messages take of a copy at the most, by estate
	entries map[string]*Entry
	unwell  map[string]Record // hosts in an outage, or cold after it
	byHand  map[string]Record // hosts that operators took out, or gave back not long ago
	waits   map[string]Record // told by hosts, and not over
	marks   map[uint64]Mark   // of estates
	order   []place           // as taken on; ended ones are dropped by compaction, and an id may come again before that
	places  uint64
	damaged bool  // what was read had other bytes than were written
	broken  error // nothing can be written
	away    bool  // the file may be another process's
	uncut   bool  // for a failed write left half a record, which could not be cut back yet
}

// place is where a message stands in the order.
type place struct {
	id string
	n  uint64
}

func empty(path string, budget, reserve int64) *Journal {
	return &Journal{path: path, budget: budget, reserve: reserve, held: map[uint64]int64{}, entries: map[string]*Entry{}, unwell: map[string]Record{}, byHand: map[string]Record{},
		waits: map[string]Record{}, marks: map[uint64]Mark{}}
}

// Open replays what an earlier process left and starts a compacted file. While the folder cannot be written it goes on with
// the old one.
func Open(dir string, budget int64) (*Journal, error) { return openWith(dir, budget, ownReserve) }

// usableOf is what records may take of a budget: both files count in whole blocks.
func usableOf(budget int64) int64 { return budget - 4*blockSize }

func openWith(dir string, budget, reserve int64) (*Journal, error) {
	j := empty(filepath.Join(dir, fileName), usableOf(budget), reserve)
	if err := unfenced(filepath.Join(dir, oldNext)); err != nil {
		slog.Warn("journal", "err", err, "remedy", remedy.Of(err))
	}
	data, err := os.ReadFile(j.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	sound := 0 // bytes up to the end of the last sound record
	for at := 0; at < len(data); {
		r, n, err := unframe(data[at:])
		if err != nil {
			// The tail that was being written when the process died, or damage: what can be read
			// behind it still tells of messages that are owed their end.
			skip := nextFrame(data[at:])
			if skip < 0 {
				break
			}
			slog.Warn("journal is damaged", "at", at, "bytes", skip, "err", err)
			j.doubt()
			j.damaged = true
			at += skip
			continue
		}
		j.apply(r, int64(n))
		at += n
		sound = at
	}
	// A leftover copy is of a compaction that a kill cut short: the old file still holds all.
	j.size = int64(len(data))
	if err := j.Compact(); err != nil {
		slog.Error("the old journal goes on", "err", err, "remedy", remedy.Of(err))
		j.goOn(int64(sound))
	}
	return j, nil
}

// doubt takes it that each message known so far was sent, long ago, in records that are lost:
// it may not go again where a repeat does harm, and is given back where it does none.
func (j *Journal) doubt() {
	for _, e := range j.entries {
		if e.Status == "" {
			e.Ran, e.RanAt = true, 0
		}
	}
}

// apply brings the entries up to date with one record.
func (j *Journal) apply(r Record, n int64) {
	e := j.entries[r.ID]
	switch {
	case r.Op == OpHealth && r.Ran:
		if _, ok := j.unwell[r.ID]; !ok {
			j.live += slack
		}
		j.unwell[r.ID] = r
	case r.Op == OpHealth:
		if _, ok := j.unwell[r.ID]; ok {
			j.live -= slack
		}
		delete(j.unwell, r.ID)
	case r.Op == OpByHand:
		if _, ok := j.byHand[r.ID]; !ok {
			j.live += slack
		}
		j.byHand[r.ID] = r
	case r.Op == OpWait:
		if _, ok := j.waits[r.ID]; !ok {
			j.live += slack
		}
		j.waits[r.ID] = r
	case r.Op == OpMark && r.Mark != nil:
		j.mark(*r.Mark)
	case r.Op == OpCount:
		if m, ok := j.marks[r.Estate]; ok {
			m.Next = max(m.Next, r.Next)
			j.marks[r.Estate] = m
		}
	case r.Op == OpTaken && r.Entry != nil && j.entries[r.Entry.ID] == nil:
		e = r.Entry
		e.size = n + slack
		j.live += e.size
		j.held[e.Estate] += e.size + slack
		j.entries[e.ID] = e
		j.places++
		e.seq = j.places
		j.order = append(j.order, place{e.ID, e.seq})
	case e == nil:
	case r.Op == OpTry:
		e.Tries++
		e.Out, e.OutAt, e.OutTo, e.Wait = true, r.At, r.Zone, r.Wait
	case r.Op == OpOutcome && e.Out:
		e.Out = false
		if r.Ran && !e.Ran {
			e.Ran, e.RanAt, e.Zone = true, e.OutAt, e.OutTo
		}
	case r.Op == OpNotice:
		e.Status, e.Again, e.Body, e.Out = r.Status, r.Again, nil, false
	case r.Op == OpEnd:
		j.live -= e.size
		j.letGo(e)
		delete(j.entries, r.ID)
	}
}

// Append writes records and applies them. When it fails nothing was recorded.
func (j *Journal) Append(recs ...Record) error {
	if err := j.usable(); err != nil {
		return err
	}
	var buf []byte
	var grows, spare int64
	ends := make([]int64, len(recs))
	for i, r := range recs {
		before := len(buf)
		buf = frame(buf, r)
		ends[i] = int64(len(buf) - before)
		switch r.Op {
		case OpTaken:
			grows += ends[i] + slack
			spare = j.reserve
		case OpHealth, OpByHand, OpWait:
			grows += slack
		case OpMark:
			grows += markMost
		}
	}
	n := int64(len(buf))
	// The file and its compacted copy must fit together at any time. What is taken on must leave that so once everything
	// held has all of its history: a record of its end could not be written otherwise.
	fits := func() bool {
		file, live := j.size+n, j.live+grows
		if spare > 0 {
			file = max(file, live)
		}
		return file+live+spare <= j.budget
	}
	if !fits() {
		if err := j.Compact(); err != nil {
			return err
		}
		if !fits() {
			return ErrFull
		}
	}
	if _, err := j.f.WriteAt(buf, j.size); err != nil {
		// Half a record would hide all that follows it from a replay.
		if terr := j.f.Truncate(j.size); terr != nil {
			j.uncut = true
			j.broken = onDisk("half a record was written, and could not be cut back", errors.Join(err, terr))
		}
		return onDisk("a record could not be written", err)
	}
	j.size += n
	for i, r := range recs {
		j.apply(r, ends[i])
	}
	return nil
}
