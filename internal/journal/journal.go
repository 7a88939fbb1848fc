// Package journal is the durable record of the messages that a relay owes their end, and of what it has to
// remember of endpoints across its processes: one append-only file that a start replays and compacts.
package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"iter"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"time"

	"larchrouter/choice"
)

// The file holds records: length, CRC32, JSON. What write(2) has taken outlasts
// the process, so nothing is synced. Times in it are Unix milliseconds.

const (
	headerSize = 8
	maxRecord  = 256 << 10
	blockSize  = 512     // each file counts in whole blocks
	slack      = 384     // room for an entry's history beyond what it was taken on with
	reserve    = 1 << 17 // of the budget, kept for Records of messages already held
	// forgetUnwell is when an outage last heard of is over for a relay that starts.
	forgetUnwell = 5 * time.Minute
)

// ErrFull says that the journal has no room for one more message.
var ErrFull = errors.New("journal: disk budget used up")

// Entry is all that is needed to send a message again, or to end it.
type Entry struct {
	ID     string        `json:"id"`
	Class  string        `json:"class"`
	Dest   int           `json:"dest"`
	Tenant string        `json:"tenant,omitempty"`
	Key    string        `json:"key,omitempty"`
	Due    int64         `json:"due"`
	Body   []byte        `json:"body,omitempty"`
	Tries  int           `json:"tries,omitempty"`
	Wait   int64         `json:"wait,omitempty"` // time-out of the last try, ms
	Ran    bool          `json:"ran,omitempty"`  // an attempt may have run
	RanAt  int64         `json:"ran_at,omitempty"`
	Zone   int           `json:"zone,omitempty"` // of the host that may have run it
	Out    bool          `json:"out,omitempty"`  // the last try has no outcome
	OutAt  int64         `json:"out_at,omitempty"`
	OutTo  int           `json:"out_to,omitempty"` // zone of its host
	Terms  *choice.Terms `json:"terms,omitempty"`  // it came under
	Status string        `json:"status,omitempty"` // of the notice that is owed
	Again  int64         `json:"again,omitempty"`

	size int64 // bytes that it takes in a compacted journal at most
}

// What a record tells of a message.
const (
	OpTaken   = "taken"   // Entry: taken on, or carried over by compaction
	OpTry     = "try"     // an attempt is about to go
	OpOutcome = "outcome" // it ended
	OpNotice  = "notice"  // the message ended undelivered; its notice is owed
	OpEnd     = "end"     // nothing more is owed
	OpHealth  = "health"  // ID is a host: an outage was seen there (Ran), or has passed
	OpByHand  = "hand"    // ID is a host: operators took it out (Ran), or gave it back, at At
)

// Record is one thing that happened.
type Record struct {
	Op     string  `json:"op"`
	ID     string  `json:"i,omitempty"`
	Entry  *Entry  `json:"e,omitempty"`
	At     int64   `json:"at,omitempty"`
	Wait   int64   `json:"w,omitempty"`
	Zone   int     `json:"z,omitempty"`
	Ran    bool    `json:"r,omitempty"`
	Status string  `json:"s,omitempty"`
	Again  int64   `json:"a,omitempty"`
	Base   float64 `json:"b,omitempty"`
}

func frame(buf []byte, r Record) []byte {
	payload, err := json.Marshal(r)
	if err != nil {
		panic(err) // no field of a record can fail
	}
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.ChecksumIEEE(payload))
	return append(buf, payload...)
}

// unframe reads the record at the start of data and tells how long it is. A
// torn or corrupt one is an error: where the next begins cannot be told from it.
func unframe(data []byte) (r Record, n int, err error) {
	if len(data) < headerSize {
		return r, 0, errors.New("torn header")
	}
	size := binary.LittleEndian.Uint32(data)
	if size > maxRecord || int(size) > len(data)-headerSize {
		return r, 0, errors.New("torn record")
	}
	payload := data[headerSize : headerSize+int(size)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[4:]) {
		return r, 0, errors.New("checksum differs")
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return r, 0, err
	}
	return r, headerSize + int(size), nil
}

// Journal is one relay's, open in one process. It is not safe for concurrent use.
type Journal struct {
	path    string
	budget  int64 // for all files together
	f       *os.File
	size    int64
	live    int64 // what a compacted journal takes at most
	entries map[string]*Entry
	unwell  map[string]Record // hosts in an outage, or cold after it
	byHand  map[string]Record // hosts that operators took out, or gave back not long ago
	order   []string          // ids as taken on; ended ones are dropped by compaction
	broken  error             // a failed write could not be undone
}

// Open replays what an earlier process left and starts a compacted file.
func Open(dir string, budget int64) (*Journal, error) {
	j := &Journal{path: filepath.Join(dir, "journal"), budget: budget - 4*blockSize, entries: map[string]*Entry{},
		unwell: map[string]Record{}, byHand: map[string]Record{}}
	// A leftover copy is of a compaction that a kill cut short: the old file still holds all.
	if err := os.Remove(j.path + ".tmp"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	data, err := os.ReadFile(j.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
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
			at += skip
			continue
		}
		j.apply(r, int64(n))
		at += n
	}
	j.size = int64(len(data))
	if err := j.Compact(); err != nil {
		return nil, err
	}
	return j, nil
}

// nextFrame finds the next sound record behind a damaged one, or returns -1.
func nextFrame(data []byte) int {
	for at := 1; at+headerSize < len(data); at++ {
		if _, _, err := unframe(data[at:]); err == nil {
			return at
		}
	}
	return -1
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
	case r.Op == OpTaken && r.Entry != nil && j.entries[r.Entry.ID] == nil:
		e = r.Entry
		e.size = n + slack
		j.live += e.size
		j.entries[e.ID] = e
		j.order = append(j.order, e.ID)
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
		delete(j.entries, r.ID)
	}
}

// Append writes records and applies them. When it fails nothing was recorded.
func (j *Journal) Append(recs ...Record) error {
	if j.broken != nil {
		return j.broken
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
			spare = reserve
		case OpHealth, OpByHand:
			grows += slack
		}
	}
	n := int64(len(buf))
	// The file and its compacted copy must fit together at any time.
	fits := func() bool { return j.size+n+j.live+grows+spare <= j.budget }
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
			j.broken = fmt.Errorf("journal: %w, and could not be cut back: %w", err, terr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.size += n
	for i, r := range recs {
		j.apply(r, ends[i])
	}
	return nil
}

// Compact writes what is still owed to a new file and puts it in the old one's place.
func (j *Journal) Compact() error {
	var buf []byte
	order := j.order[:0:0]
	for _, id := range j.order {
		if e := j.entries[id]; e != nil {
			buf = frame(buf, Record{Op: OpTaken, Entry: e})
			order = append(order, id)
		}
	}
	for id, h := range j.unwell {
		if time.Since(time.UnixMilli(h.At)) > forgetUnwell { // its host may be gone from the list since
			j.live -= slack
			delete(j.unwell, id)
			continue
		}
		buf = frame(buf, h)
	}
	for id, h := range j.byHand {
		if !h.Ran && time.Since(time.UnixMilli(h.At)) > forgetUnwell { // warm long since
			j.live -= slack
			delete(j.byHand, id)
			continue
		}
		buf = frame(buf, h)
	}
	if j.size+int64(len(buf)) > j.budget {
		// Not a file that this journal wrote, which keeps room for its copy: make room first.
		if err := os.Remove(j.path); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	f, err := os.OpenFile(j.path+".tmp", os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	_, err = f.Write(buf)
	if err == nil {
		err = os.Rename(j.path+".tmp", j.path)
	}
	if err != nil {
		f.Close()
		os.Remove(j.path + ".tmp")
		return fmt.Errorf("journal: %w", err)
	}
	if j.f != nil {
		j.f.Close()
	}
	j.f, j.size, j.order, j.broken = f, int64(len(buf)), order, nil
	return nil
}

// Break has nothing more be written: the file may be another process's by now. A compaction that goes well ends it.
func (j *Journal) Break(err error) { j.broken = err }

// Close gives the file up.
func (j *Journal) Close() error { return j.f.Close() }

// All are the messages that are owed their end or its notice, in the order in which they were taken on.
func (j *Journal) All() iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for _, id := range j.order {
			if e := j.entries[id]; e != nil && !yield(e) {
				return
			}
		}
	}
}

// Entry is what is held of a message; nil if it has ended.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Len is how many messages are held.
func (j *Journal) Len() int { return len(j.entries) }

// Size is the length of the file in bytes.
func (j *Journal) Size() int64 { return j.size }

// Unwell are hosts in an outage, or cold after it.
func (j *Journal) Unwell() iter.Seq2[string, Record] { return maps.All(j.unwell) }

// ByHand are hosts that operators took out, or gave back not long ago.
func (j *Journal) ByHand() iter.Seq2[string, Record] { return maps.All(j.byHand) }

// Out tells whether operators have taken a host out.
func (j *Journal) Out(host string) bool { return j.byHand[host].Ran }
