package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"

	"larchrouter/choice"
	estates "larchrouter/internal/estate/state"
)

// Entry is all that is needed to send a message again, or to end it.
type Entry struct {
	ID           string        `json:"id"`
	Class        string        `json:"class"`
	Dest         int           `json:"dest"`
	Tenant       string        `json:"tenant,omitempty"`
	Key          string        `json:"key,omitempty"`
	Due          int64         `json:"due"`
	Body         []byte        `json:"body,omitempty"`
	Tries        int           `json:"tries,omitempty"`
	TimeoutMs    int64         `json:"wait,omitempty"` // time-out of the last try, ms
	MayHaveRun   bool          `json:"ran,omitempty"`  // an attempt may have run
	MayHaveRunAt int64         `json:"ran_at,omitempty"`
	Zone         int           `json:"zone,omitempty"` // of the host that may have run it
	InFlight     bool          `json:"out,omitempty"`  // the last try has no outcome
	LastTryAt    int64         `json:"out_at,omitempty"`
	LastTryZone  int           `json:"out_to,omitempty"` // zone of its host
	Terms        *choice.Terms `json:"terms,omitempty"`  // it came under
	NoticeStatus string        `json:"status,omitempty"` // of the notice that is owed
	RetryAfterMs int64         `json:"again,omitempty"`
	Group        uint64        `json:"estate,omitempty"` // that it belongs to; 0 for none, in a relay that copies nothing
	OrderKey     string        `json:"order,omitempty"`  // key of an ordered class; the protocol on sockets has no field for one yet

	sequence       uint64 // in the order of the journal that has it
	compactedBytes int64  // bytes that it takes in a compacted journal at most
}

// What a record tells of a message.
const (
	OpAccepted   = "taken"   // Entry: taken on, or carried over by compaction
	OpTry        = "try"     // an attempt is about to go
	OpOutcome    = "outcome" // it ended
	OpNotice     = "notice"  // the message ended undelivered; its notice is owed
	OpEnd        = "end"     // nothing more is owed
	OpHealth     = "health"  // ID is a host: an outage was seen there (Ran), or has passed
	OpDisabled   = "hand"    // ID is a host: operators took it out (Ran), or gave it back, at At
	OpRetryAfter = "wait"    // ID is a host: it told at At to be sent nothing for Wait ms
	OpGroupState = "mark"    // Mark: where an estate stands
	OpGroupNext  = "count"   // Estate has as many records as Next says, those of this write among them
)

// Record is one thing that happened.
type Record struct {
	Op           string      `json:"op"`
	ID           string      `json:"i,omitempty"`
	Entry        *Entry      `json:"e,omitempty"`
	At           int64       `json:"at,omitempty"`
	WaitMs       int64       `json:"w,omitempty"`
	Zone         int         `json:"z,omitempty"`
	Flag         bool        `json:"r,omitempty"`
	Status       string      `json:"s,omitempty"`
	RetryAfterMs int64       `json:"a,omitempty"`
	Base         float64     `json:"b,omitempty"`
	Group        uint64      `json:"t,omitempty"`
	NextRecord   uint64      `json:"q,omitempty"`
	GroupState   *GroupState `json:"m,omitempty"`
}

// Mark is what is kept of an estate beside its messages, by its owner or by a holder.
type GroupState struct {
	estates.Copy
	Group   uint64        `json:"estate"`
	Name    string        `json:"name,omitempty"`
	Main    bool          `json:"main,omitempty"`
	Copies  int           `json:"copies,omitempty"`
	Sets    []estates.Set `json:"sets,omitempty"` // that may have what counts
	Removed bool          `json:"over,omitempty"` // nothing is kept of it any more
}

func appendFrame(buf []byte, r Record) []byte {
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
func decodeFrame(data []byte) (r Record, n int, err error) {
	if len(data) < frameHeaderSize {
		return r, 0, errors.New("torn header")
	}
	size := binary.LittleEndian.Uint32(data)
	if size > maxRecordBytes || int(size) > len(data)-frameHeaderSize {
		return r, 0, errors.New("torn record")
	}
	payload := data[frameHeaderSize : frameHeaderSize+int(size)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[4:]) {
		return r, 0, errors.New("checksum differs")
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return r, 0, err
	}
	return r, frameHeaderSize + int(size), nil
}

// nextFrame finds the next sound record behind a damaged one, or returns -1.
func findNextFrame(data []byte) int {
	for offset := 1; offset+frameHeaderSize < len(data); offset++ {
		if _, _, err := decodeFrame(data[offset:]); err == nil {
			return offset
		}
	}
	return -1
}
