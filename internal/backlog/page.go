package backlog

import (
	"hash/crc32"
)

// A page of the table of ids and keys: a header of 32 bytes (magic number 4, depth 4, prefix 8, sequence 8, zero 4,
// CRC32 4), then slots of 32 bytes (hash 8, sequence of the message 8, destination 8, count 4, CRC32 4). A slot of zeros is
// free. Slots are never freed one by one, so a search ends at the first free one.
const (
	pageSize     = 32 << 10
	slotSize     = 32
	slotsPerPage = pageSize/slotSize - 1
	pageMagic    = 0x3150424c // "LBP1"
)

// slot maps a hash to a sequence number. The count of an id's slot is zero, that of an ordering key's is one more than its
// number of messages in the destination.
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

// decodeSlot decodes a slot. The hash of a free slot is zero.
func decodeSlot(b []byte) (s slot, ok bool) {
	if [slotSize]byte(b) == [slotSize]byte{} {
		return s, true
	}
	if littleEndian.Uint32(b[28:]) != crc32.Checksum(b[:28], castagnoliTable) {
		return s, false
	}
	return slot{littleEndian.Uint64(b), littleEndian.Uint64(b[8:]), int(int64(littleEndian.Uint64(b[16:]))), littleEndian.Uint32(b[24:])}, true
}

// page identifies the hashes of a page: those that begin with the first depth bits of prefix.
type page struct {
	depth    uint32
	prefix   uint64 // in the most significant bits; the others are zero
	sequence uint64 // increases; of two pages for the same hashes the older one is complete
	index    uint32 // position in the file, in pages
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

// encode returns the bytes of a page with the given slots.
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
