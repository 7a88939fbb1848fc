// Package state is what a backlog decides: which segment takes a message, when one is dropped or written anew, which has the
// next time, what fits the budget, and how many messages of a destination its window holds. It knows neither files nor clock.
package state

import (
	"container/heap"
	"iter"
	"maps"
	"math"
	"slices"
)

// Sizes of what lies on disk, in bytes.
const (
	Block  = 512 // each file counts in whole ones
	Header = 64  // of a file of entries
	Entry  = 48
)

// Limits bound a backlog.
type Limits struct {
	Disk        int64 // bytes for all files
	Least, Most int64 // bytes of data at which a segment takes no more
}

// Segment is one run of a destination's messages, in the order of taking on. Nothing is kept of each message.
type Segment struct {
	Dest    int
	First   uint64 // place that it is named by; none in it is before
	Last    uint64 // place of its newest
	Due     int64  // Unix ms; none that is live has to have ended before
	Data    int64  // bytes of frames
	Before  int64  // bytes of frames before the head
	Gone    int64  // bytes of frames that are gone behind the head
	Entries uint32
	Head    uint32 // entries before it are gone
	Live    uint32
	Gen     uint32 // how often it was written anew
	at      int    // in the heap of times
}

// What is to be done with a segment.
type What int

// Keep leaves it, Drop deletes it, Renew writes what is live of it anew.
const (
	Keep What = iota
	Drop
	Renew
)

type queue struct {
	segments []*Segment // by First
	n        int
	data     int64 // bytes of frames
}

// State is all segments.
type State struct {
	limits Limits
	queues map[int]*queue
	times  times
	fixed  int64 // bytes of files that are no segment's
	used   int64
	n      int
}

// New is a backlog with nothing in it.
func New(l Limits) *State { return &State{limits: l, queues: map[int]*queue{}} }

func blocks(n int64) int64 { return (n + Block - 1) / Block * Block }

// Size is what a segment's files take of the budget.
func (s *Segment) Size() int64 { return size(s.Entries, s.Data) }

func size(entries uint32, data int64) int64 {
	return blocks(Header+Entry*int64(entries)) + blocks(data)
}

// Growth is by how much a segment's files grow with so many more entries and bytes of data. For one that is not there yet, a zero Segment's files count whole.
func Growth(s *Segment, fresh bool, entries uint32, data int64) int64 {
	g := size(s.Entries+entries, s.Data+data)
	if !fresh {
		g -= s.Size()
	}
	return g
}

// Tail is the segment that takes a destination's next message; nil if one is to be begun. To it will have come, of what is not
// told yet, so many bytes.
func (b *State) Tail(dest int, place uint64, planned int64) *Segment {
	q := b.queues[dest]
	if q == nil {
		return nil
	}
	s := q.segments[len(q.segments)-1]
	if !b.Takes(s, place, planned) {
		return nil
	}
	return s
}

// Takes tells whether a segment that will have so many bytes more than told takes a message of that place. One grows up to a quarter of its destination's data.
func (b *State) Takes(s *Segment, place uint64, planned int64) bool {
	var data int64
	if q := b.queues[s.Dest]; q != nil {
		data = q.data
	}
	most := min(max(b.limits.Least, (data+planned)/4), b.limits.Most)
	return s.Data+planned < most && place-s.First <= math.MaxUint32
}

// Begin adds a segment, with what it holds.
func (b *State) Begin(s *Segment) {
	q := b.queues[s.Dest]
	if q == nil {
		q = &queue{}
		b.queues[s.Dest] = q
	}
	i, _ := slices.BinarySearchFunc(q.segments, s.First, byFirst)
	q.segments = slices.Insert(q.segments, i, s)
	q.n += int(s.Live)
	q.data += s.Data
	b.n += int(s.Live)
	b.used += s.Size()
	heap.Push(&b.times, s)
}

// Grow tells of one more message in a segment.
func (b *State) Grow(s *Segment, place uint64, due, bytes int64) {
	q := b.queues[s.Dest]
	b.used -= s.Size()
	s.Entries++
	s.Live++
	s.Data += bytes
	s.Last = place
	q.n++
	q.data += bytes
	b.n++
	b.used += s.Size()
	if due < s.Due {
		b.SetDue(s, due)
	}
}

// Leave tells that live messages have left a segment: how many, where its head is now, how many bytes are before that, and how
// many behind it are gone. It tells what is to be done: one whose data is half gone out of order is worth writing anew, which copies less than what went.
func (b *State) Leave(s *Segment, n int, head uint32, before, gone int64) What {
	q := b.queues[s.Dest]
	s.Live -= uint32(n)
	s.Head, s.Before, s.Gone = head, before, gone
	q.n -= n
	b.n -= n
	switch {
	case s.Live == 0:
		return Drop
	case 2*gone > s.Data-before && gone >= b.limits.Least/4:
		return Renew
	}
	return Keep
}

// Renewed tells that a segment has been written anew with what is live of it alone.
func (b *State) Renewed(s *Segment, live uint32, data int64) {
	q := b.queues[s.Dest]
	b.used -= s.Size()
	q.data += data - s.Data
	q.n -= int(s.Live) - int(live)
	b.n -= int(s.Live) - int(live)
	s.Entries, s.Live, s.Data, s.Head, s.Before, s.Gone = live, live, data, 0, 0, 0
	s.Gen++
	b.used += s.Size()
}

// Remove forgets a segment that has been dropped.
func (b *State) Remove(s *Segment) {
	q := b.queues[s.Dest]
	i, _ := slices.BinarySearchFunc(q.segments, s.First, byFirst)
	q.segments = slices.Delete(q.segments, i, i+1)
	q.n -= int(s.Live)
	q.data -= s.Data
	b.n -= int(s.Live)
	b.used -= s.Size()
	heap.Remove(&b.times, s.at)
	if len(q.segments) == 0 {
		delete(b.queues, s.Dest)
	}
}

// Segments are a destination's, the oldest first.
func (b *State) Segments(dest int) []*Segment {
	if q := b.queues[dest]; q != nil {
		return q.segments
	}
	return nil
}

// Of is the segment that a place would be in; nil if there is none.
func (b *State) Of(dest int, place uint64) *Segment {
	all := b.Segments(dest)
	i, ok := slices.BinarySearchFunc(all, place, byFirst)
	if !ok {
		i--
	}
	if i < 0 || place > all[i].Last {
		return nil
	}
	return all[i]
}

// Begun tells whether a destination has anything as old as a place.
func (b *State) Begun(dest int, place uint64) bool {
	all := b.Segments(dest)
	return len(all) > 0 && all[0].First <= place
}

// Room is what is left of the budget; less than none if it was larger before.
func (b *State) Room() int64 { return b.limits.Disk - b.Used() }

// Used is what all files take.
func (b *State) Used() int64 { return b.used + blocks(b.fixed) }

// Fixed tells how many bytes files take that are no segment's.
func (b *State) Fixed(n int64) { b.fixed = n }

// Len is how many messages there are.
func (b *State) Len() int { return b.n }

// LenOf is how many there are for a destination.
func (b *State) LenOf(dest int) int {
	if q := b.queues[dest]; q != nil {
		return q.n
	}
	return 0
}

// Dests are the destinations that have any.
func (b *State) Dests() iter.Seq[int] { return maps.Keys(b.queues) }

func byFirst(s *Segment, place uint64) int {
	switch {
	case s.First < place:
		return -1
	case s.First > place:
		return 1
	}
	return 0
}
