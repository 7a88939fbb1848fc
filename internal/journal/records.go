package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"
	"math"

	"larchrouter/choice"
	replicationstate "larchrouter/internal/replication/state"
)

// Entry has all that is needed to send a message again, or to end it. Times are Unix milliseconds.
type Entry struct {
	ID           string        `json:"id"`
	Class        string        `json:"class"`
	Dest         int           `json:"dest"`
	Tenant       string        `json:"tenant,omitempty"`
	Key          string        `json:"key,omitempty"`
	Due          int64         `json:"due"`
	Body         []byte        `json:"body,omitempty"`
	Tries        int           `json:"tries,omitempty"`
	TimeoutMs    int64         `json:"wait,omitempty"` // timeout of the last try, milliseconds
	CallMs       int64         `json:"call,omitempty"` // timeout of the call of the last try, if it is longer than TimeoutMs
	MayHaveRun   bool          `json:"ran,omitempty"`  // an attempt may have run at the destination
	MayHaveRunAt int64         `json:"ran_at,omitempty"`
	Zone         int           `json:"zone,omitempty"` // zone of the host that may have run it
	InFlight     bool          `json:"out,omitempty"`  // the last try has no outcome yet
	LastTryAt    int64         `json:"out_at,omitempty"`
	LastTryZone  int           `json:"out_to,omitempty"` // zone of the host of the last try
	Terms        *choice.Terms `json:"terms,omitempty"`  // terms under which the message was accepted
	NoticeStatus string        `json:"status,omitempty"` // status of the notice that is due; empty while the message is pending
	RetryAfterMs int64         `json:"again,omitempty"`
	Group        uint64        `json:"estate,omitempty"` // replication group of the message; 0 for none, in a relay without copies
	OrderKey     string        `json:"order,omitempty"`  // ordering key of an ordered class; the socket protocol has no field for it yet

	sequence       uint64 // position in the order of acceptance of the journal that has it
	compactedBytes int64  // maximum size in a compacted journal
}

// NoMoreTries is the value of Tries of a message that is only to be ended. It is beyond any limit on attempts, so the body
// of such a message is not needed.
const NoMoreTries = math.MaxInt32

// Values of Record.Op. They are stored in the file.
const (
	OpAccepted   = "taken"   // Entry was accepted, or copied by a compaction
	OpTry        = "try"     // an attempt is about to be sent
	OpOutcome    = "outcome" // the attempt ended; Flag: it may have run
	OpNotice     = "notice"  // the message ended undelivered; its notice is due
	OpEnd        = "end"     // the message is finished
	OpHealth     = "health"  // ID is a host; Flag: it is in an outage, else the outage is over
	OpDisabled   = "hand"    // ID is a host; Flag: operators disabled it at At, else enabled it
	OpRetryAfter = "wait"    // ID is a host that at At asked to be sent nothing for WaitMs
	OpClassTerms = "classes" // ClassTerms are the terms that clients may know
	OpGroupState = "mark"    // GroupState is the state of a replication group
	OpGroupNext  = "count"   // Group has NextRecord records, including those of this write
)

// Record is one event of a message, a host or a replication group. Times are Unix milliseconds; the meaning of the fields
// depends on Op.
type Record struct {
	Op           string      `json:"op"`
	ID           string      `json:"i,omitempty"`
	Entry        *Entry      `json:"e,omitempty"`
	At           int64       `json:"at,omitempty"`
	WaitMs       int64       `json:"w,omitempty"`
	CallMs       int64       `json:"l,omitempty"`
	Zone         int         `json:"z,omitempty"`
	Flag         bool        `json:"r,omitempty"`
	Status       string      `json:"s,omitempty"`
	RetryAfterMs int64       `json:"a,omitempty"`
	Base         float64     `json:"b,omitempty"`
	Group        uint64      `json:"t,omitempty"`
	NextRecord   uint64      `json:"q,omitempty"`
	GroupState   *GroupState `json:"m,omitempty"`
	ClassTerms   *ClassTerms `json:"c,omitempty"`
}

// ClassTerms are the terms of the classes by which clients may submit messages.
type ClassTerms struct {
	Current    []choice.Terms `json:"current,omitempty"`
	Earlier    []EarlierTerms `json:"earlier,omitempty"`    // of settings that were replaced, in the order of their replacement
	Unrecorded bool           `json:"unrecorded,omitempty"` // the terms were too long to be recorded
	// UnknownUntil is when clients no longer know terms whose record was lost, in Unix milliseconds; 0 if none was.
	UnknownUntil int64 `json:"unknown_until,omitempty"`
}

// EarlierTerms are terms that clients know until a time in Unix milliseconds at most.
type EarlierTerms struct {
	Terms choice.Terms `json:"terms"`
	Until int64        `json:"until"`
}

// GroupState is what the owner or a replica records of a replication group besides its messages.
type GroupState struct {
	replicationstate.Copy
	Group   uint64                        `json:"estate"`
	Name    string                        `json:"name,omitempty"`
	Main    bool                          `json:"main,omitempty"`
	Copies  int                           `json:"copies,omitempty"`
	Sets    []replicationstate.ReplicaSet `json:"sets,omitempty"` // replica sets that may have the committed records
	Removed bool                          `json:"over,omitempty"` // the group is removed from the journal
}

// appendFrame appends an encoded record to a buffer.
func appendFrame(buf []byte, r Record) []byte {
	var frames frameBuffer
	frames.append(r)
	return append(buf, frames.buf.Bytes()...)
}

// decodeFrame decodes the record at the start of data and returns its length. For a truncated or corrupt record it returns
// an error; the start of the next record cannot be derived from it.
func decodeFrame(data []byte) (record Record, n int, err error) {
	if len(data) < frameHeaderSize {
		return record, 0, errors.New("torn header")
	}
	size := binary.LittleEndian.Uint32(data)
	if size > maxRecordBytes || int(size) > len(data)-frameHeaderSize {
		return record, 0, errors.New("torn record")
	}
	payload := data[frameHeaderSize : frameHeaderSize+int(size)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[4:]) {
		return record, 0, errors.New("checksum differs")
	}
	if err := json.Unmarshal(payload, &record); err != nil {
		return record, 0, err
	}
	return record, frameHeaderSize + int(size), nil
}

// findNextFrame returns the offset of the next intact record behind a damaged one, or -1.
func findNextFrame(data []byte) int {
	for offset := 1; offset+frameHeaderSize < len(data); offset++ {
		if _, _, err := decodeFrame(data[offset:]); err == nil {
			return offset
		}
	}
	return -1
}
