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
type entries struct {
	d    *folder
	kept *simplelru.LRU[pieceKey, []byte]
}

type pieceKey struct {
	s *state.Segment
	n uint32
}

// pieces of 64 entries, of which 64 are kept: 192 KiB.
const (
	pieceLen  = 64
	pieceMost = 64
)

// brokenSegment is that a segment's entries have to be mended before they can be used.
type brokenSegment struct{ s *state.Segment }

func (b *brokenSegment) Error() string { return indexName(b.s) + " is damaged" }

func newEntries(d *folder) (*entries, error) {
	kept, err := simplelru.NewLRU[pieceKey, []byte](pieceMost, nil)
	return &entries{d, kept}, err
}

// raw is an entry's 48 bytes.
func (e *entries) raw(s *state.Segment, i uint32) ([]byte, error) {
	k := pieceKey{s, i / pieceLen}
	from := i / pieceLen * pieceLen
	b, ok := e.kept.Get(k)
	if !ok {
		b = make([]byte, min(pieceLen, s.Entries-from)*state.Entry, pieceLen*state.Entry)
		if err := e.read(s, b, from); err != nil {
			return nil, err
		}
		e.kept.Add(k, b)
	}
	return b[(i-from)*state.Entry:][:state.Entry], nil
}

// read fills b with entries from one on.
func (e *entries) read(s *state.Segment, b []byte, from uint32) error {
	n, err := e.d.read(indexName(s), b, entryAt(from))
	if errors.Is(err, fs.ErrNotExist) || err == nil && n < len(b) {
		return &brokenSegment{s}
	}
	return err
}

func entryAt(i uint32) int64 { return state.Header + int64(i)*state.Entry }

// at is an entry.
func (e *entries) at(s *state.Segment, i uint32) (entry, error) {
	b, err := e.raw(s, i)
	if err != nil {
		return entry{}, err
	}
	have, ok := readEntry(b)
	if !ok || !knownMark(have.mark) {
		return entry{}, &brokenSegment{s}
	}
	return have, nil
}

// search finds the entry of a place. Places rise, mostly evenly: so it looks where the place would be then, and halves what is left if it is not.
func (e *entries) search(s *state.Segment, place uint64) (i uint32, have entry, ok bool, err error) {
	from, to := uint32(0), s.Entries
	if to == 0 || place < s.First || place > s.Last {
		return 0, have, false, nil
	}
	at := uint32(float64(place-s.First) / float64(s.Last-s.First+1) * float64(to))
	for from < to {
		first, last := max(from, at/pieceLen*pieceLen), min(to, (at/pieceLen+1)*pieceLen)
		low, err := e.at(s, first)
		if err != nil {
			return 0, have, false, err
		}
		high, err := e.at(s, last-1)
		if err != nil {
			return 0, have, false, err
		}
		switch {
		case place < low.place:
			to = first
		case place > high.place:
			from = last
		default:
			return e.within(s, first, last, place)
		}
		at = from + (to-from)/2
	}
	return 0, have, false, nil
}

// within finds a place among entries of one piece.
func (e *entries) within(s *state.Segment, from, to uint32, place uint64) (i uint32, have entry, ok bool, err error) {
	n := sort.Search(int(to-from), func(n int) bool {
		if err == nil {
			have, err = e.at(s, from+uint32(n))
		}
		return err != nil || have.place >= place
	})
	if i = from + uint32(n); err == nil && i < to {
		have, err = e.at(s, i)
	}
	return i, have, err == nil && i < to && have.place == place, err
}

// added notes entries that were written behind the last.
func (e *entries) added(s *state.Segment, from uint32, b []byte) {
	for ; len(b) > 0; b, from = b[state.Entry:], from+1 {
		k := pieceKey{s, from / pieceLen}
		if have, ok := e.kept.Peek(k); ok {
			e.kept.Add(k, append(have[:from%pieceLen*state.Entry], b[:state.Entry]...))
		}
	}
}

// mark writes that an entry is gone.
func (e *entries) mark(s *state.Segment, i uint32) error {
	if err := e.d.write(indexName(s), le.AppendUint32(nil, markGone), entryAt(i)+markAt, false); err != nil {
		return err
	}
	if b, err := e.raw(s, i); err == nil {
		le.PutUint32(b[markAt:], markGone)
	}
	return nil
}

// forget has nothing of a segment be kept.
func (e *entries) forget(s *state.Segment) {
	for n := uint32(0); n <= s.Entries/pieceLen; n++ {
		e.kept.Remove(pieceKey{s, n})
	}
}

// all yields a segment's live entries, without keeping pieces.
func (e *entries) all(s *state.Segment, yield func(i uint32, x entry)) error {
	if s.Head == s.Entries {
		return nil
	}
	b := make([]byte, int(s.Entries-s.Head)*state.Entry)
	if err := e.read(s, b, s.Head); err != nil {
		return err
	}
	for i := s.Head; len(b) > 0; b, i = b[state.Entry:], i+1 {
		x, ok := readEntry(b)
		if !ok || !knownMark(x.mark) {
			return &brokenSegment{s}
		}
		if !x.gone() {
			yield(i, x)
		}
	}
	return nil
}

// errDamaged is a frame that cannot be read: that message is lost.
var errDamaged = errors.New("damaged frame")

// message reads one's frame.
func (s *Store) message(seg *state.Segment, x entry) (Held, error) {
	b := make([]byte, x.len)
	n, err := s.d.read(dataName(seg), b, int64(x.off))
	if errors.Is(err, fs.ErrNotExist) {
		return Held{}, &brokenSegment{seg}
	}
	if err != nil {
		return Held{}, err
	}
	m, place, ok := readFrame(b[:n], s.salt)
	if !ok || place != x.place || m.Due != x.due || m.frameLen() != int(x.len) {
		return Held{}, errDamaged
	}
	m.Dest = seg.Dest
	return Held{m, place, x.mark == markDoubt}, nil
}

// later is a time that no message has to have ended before.
const later = math.MaxInt64
