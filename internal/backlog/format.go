package backlog

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"

	"larchrouter/internal/backlog/state"
)

// Format of the files. All numbers are little-endian. docs/backlog.md has the reasons.
//
// A frame in a data file: its length (4 bytes), CRC32 of all that follows (4), sequence (8), due time (8), lengths of id
// and ordering key (2 each), id, ordering key, data. The CRC starts with the folder's salt, so data that a client sends
// cannot pass for a frame.
//
// An index file: a header of 64 bytes (magic number, number of rewrites, destination, first sequence, CRC32; at offset 32
// the head and its CRC32, then the salt and its CRC32), then entries of 48 bytes (sequence 8, due time 8, hash of the id
// 8, hash of the ordering key or zero 8, offset 4 and length 4 of the frame, CRC32 of these 4, mark 4).

const (
	frameHeaderSize = 28
	headOffset      = 32
	saltOffset      = 40
	markOffset      = 44
	indexMagic      = 0x3158444c // "LDX1"
	markLive        = 0x4556494c
	markRemoved     = 0x454e4f47
	markInDoubt     = 0x42554f44
	maxDataBytes    = 1 << 30
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

var littleEndian = binary.LittleEndian

// indexEntry is the entry of a message in the index file of its segment.
type indexEntry struct {
	sequence        uint64
	due             int64
	idHash, keyHash uint64 // salted hashes; keyHash is zero for a message without an ordering key
	offset, len     uint32
	mark            uint32
}

func (e *indexEntry) removed() bool { return e.mark == markRemoved }

func appendEntry(b []byte, e *indexEntry) []byte {
	start := len(b)
	b = littleEndian.AppendUint64(b, e.sequence)
	b = littleEndian.AppendUint64(b, uint64(e.due))
	b = littleEndian.AppendUint64(b, e.idHash)
	b = littleEndian.AppendUint64(b, e.keyHash)
	b = littleEndian.AppendUint32(b, e.offset)
	b = littleEndian.AppendUint32(b, e.len)
	b = littleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoliTable))
	return littleEndian.AppendUint32(b, e.mark)
}

// decodeEntry decodes an entry from its 48 bytes. It does not validate the mark, which the CRC32 does not cover.
func decodeEntry(b []byte) (e indexEntry, ok bool) {
	if littleEndian.Uint32(b[40:]) != crc32.Checksum(b[:40], castagnoliTable) {
		return e, false
	}
	return indexEntry{littleEndian.Uint64(b), int64(littleEndian.Uint64(b[8:])), littleEndian.Uint64(b[16:]), littleEndian.Uint64(b[24:]), littleEndian.Uint32(b[32:]), littleEndian.Uint32(b[36:]), littleEndian.Uint32(b[markOffset:])}, true
}

func validMark(m uint32) bool { return m == markLive || m == markRemoved || m == markInDoubt }

func appendHeader(b []byte, s *state.Segment, salt []byte) []byte {
	start := len(b)
	b = littleEndian.AppendUint32(b, indexMagic)
	b = littleEndian.AppendUint32(b, s.Rewrites)
	b = littleEndian.AppendUint64(b, uint64(s.Dest))
	b = littleEndian.AppendUint64(b, s.First)
	b = littleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoliTable))
	b = append(b, make([]byte, headOffset-(len(b)-start))...)
	b = append(b, encodeHead(s.Head)...)
	b = append(b, salt...)
	b = littleEndian.AppendUint32(b, crc32.Checksum(salt, castagnoliTable))
	return append(b, make([]byte, state.HeaderSize-(len(b)-start))...)
}

func encodeHead(head uint32) []byte {
	b := littleEndian.AppendUint32(nil, head)
	return littleEndian.AppendUint32(b, crc32.Checksum(b, castagnoliTable))
}

// decodeHeader checks the header of an index file and returns its number of rewrites and its head. headKnown is false if
// the head is damaged.
func decodeHeader(b []byte, dest int, first uint64) (rewrites, head uint32, headKnown, ok bool) {
	if len(b) < state.HeaderSize || littleEndian.Uint32(b) != indexMagic || littleEndian.Uint32(b[24:]) != crc32.Checksum(b[:24], castagnoliTable) ||
		littleEndian.Uint64(b[8:]) != uint64(dest) || littleEndian.Uint64(b[16:]) != first {
		return 0, 0, false, false
	}
	return littleEndian.Uint32(b[4:]), littleEndian.Uint32(b[headOffset:]), littleEndian.Uint32(b[headOffset+4:]) == crc32.Checksum(b[headOffset:headOffset+4], castagnoliTable), true
}

// checkSize returns a TooLargeError for a message that exceeds the limits of the format.
func (m *Message) checkSize() error {
	switch {
	case len(m.ID) > math.MaxUint16, len(m.OrderKey) > math.MaxUint16, len(m.Data) > maxDataBytes:
		return &TooLargeError{m.Dest, len(m.ID), len(m.OrderKey), len(m.Data)}
	}
	return nil
}

func (m *Message) frameSize() int { return frameHeaderSize + len(m.ID) + len(m.OrderKey) + len(m.Data) }

func appendFrame(b []byte, m *Message, sequence uint64, salt uint32) []byte {
	start := len(b)
	b = littleEndian.AppendUint32(b, uint32(m.frameSize()))
	b = littleEndian.AppendUint32(b, 0)
	b = littleEndian.AppendUint64(b, sequence)
	b = littleEndian.AppendUint64(b, uint64(m.Due))
	b = littleEndian.AppendUint16(b, uint16(len(m.ID)))
	b = littleEndian.AppendUint16(b, uint16(len(m.OrderKey)))
	b = append(append(append(b, m.ID...), m.OrderKey...), m.Data...)
	littleEndian.PutUint32(b[start+4:], crc32.Update(salt, castagnoliTable, b[start+8:]))
	return b
}

// decodeFrame decodes the frame at the start of data. The data of the message is a slice of it.
func decodeFrame(data []byte, salt uint32) (message Message, sequence uint64, ok bool) {
	if len(data) < frameHeaderSize {
		return message, 0, false
	}
	size := int64(littleEndian.Uint32(data))
	idSize, orderKeySize := int64(littleEndian.Uint16(data[24:])), int64(littleEndian.Uint16(data[26:]))
	if size > int64(len(data)) || frameHeaderSize+idSize+orderKeySize > size || littleEndian.Uint32(data[4:]) != crc32.Update(salt, castagnoliTable, data[8:size]) {
		return message, 0, false
	}
	rest := data[frameHeaderSize:size]
	message = Message{ID: string(rest[:idSize]), OrderKey: string(rest[idSize : idSize+orderKeySize]), Data: rest[idSize+orderKeySize:], Due: int64(littleEndian.Uint64(data[16:]))}
	return message, littleEndian.Uint64(data[8:]), true
}

// saltedHash returns the hash of a name in this folder; it is never zero. The salt keeps clients from finding names with
// equal hashes.
func saltedHash(salt []byte, kind byte, dest int, name string) uint64 {
	b := append(make([]byte, 0, 128), salt...)
	b = append(littleEndian.AppendUint64(append(b, kind), uint64(dest)), name...)
	sum := sha256.Sum256(b)
	return max(1, littleEndian.Uint64(sum[:]))
}

func indexFileName(s *state.Segment) string { return fmt.Sprintf("%d-%x.idx", s.Dest, s.First) }
func dataFileName(s *state.Segment) string {
	return fmt.Sprintf("%d-%x.%d.dat", s.Dest, s.First, s.Rewrites)
}
