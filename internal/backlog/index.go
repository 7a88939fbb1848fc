package backlog

import (
	"errors"
	"io/fs"
	"math"
	"sort"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"larchrouter/internal/backlog/state"
)

// indexReader reads the entries of index files in blocks and caches some of these.
type indexReader struct {
	folder *folder
	cache  *simplelru.LRU[cacheKey, []byte]
}

type cacheKey struct {
	segment *state.Segment
	block   uint32
}

// A block has 64 entries, and 64 blocks are cached: 192 KiB in all.
const (
	entriesPerBlock = 64
	maxCachedBlocks = 64
)

// damagedSegmentError tells that the index of a segment must be repaired before it can be used.
type damagedSegmentError struct{ segment *state.Segment }

func (b *damagedSegmentError) Error() string { return indexFileName(b.segment) + " is damaged" }

func newIndexReader(folder *folder) (*indexReader, error) {
	cache, err := simplelru.NewLRU[cacheKey, []byte](maxCachedBlocks, nil)
	return &indexReader{folder, cache}, err
}

// entryBytes returns the 48 encoded bytes of an entry.
func (e *indexReader) entryBytes(segment *state.Segment, i uint32) ([]byte, error) {
	key := cacheKey{segment, i / entriesPerBlock}
	from := i / entriesPerBlock * entriesPerBlock
	block, ok := e.cache.Get(key)
	if !ok {
		block = make([]byte, min(entriesPerBlock, segment.Entries-from)*state.EntrySize, entriesPerBlock*state.EntrySize)
		if err := e.read(segment, block, from); err != nil {
			return nil, err
		}
		e.cache.Add(key, block)
	}
	return block[(i-from)*state.EntrySize:][:state.EntrySize], nil
}

// read fills b with encoded entries, starting with the given one.
func (e *indexReader) read(s *state.Segment, b []byte, from uint32) error {
	n, err := e.folder.read(indexFileName(s), b, entryOffset(from))
	if errors.Is(err, fs.ErrNotExist) || err == nil && n < len(b) {
		return &damagedSegmentError{s}
	}
	return err
}

func entryOffset(i uint32) int64 { return state.HeaderSize + int64(i)*state.EntrySize }

// entry decodes one entry of a segment.
func (e *indexReader) entry(segment *state.Segment, i uint32) (indexEntry, error) {
	b, err := e.entryBytes(segment, i)
	if err != nil {
		return indexEntry{}, err
	}
	decoded, ok := decodeEntry(b)
	if !ok || !validMark(decoded.mark) {
		return indexEntry{}, &damagedSegmentError{segment}
	}
	return decoded, nil
}

// find returns the entry with a sequence number. Sequence numbers are spread almost evenly over a segment, so the first
// probe is at the interpolated position, and the search goes on by bisection.
func (e *indexReader) find(segment *state.Segment, sequence uint64) (i uint32, entry indexEntry, ok bool, err error) {
	from, to := uint32(0), segment.Entries
	if to == 0 || sequence < segment.First || sequence > segment.Last {
		return 0, entry, false, nil
	}
	guess := uint32(float64(sequence-segment.First) / float64(segment.Last-segment.First+1) * float64(to))
	for from < to {
		first, last := max(from, guess/entriesPerBlock*entriesPerBlock), min(to, (guess/entriesPerBlock+1)*entriesPerBlock)
		low, err := e.entry(segment, first)
		if err != nil {
			return 0, entry, false, err
		}
		high, err := e.entry(segment, last-1)
		if err != nil {
			return 0, entry, false, err
		}
		switch {
		case sequence < low.sequence:
			to = first
		case sequence > high.sequence:
			from = last
		default:
			return e.findInBlock(segment, first, last, sequence)
		}
		guess = from + (to-from)/2
	}
	return 0, entry, false, nil
}

// findInBlock searches the entries of one block for a sequence number.
func (e *indexReader) findInBlock(segment *state.Segment, from, to uint32, sequence uint64) (i uint32, entry indexEntry, ok bool, err error) {
	n := sort.Search(int(to-from), func(n int) bool {
		if err == nil {
			entry, err = e.entry(segment, from+uint32(n))
		}
		return err != nil || entry.sequence >= sequence
	})
	if i = from + uint32(n); err == nil && i < to {
		entry, err = e.entry(segment, i)
	}
	return i, entry, err == nil && i < to && entry.sequence == sequence, err
}

// updateCache adds entries that were appended to an index file to the cached block that they belong to.
func (e *indexReader) updateCache(segment *state.Segment, from uint32, b []byte) {
	for ; len(b) > 0; b, from = b[state.EntrySize:], from+1 {
		key := cacheKey{segment, from / entriesPerBlock}
		if block, ok := e.cache.Peek(key); ok {
			e.cache.Add(key, append(block[:from%entriesPerBlock*state.EntrySize], b[:state.EntrySize]...))
		}
	}
}

// markRemoved writes to the index file that an entry was removed.
func (e *indexReader) markRemoved(segment *state.Segment, i uint32) error {
	if err := e.folder.write(indexFileName(segment), littleEndian.AppendUint32(nil, markRemoved), entryOffset(i)+markOffset, false); err != nil {
		return err
	}
	if b, err := e.entryBytes(segment, i); err == nil {
		littleEndian.PutUint32(b[markOffset:], markRemoved)
	}
	return nil
}

// dropCache drops the cached blocks of a segment.
func (e *indexReader) dropCache(s *state.Segment) {
	for n := uint32(0); n <= s.Entries/entriesPerBlock; n++ {
		e.cache.Remove(cacheKey{s, n})
	}
}

// liveEntries yields the live entries of a segment without using the cache.
func (e *indexReader) liveEntries(segment *state.Segment, yield func(i uint32, entry indexEntry)) error {
	if segment.Head == segment.Entries {
		return nil
	}
	b := make([]byte, int(segment.Entries-segment.Head)*state.EntrySize)
	if err := e.read(segment, b, segment.Head); err != nil {
		return err
	}
	for i := segment.Head; len(b) > 0; b, i = b[state.EntrySize:], i+1 {
		entry, ok := decodeEntry(b)
		if !ok || !validMark(entry.mark) {
			return &damagedSegmentError{segment}
		}
		if !entry.removed() {
			yield(i, entry)
		}
	}
	return nil
}

// errDamagedFrame tells that a frame cannot be read; its message is lost.
var errDamagedFrame = errors.New("damaged frame")

// readMessage reads the frame of an entry.
func (s *Store) readMessage(segment *state.Segment, entry indexEntry) (StoredMessage, error) {
	b := make([]byte, entry.len)
	n, err := s.folder.read(dataFileName(segment), b, int64(entry.offset))
	if errors.Is(err, fs.ErrNotExist) {
		return StoredMessage{}, &damagedSegmentError{segment}
	}
	if err != nil {
		return StoredMessage{}, err
	}
	message, sequence, ok := decodeFrame(b[:n], s.frameSalt)
	if !ok || sequence != entry.sequence || message.Due != entry.due || message.frameSize() != int(entry.len) {
		return StoredMessage{}, errDamagedFrame
	}
	message.Dest = segment.Dest
	return StoredMessage{message, sequence, entry.mark == markInDoubt}, nil
}

// noDueTime is later than the due time of any message.
const noDueTime = math.MaxInt64
