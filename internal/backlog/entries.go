package backlog

import (
	"errors"
	"io/fs"
	"math"
	"sort"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"larchrouter/internal/backlog/state"
)

// entries reads what segments' files of entries say, by pieces of which it keeps a few.
type indexReader struct {
	folder *folder
	cache  *simplelru.LRU[cacheKey, []byte]
}

type cacheKey struct {
	segment *state.Segment
	block   uint32
}

// pieces of 64 entries, of which 64 are kept: 192 KiB.
const (
	entriesPerBlock = 64
	maxCachedBlocks = 64
)

// brokenSegment is that a segment's entries have to be mended before they can be used.
type damagedSegmentError struct{ segment *state.Segment }

func (b *damagedSegmentError) Error() string { return indexFileName(b.segment) + " is damaged" }

func newIndexReader(d *folder) (*indexReader, error) {
	kept, err := simplelru.NewLRU[cacheKey, []byte](maxCachedBlocks, nil)
	return &indexReader{d, kept}, err
}

// raw is an entry's 48 bytes.
func (e *indexReader) entryBytes(s *state.Segment, i uint32) ([]byte, error) {
	k := cacheKey{s, i / entriesPerBlock}
	from := i / entriesPerBlock * entriesPerBlock
	b, ok := e.cache.Get(k)
	if !ok {
		b = make([]byte, min(entriesPerBlock, s.Entries-from)*state.EntrySize, entriesPerBlock*state.EntrySize)
		if err := e.read(s, b, from); err != nil {
			return nil, err
		}
		e.cache.Add(k, b)
	}
	return b[(i-from)*state.EntrySize:][:state.EntrySize], nil
}

// read fills b with entries from one on.
func (e *indexReader) read(s *state.Segment, b []byte, from uint32) error {
	n, err := e.folder.read(indexFileName(s), b, entryOffset(from))
	if errors.Is(err, fs.ErrNotExist) || err == nil && n < len(b) {
		return &damagedSegmentError{s}
	}
	return err
}

func entryOffset(i uint32) int64 { return state.HeaderSize + int64(i)*state.EntrySize }

// at is an entry.
func (e *indexReader) entry(s *state.Segment, i uint32) (indexEntry, error) {
	b, err := e.entryBytes(s, i)
	if err != nil {
		return indexEntry{}, err
	}
	have, ok := decodeEntry(b)
	if !ok || !validMark(have.mark) {
		return indexEntry{}, &damagedSegmentError{s}
	}
	return have, nil
}

// search finds the entry of a place. Places rise, mostly evenly: so it looks where the place would be then, and halves what is left if it is not.
func (e *indexReader) find(s *state.Segment, place uint64) (i uint32, have indexEntry, ok bool, err error) {
	from, to := uint32(0), s.Entries
	if to == 0 || place < s.First || place > s.Last {
		return 0, have, false, nil
	}
	at := uint32(float64(place-s.First) / float64(s.Last-s.First+1) * float64(to))
	for from < to {
		first, last := max(from, at/entriesPerBlock*entriesPerBlock), min(to, (at/entriesPerBlock+1)*entriesPerBlock)
		low, err := e.entry(s, first)
		if err != nil {
			return 0, have, false, err
		}
		high, err := e.entry(s, last-1)
		if err != nil {
			return 0, have, false, err
		}
		switch {
		case place < low.sequence:
			to = first
		case place > high.sequence:
			from = last
		default:
			return e.findInBlock(s, first, last, place)
		}
		at = from + (to-from)/2
	}
	return 0, have, false, nil
}

// within finds a place among entries of one piece.
func (e *indexReader) findInBlock(s *state.Segment, from, to uint32, place uint64) (i uint32, have indexEntry, ok bool, err error) {
	n := sort.Search(int(to-from), func(n int) bool {
		if err == nil {
			have, err = e.entry(s, from+uint32(n))
		}
		return err != nil || have.sequence >= place
	})
	if i = from + uint32(n); err == nil && i < to {
		have, err = e.entry(s, i)
	}
	return i, have, err == nil && i < to && have.sequence == place, err
}

// added notes entries that were written behind the last.
func (e *indexReader) updateCache(s *state.Segment, from uint32, b []byte) {
	for ; len(b) > 0; b, from = b[state.EntrySize:], from+1 {
		k := cacheKey{s, from / entriesPerBlock}
		if have, ok := e.cache.Peek(k); ok {
			e.cache.Add(k, append(have[:from%entriesPerBlock*state.EntrySize], b[:state.EntrySize]...))
		}
	}
}

// mark writes that an entry is gone.
func (e *indexReader) markRemoved(s *state.Segment, i uint32) error {
	if err := e.folder.write(indexFileName(s), littleEndian.AppendUint32(nil, markRemoved), entryOffset(i)+markOffset, false); err != nil {
		return err
	}
	if b, err := e.entryBytes(s, i); err == nil {
		littleEndian.PutUint32(b[markOffset:], markRemoved)
	}
	return nil
}

// forget has nothing of a segment be kept.
func (e *indexReader) dropCache(s *state.Segment) {
	for n := uint32(0); n <= s.Entries/entriesPerBlock; n++ {
		e.cache.Remove(cacheKey{s, n})
	}
}

// all yields a segment's live entries, without keeping pieces.
func (e *indexReader) liveEntries(s *state.Segment, yield func(i uint32, x indexEntry)) error {
	if s.Head == s.Entries {
		return nil
	}
	b := make([]byte, int(s.Entries-s.Head)*state.EntrySize)
	if err := e.read(s, b, s.Head); err != nil {
		return err
	}
	for i := s.Head; len(b) > 0; b, i = b[state.EntrySize:], i+1 {
		x, ok := decodeEntry(b)
		if !ok || !validMark(x.mark) {
			return &damagedSegmentError{s}
		}
		if !x.removed() {
			yield(i, x)
		}
	}
	return nil
}

// errDamaged is a frame that cannot be read: that message is lost.
var errDamagedFrame = errors.New("damaged frame")

// message reads one's frame.
func (s *Store) readMessage(seg *state.Segment, x indexEntry) (StoredMessage, error) {
	b := make([]byte, x.length)
	n, err := s.folder.read(dataFileName(seg), b, int64(x.offset))
	if errors.Is(err, fs.ErrNotExist) {
		return StoredMessage{}, &damagedSegmentError{seg}
	}
	if err != nil {
		return StoredMessage{}, err
	}
	m, place, ok := decodeFrame(b[:n], s.frameSalt)
	if !ok || place != x.sequence || m.Due != x.due || m.frameSize() != int(x.length) {
		return StoredMessage{}, errDamagedFrame
	}
	m.Dest = seg.Dest
	return StoredMessage{m, place, x.mark == markInDoubt}, nil
}

// later is a time that no message has to have ended before.
const noDueTime = math.MaxInt64
