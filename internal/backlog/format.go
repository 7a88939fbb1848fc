package backlog

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"

	"larchrouter/internal/backlog/state"
)

// What the files hold; all numbers little-endian. docs/backlog.md has the reasons.
//
// A frame: its length (4 bytes), CRC32 of all behind it (4), place (8), due time (8), lengths of id and key (2 each), id,
// key, data. The CRC starts from the folder's salt, so what clients send cannot pass for a frame.
//
// A file of entries: a header of 64 bytes (word, generation, destination, first place, CRC32; at 32 the head and its CRC32, then salt and its CRC32), then entries of
// 48 (place 8, due 8, hash of id 8, hash of key or zero 8, offset 4 and length 4 of the frame, CRC32 of that 4, mark 4).

const (
	frameHead  = 28
	headAt     = 32
	saltAt     = 40
	markAt     = 44
	indexWord  = 0x3158444c // "LDX1"
	markLive   = 0x4556494c
	markGone   = 0x454e4f47
	markDoubt  = 0x42554f44
	frameLimit = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var le = binary.LittleEndian

// entry is what a segment's entries say of a message.
type entry struct {
	place    uint64
	due      int64
	id, key  uint64 // hashes; the key's is zero for none
	off, len uint32
	mark     uint32
}

func (e *entry) gone() bool { return e.mark == markGone }

func appendEntry(b []byte, e *entry) []byte {
	at := len(b)
	b = le.AppendUint64(b, e.place)
	b = le.AppendUint64(b, uint64(e.due))
	b = le.AppendUint64(b, e.id)
	b = le.AppendUint64(b, e.key)
	b = le.AppendUint32(b, e.off)
	b = le.AppendUint32(b, e.len)
	b = le.AppendUint32(b, crc32.Checksum(b[at:], castagnoli))
	return le.AppendUint32(b, e.mark)
}

// readEntry reads one from its 48 bytes. A mark that is none comes back as it is.
func readEntry(b []byte) (e entry, ok bool) {
	if le.Uint32(b[40:]) != crc32.Checksum(b[:40], castagnoli) {
		return e, false
	}
	return entry{le.Uint64(b), int64(le.Uint64(b[8:])), le.Uint64(b[16:]), le.Uint64(b[24:]), le.Uint32(b[32:]), le.Uint32(b[36:]), le.Uint32(b[markAt:])}, true
}

func knownMark(m uint32) bool { return m == markLive || m == markGone || m == markDoubt }

func appendHeader(b []byte, s *state.Segment, salt []byte) []byte {
	at := len(b)
	b = le.AppendUint32(b, indexWord)
	b = le.AppendUint32(b, s.Gen)
	b = le.AppendUint64(b, uint64(s.Dest))
	b = le.AppendUint64(b, s.First)
	b = le.AppendUint32(b, crc32.Checksum(b[at:], castagnoli))
	b = append(b, make([]byte, headAt-(len(b)-at))...)
	b = append(b, headSlot(s.Head)...)
	b = append(b, salt...)
	b = le.AppendUint32(b, crc32.Checksum(salt, castagnoli))
	return append(b, make([]byte, state.Header-(len(b)-at))...)
}

func headSlot(head uint32) []byte {
	b := le.AppendUint32(nil, head)
	return le.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// readHeader checks the header of a segment's entries, and gives its generation and head. A head that is damaged is not known.
func readHeader(b []byte, dest int, first uint64) (gen, head uint32, headKnown, ok bool) {
	if len(b) < state.Header || le.Uint32(b) != indexWord || le.Uint32(b[24:]) != crc32.Checksum(b[:24], castagnoli) ||
		le.Uint64(b[8:]) != uint64(dest) || le.Uint64(b[16:]) != first {
		return 0, 0, false, false
	}
	return le.Uint32(b[4:]), le.Uint32(b[headAt:]), le.Uint32(b[headAt+4:]) == crc32.Checksum(b[headAt:headAt+4], castagnoli), true
}

// check tells whether a message fits the format.
func (m *Message) check() error {
	switch {
	case len(m.ID) > math.MaxUint16, len(m.Order) > math.MaxUint16, len(m.Data) > frameLimit:
		return &TooLarge{m.Dest, len(m.ID), len(m.Order), len(m.Data)}
	}
	return nil
}

func (m *Message) frameLen() int { return frameHead + len(m.ID) + len(m.Order) + len(m.Data) }

func appendFrame(b []byte, m *Message, place uint64, salt uint32) []byte {
	at := len(b)
	b = le.AppendUint32(b, uint32(m.frameLen()))
	b = le.AppendUint32(b, 0)
	b = le.AppendUint64(b, place)
	b = le.AppendUint64(b, uint64(m.Due))
	b = le.AppendUint16(b, uint16(len(m.ID)))
	b = le.AppendUint16(b, uint16(len(m.Order)))
	b = append(append(append(b, m.ID...), m.Order...), m.Data...)
	le.PutUint32(b[at+4:], crc32.Update(salt, castagnoli, b[at+8:]))
	return b
}

// readFrame reads the frame that b begins with; its message's data is part of b.
func readFrame(b []byte, salt uint32) (m Message, place uint64, ok bool) {
	if len(b) < frameHead {
		return m, 0, false
	}
	n := int64(le.Uint32(b))
	id, order := int64(le.Uint16(b[24:])), int64(le.Uint16(b[26:]))
	if n > int64(len(b)) || frameHead+id+order > n || le.Uint32(b[4:]) != crc32.Update(salt, castagnoli, b[8:n]) {
		return m, 0, false
	}
	at := b[frameHead:n]
	m = Message{ID: string(at[:id]), Order: string(at[id : id+order]), Data: at[id+order:], Due: int64(le.Uint64(b[16:]))}
	return m, le.Uint64(b[8:]), true
}

// hashOf is a name's hash in a folder, never zero. Salted, so nobody finds names that share one.
func hashOf(salt []byte, kind byte, dest int, name string) uint64 {
	b := append(make([]byte, 0, 128), salt...)
	b = append(le.AppendUint64(append(b, kind), uint64(dest)), name...)
	sum := sha256.Sum256(b)
	return max(1, le.Uint64(sum[:]))
}

func indexName(s *state.Segment) string { return fmt.Sprintf("%d-%x.idx", s.Dest, s.First) }
func dataName(s *state.Segment) string  { return fmt.Sprintf("%d-%x.%d.dat", s.Dest, s.First, s.Gen) }
