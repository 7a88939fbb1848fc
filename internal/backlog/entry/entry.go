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
	otherName // the class of the terms has another name than the message's
)

// Unreadable is a message whose data this version of the program cannot read.
type Unreadable struct {
	ID  string
	Why string
}

func (u *Unreadable) Error() string { return fmt.Sprintf("message %s of the backlog: %s", u.ID, u.Why) }

// Remedy says what an operator can do.
func (u *Unreadable) Remedy() string {
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
			flags |= otherName
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
	return backlog.Message{ID: e.ID, Dest: e.Dest, Due: e.Due, Order: e.Order, Data: append(data, e.Body...)}
}

// Unpack is the message again. One in doubt may have run long ago, as the journal takes it of one whose records are lost.
func Unpack(h backlog.Held) (*journal.Entry, error) {
	e := &journal.Entry{ID: h.ID, Dest: h.Dest, Due: h.Due, Order: h.Order, Ran: h.Doubt}
	r := reader{data: h.Data}
	version, flags := r.byte(), r.byte()
	if version != versionOne && r.why == "" {
		return nil, &Unreadable{h.ID, fmt.Sprintf("its data has version %d, this program reads %d", version, versionOne)}
	}
	e.Class, e.Tenant, e.Key = r.text(), r.text(), r.text()
	if flags&hasTerms != 0 {
		t := &choice.Terms{Class: choice.Class{Name: e.Class, SameZone: flags&sameZone != 0, Ordered: flags&ordered != 0}}
		if flags&otherName != 0 {
			t.Class.Name = r.text()
		}
		t.Attempts, t.Class.Effect = int(r.number()), choice.Effect(r.number())
		t.Class.Aim, t.Class.Deadline, t.Class.Window = time.Duration(r.number()), time.Duration(r.number()), time.Duration(r.number())
		t.Class.Worth, t.Class.LateShare = r.float(), r.float()
		e.Terms = t
	}
	if r.why != "" {
		return nil, &Unreadable{h.ID, r.why}
	}
	e.Body = r.data
	return e, nil
}

// reader takes fields off the front of data. After the first that is not there it gives nothing more.
type reader struct {
	data []byte
	why  string
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.data) {
		r.data, r.why = nil, "its data is cut short"
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) text() string {
	n, used := binary.Uvarint(r.data)
	if used <= 0 || n > uint64(len(r.data)-used) {
		r.take(-1)
		return ""
	}
	r.take(used)
	return string(r.take(int(n)))
}

func (r *reader) number() int64 {
	n, used := binary.Varint(r.data)
	if used <= 0 {
		r.take(-1)
		return 0
	}
	r.take(used)
	return n
}

func (r *reader) float() float64 {
	if b := r.take(8); b != nil {
		return math.Float64frombits(binary.LittleEndian.Uint64(b))
	}
	return 0
}
