// Package entry turns messages of the journal into what the backlog keeps of them, and back. It has no files and no clock.
package entry

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/backlog"
	"larchrouter/internal/journal"
)

// The first byte says how the rest is to be read. Later versions read all earlier ones; a relay that is older than what it
// finds leaves it alone. Numbers are varints, texts have their length before them, the body is the rest.
const (
	versionOne = 1

	hasTerms = 1 << iota
	sameZone
	ordered
	differentClassName // the class of the terms has another name than the message's
)

// Unreadable is a message whose data this version of the program cannot read.
type UnreadableError struct {
	ID     string
	Reason string
}

func (u *UnreadableError) Error() string {
	return fmt.Sprintf("message %s of the backlog: %s", u.ID, u.Reason)
}

// Remedy says what an operator can do.
func (u *UnreadableError) Remedy() string {
	return "it ends as undeliverable, have its sender ask; if a later version of the program wrote it, go back to that one"
}

// Pack is what the backlog keeps of a message that was never tried. It is binary, not the journal's JSON: that takes 742 bytes
// for a body of 200, for it has all names of the terms and the body as text.
func Pack(e *journal.Entry) backlog.Message {
	data := make([]byte, 0, 96+len(e.Body))
	var flags byte
	if t := e.Terms; t != nil {
		flags |= hasTerms
		if t.Class.SameZone {
			flags |= sameZone
		}
		if t.Class.Ordered {
			flags |= ordered
		}
		if t.Class.Name != e.Class {
			flags |= differentClassName
		}
	}
	data = append(data, versionOne, flags)
	text := func(s string) { data = append(binary.AppendUvarint(data, uint64(len(s))), s...) }
	text(e.Class)
	text(e.Tenant)
	text(e.Key)
	if t := e.Terms; t != nil {
		if t.Class.Name != e.Class {
			text(t.Class.Name)
		}
		for _, n := range []int64{int64(t.Attempts), int64(t.Class.Effect), int64(t.Class.Aim), int64(t.Class.Deadline), int64(t.Class.Window)} {
			data = binary.AppendVarint(data, n)
		}
		for _, f := range []float64{t.Class.Worth, t.Class.LateShare} {
			data = binary.LittleEndian.AppendUint64(data, math.Float64bits(f))
		}
	}
	return backlog.Message{ID: e.ID, Dest: e.Dest, Due: e.Due, OrderKey: e.OrderKey, Data: append(data, e.Body...)}
}

// Unpack is the message again. One in doubt may have run long ago, as the journal takes it of one whose records are lost.
func Unpack(h backlog.StoredMessage) (*journal.Entry, error) {
	e := &journal.Entry{ID: h.ID, Dest: h.Dest, Due: h.Due, OrderKey: h.OrderKey, MayHaveRun: h.InDoubt}
	r := fieldReader{data: h.Data}
	version, flags := r.byte(), r.byte()
	if version != versionOne && r.problem == "" {
		return nil, &UnreadableError{h.ID, fmt.Sprintf("its data has version %d, this program reads %d", version, versionOne)}
	}
	e.Class, e.Tenant, e.Key = r.text(), r.text(), r.text()
	if flags&hasTerms != 0 {
		t := &choice.Terms{Class: choice.Class{Name: e.Class, SameZone: flags&sameZone != 0, Ordered: flags&ordered != 0}}
		if flags&differentClassName != 0 {
			t.Class.Name = r.text()
		}
		t.Attempts, t.Class.Effect = int(r.number()), choice.Effect(r.number())
		t.Class.Aim, t.Class.Deadline, t.Class.Window = time.Duration(r.number()), time.Duration(r.number()), time.Duration(r.number())
		t.Class.Worth, t.Class.LateShare = r.float(), r.float()
		e.Terms = t
	}
	if r.problem != "" {
		return nil, &UnreadableError{h.ID, r.problem}
	}
	e.Body = r.data
	return e, nil
}

// reader takes fields off the front of data. After the first that is not there it gives nothing more.
type fieldReader struct {
	data    []byte
	problem string
}

func (r *fieldReader) next(n int) []byte {
	if n < 0 || n > len(r.data) {
		r.data, r.problem = nil, "its data is cut short"
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

func (r *fieldReader) byte() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *fieldReader) text() string {
	n, used := binary.Uvarint(r.data)
	if used <= 0 || n > uint64(len(r.data)-used) {
		r.next(-1)
		return ""
	}
	r.next(used)
	return string(r.next(int(n)))
}

func (r *fieldReader) number() int64 {
	n, used := binary.Varint(r.data)
	if used <= 0 {
		r.next(-1)
		return 0
	}
	r.next(used)
	return n
}

func (r *fieldReader) float() float64 {
	if b := r.next(8); b != nil {
		return math.Float64frombits(binary.LittleEndian.Uint64(b))
	}
	return 0
}
