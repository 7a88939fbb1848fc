package backlog

import (
	"hash/crc32"
)

// A page of the table of ids and keys: a header of 32 bytes (word 4, depth 4, prefix 8, number 8, zero 4, CRC32 4), then slots of 32
// (hash 8, place 8, destination 8, count 4, CRC32 4). A slot of zeros is free; one is never freed alone, so a search ends at the first free one.
const (
	pageSize = 32 << 10
	slotSize = 32
	slots    = pageSize/slotSize - 1
	pageWord = 0x3150424c // "LBP1"
)

// slot leads from a hash to a place. An id's has count zero, a key's one more than its messages here.
type slot struct {
	hash  uint64
	place uint64
	dest  int
	count uint32
}

func (s *slot) bytes() []byte {
	b := le.AppendUint64(make([]byte, 0, slotSize), s.hash)
	b = le.AppendUint64(b, s.place)
	b = le.AppendUint64(b, uint64(s.dest))
	b = le.AppendUint32(b, s.count)
	return le.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// readSlot reads one. Of none but zeros, hash is zero.
func readSlot(b []byte) (s slot, ok bool) {
	if [slotSize]byte(b) == [slotSize]byte{} {
		return s, true
	}
	if le.Uint32(b[28:]) != crc32.Checksum(b[:28], castagnoli) {
		return s, false
	}
	return slot{le.Uint64(b), le.Uint64(b[8:]), int(int64(le.Uint64(b[16:]))), le.Uint32(b[24:])}, true
}

// page is which hashes a page has: those that begin with the depth first bits of prefix.
type page struct {
	depth  uint32
	prefix uint64 // in the first bits, zeros behind
	number uint64 // rises; of two for the same hashes the older is whole
	at     uint32 // its place in the file
}

func (p *page) header() []byte {
	b := le.AppendUint32(make([]byte, 0, slotSize), pageWord)
	b = le.AppendUint32(b, p.depth)
	b = le.AppendUint64(b, p.prefix)
	b = le.AppendUint64(b, p.number)
	b = le.AppendUint32(b, 0)
	return le.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func readPage(b []byte, at uint32) (p page, ok bool) {
	if le.Uint32(b) != pageWord || le.Uint32(b[28:]) != crc32.Checksum(b[:28], castagnoli) {
		return p, false
	}
	p = page{le.Uint32(b[4:]), le.Uint64(b[8:]), le.Uint64(b[16:]), at}
	return p, p.depth <= depthMost && p.prefix<<p.depth == 0
}

// fill is a page with slots.
func (p *page) fill(all []slot) []byte {
	b := make([]byte, pageSize)
	copy(b, p.header())
	for _, s := range all {
		for i := s.hash % slots; ; i = (i + 1) % slots {
			if at := b[(i+1)*slotSize:]; le.Uint64(at) == 0 {
				copy(at, s.bytes())
				break
			}
		}
	}
	return b
}
