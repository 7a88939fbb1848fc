package backlog

import (
	"hash/crc32"
)

// A page of the table of ids and keys: a header of 32 bytes (word 4, depth 4, prefix 8, number 8, zero 4, CRC32 4), then slots of 32
// (hash 8, place 8, destination 8, count 4, CRC32 4). A slot of zeros is free; one is never freed alone, so a search ends at the first free one.
const (
	pageSize     = 32 << 10
	slotSize     = 32
	slotsPerPage = pageSize/slotSize - 1
	pageMagic    = 0x3150424c // "LBP1"
)

// slot leads from a hash to a place. An id's has count zero, a key's one more than its messages here.
type slot struct {
	hash     uint64
	sequence uint64
	dest     int
	count    uint32
}

func (s *slot) encode() []byte {
	b := littleEndian.AppendUint64(make([]byte, 0, slotSize), s.hash)
	b = littleEndian.AppendUint64(b, s.sequence)
	b = littleEndian.AppendUint64(b, uint64(s.dest))
	b = littleEndian.AppendUint32(b, s.count)
	return littleEndian.AppendUint32(b, crc32.Checksum(b, castagnoliTable))
}

// readSlot reads one. Of none but zeros, hash is zero.
func decodeSlot(b []byte) (s slot, ok bool) {
	if [slotSize]byte(b) == [slotSize]byte{} {
		return s, true
	}
	if littleEndian.Uint32(b[28:]) != crc32.Checksum(b[:28], castagnoliTable) {
		return s, false
	}
	return slot{littleEndian.Uint64(b), littleEndian.Uint64(b[8:]), int(int64(littleEndian.Uint64(b[16:]))), littleEndian.Uint32(b[24:])}, true
}

// page is which hashes a page has: those that begin with the depth first bits of prefix.
type page struct {
	depth    uint32
	prefix   uint64 // in the first bits, zeros behind
	sequence uint64 // rises; of two for the same hashes the older is whole
	index    uint32 // its place in the file
}

func (p *page) encodeHeader() []byte {
	b := littleEndian.AppendUint32(make([]byte, 0, slotSize), pageMagic)
	b = littleEndian.AppendUint32(b, p.depth)
	b = littleEndian.AppendUint64(b, p.prefix)
	b = littleEndian.AppendUint64(b, p.sequence)
	b = littleEndian.AppendUint32(b, 0)
	return littleEndian.AppendUint32(b, crc32.Checksum(b, castagnoliTable))
}

func decodePage(b []byte, index uint32) (p page, ok bool) {
	if littleEndian.Uint32(b) != pageMagic || littleEndian.Uint32(b[28:]) != crc32.Checksum(b[:28], castagnoliTable) {
		return p, false
	}
	p = page{littleEndian.Uint32(b[4:]), littleEndian.Uint64(b[8:]), littleEndian.Uint64(b[16:]), index}
	return p, p.depth <= maxDepth && p.prefix<<p.depth == 0
}

// fill is a page with slots.
func (p *page) encode(all []slot) []byte {
	b := make([]byte, pageSize)
	copy(b, p.encodeHeader())
	for _, s := range all {
		for i := s.hash % slotsPerPage; ; i = (i + 1) % slotsPerPage {
			if at := b[(i+1)*slotSize:]; littleEndian.Uint64(at) == 0 {
				copy(at, s.encode())
				break
			}
		}
	}
	return b
}
