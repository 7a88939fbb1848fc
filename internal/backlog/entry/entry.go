// Package entry converts messages between the form of the journal and that of the backlog. It uses neither files nor a clock.
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

// The first byte is the version of the encoding. Later versions of the program read all earlier encodings; a program that
// is older than the data it finds leaves it alone. Numbers are varints, strings follow their length, and the body is the
// remainder.
const (
	versionOne = 1

	hasTerms = 1 << iota
	sameZone
	ordered
	differentClassName // the class in the terms has another name than the class of the message
)

// UnreadableError reports a message whose data this version of the program cannot read.
type UnreadableError struct {
	ID     string
	Reason string
}

func (u *UnreadableError) Error() string {
	return fmt.Sprintf("message %s of the backlog: %s", u.ID, u.Reason)
}

// Remedy tells what an operator can do.
func (u *UnreadableError) Remedy() string {
	return "it ends as undeliverable, have its sender ask; if a later version of the program wrote it, go back to that one"
}

// Pack converts a message that was never tried to the form of the backlog. The encoding is binary because the journal's
// JSON takes 742 bytes for a body of 200: it spells out the names of all fields of the terms and has the body as text.
func Pack(entry *journal.Entry) backlog.Message {
	data := make([]byte, 0, 96+len(entry.Body))
	var flags byte
	if terms := entry.Terms; terms != nil {
		flags |= hasTerms
		if terms.Class.SameZone {
			flags |= sameZone
		}
		if terms.Class.Ordered {
			flags |= ordered
		}
		if terms.Class.Name != entry.Class {
			flags |= differentClassName
		}
	}
	data = append(data, versionOne, flags)
	text := func(s string) { data = append(binary.AppendUvarint(data, uint64(len(s))), s...) }
	text(entry.Class)
	text(entry.Tenant)
	text(entry.Key)
	if terms := entry.Terms; terms != nil {
		if terms.Class.Name != entry.Class {
			text(terms.Class.Name)
		}
		for _, n := range []int64{int64(terms.Attempts), int64(terms.Class.Effect), int64(terms.Class.Aim), int64(terms.Class.Deadline), int64(terms.Class.Window)} {
			data = binary.AppendVarint(data, n)
		}
		for _, f := range []float64{terms.Class.Worth, terms.Class.LateShare} {
			data = binary.LittleEndian.AppendUint64(data, math.Float64bits(f))
		}
	}
	return backlog.Message{ID: entry.ID, Dest: entry.Dest, Due: entry.Due, OrderKey: entry.OrderKey, Data: append(data, entry.Body...)}
}

// Unpack restores the message; its error is an UnreadableError. A message in doubt counts as one that may have run at an
// unknown time, as in a journal whose records of it are lost.
func Unpack(message backlog.StoredMessage) (*journal.Entry, error) {
	entry := &journal.Entry{ID: message.ID, Dest: message.Dest, Due: message.Due, OrderKey: message.OrderKey, MayHaveRun: message.InDoubt}
	fields := fieldReader{data: message.Data}
	version, flags := fields.byte(), fields.byte()
	if version != versionOne && fields.problem == "" {
		return nil, &UnreadableError{message.ID, fmt.Sprintf("its data has version %d, this program reads %d", version, versionOne)}
	}
	entry.Class, entry.Tenant, entry.Key = fields.text(), fields.text(), fields.text()
	if flags&hasTerms != 0 {
		terms := &choice.Terms{Class: choice.Class{Name: entry.Class, SameZone: flags&sameZone != 0, Ordered: flags&ordered != 0}}
		if flags&differentClassName != 0 {
			terms.Class.Name = fields.text()
		}
		terms.Attempts, terms.Class.Effect = int(fields.number()), choice.Effect(fields.number())
		terms.Class.Aim, terms.Class.Deadline, terms.Class.Window = time.Duration(fields.number()), time.Duration(fields.number()), time.Duration(fields.number())
		terms.Class.Worth, terms.Class.LateShare = fields.float(), fields.float()
		entry.Terms = terms
	}
	if fields.problem != "" {
		return nil, &UnreadableError{message.ID, fields.problem}
	}
	entry.Body = fields.data
	return entry, nil
}

// fieldReader removes fields from the front of data. After the first field that is missing all others are zero.
type fieldReader struct {
	data    []byte
	problem string
}

func (r *fieldReader) next(n int) []byte {
	if n < 0 || n > len(r.data) {
		r.data, r.problem = nil, "its data is cut short"
		return nil
	}
	field := r.data[:n]
	r.data = r.data[n:]
	return field
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
