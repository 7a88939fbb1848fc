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
	BlockSize  = 512 // each file counts in whole ones
	HeaderSize = 64  // of a file of entries
	EntrySize  = 48
)

// Limits bound a backlog.
type Limits struct {
	DiskBytes                        int64 // bytes for all files
	MinSegmentBytes, MaxSegmentBytes int64 // bytes of data at which a segment takes no more
}

// Segment is one run of a destination's messages, in the order of taking on. Nothing is kept of each message.
type Segment struct {
	Dest            int
	First           uint64 // place that it is named by; none in it is before
	Last            uint64 // place of its newest
	EarliestDue     int64  // Unix ms; none that is live has to have ended before
	DataBytes       int64  // bytes of frames
	BytesBeforeHead int64  // bytes of frames before the head
	RemovedBytes    int64  // bytes of frames that are gone behind the head
	Entries         uint32
	Head            uint32 // entries before it are gone
	Live            uint32
	Rewrites        uint32 // how often it was written anew
	heapIndex       int    // in the heap of times
}

// What is to be done with a segment.
type Action int

// Keep leaves it, Drop deletes it, Renew writes what is live of it anew.
const (
	Keep Action = iota
	Drop
	Rewrite
)

type queue struct {
	segments  []*Segment // by First
	messages  int
	dataBytes int64 // bytes of frames
}

// State is all segments.
type State struct {
	limits       Limits
	queues       map[int]*queue
	byDue        dueHeap
	fixedBytes   int64 // bytes of files that are no segment's
	segmentBytes int64
	messages     int
}

// New is a backlog with nothing in it.
func New(l Limits) *State { return &State{limits: l, queues: map[int]*queue{}} }

func roundUpToBlocks(n int64) int64 { return (n + BlockSize - 1) / BlockSize * BlockSize }

// Size is what a segment's files take of the budget.
func (s *Segment) FileBytes() int64 { return fileBytes(s.Entries, s.DataBytes) }

func fileBytes(entries uint32, dataBytes int64) int64 {
	return roundUpToBlocks(HeaderSize+EntrySize*int64(entries)) + roundUpToBlocks(dataBytes)
}

// Growth is by how much a segment's files grow with so many more entries and bytes of data. For one that is not there yet, a zero Segment's files count whole.
func Growth(segment *Segment, isNew bool, entries uint32, dataBytes int64) int64 {
	growth := fileBytes(segment.Entries+entries, segment.DataBytes+dataBytes)
	if !isNew {
		growth -= segment.FileBytes()
	}
	return growth
}

// Tail is the segment that takes a destination's next message; nil if one is to be begun. To it will have come, of what is not
// told yet, so many bytes.
func (b *State) Tail(dest int, sequence uint64, planned int64) *Segment {
	q := b.queues[dest]
	if q == nil {
		return nil
	}
	s := q.segments[len(q.segments)-1]
	if !b.Accepts(s, sequence, planned) {
		return nil
	}
	return s
}

// Takes tells whether a segment that will have so many bytes more than told takes a message of that place. One grows up to a quarter of its destination's data.
func (b *State) Accepts(s *Segment, sequence uint64, planned int64) bool {
	var destBytes int64
	if q := b.queues[s.Dest]; q != nil {
		destBytes = q.dataBytes
	}
	maxBytes := min(max(b.limits.MinSegmentBytes, (destBytes+planned)/4), b.limits.MaxSegmentBytes)
	return s.DataBytes+planned < maxBytes && sequence-s.First <= math.MaxUint32
}

// Begin adds a segment, with what it holds.
func (b *State) AddSegment(s *Segment) {
	q := b.queues[s.Dest]
	if q == nil {
		q = &queue{}
		b.queues[s.Dest] = q
	}
	i, _ := slices.BinarySearchFunc(q.segments, s.First, compareFirst)
	q.segments = slices.Insert(q.segments, i, s)
	q.messages += int(s.Live)
	q.dataBytes += s.DataBytes
	b.messages += int(s.Live)
	b.segmentBytes += s.FileBytes()
	heap.Push(&b.byDue, s)
}

// Grow tells of one more message in a segment.
func (b *State) AddMessage(s *Segment, sequence uint64, due, bytes int64) {
	q := b.queues[s.Dest]
	b.segmentBytes -= s.FileBytes()
	s.Entries++
	s.Live++
	s.DataBytes += bytes
	s.Last = sequence
	q.messages++
	q.dataBytes += bytes
	b.messages++
	b.segmentBytes += s.FileBytes()
	if due < s.EarliestDue {
		b.SetEarliestDue(s, due)
	}
}

// Leave tells that live messages have left a segment: how many, where its head is now, how many bytes are before that, and how
// many behind it are gone. It tells what is to be done: one whose data is half gone out of order is worth writing anew, which copies less than what went.
func (b *State) RemoveMessages(s *Segment, removed int, head uint32, bytesBeforeHead, removedBytes int64) Action {
	q := b.queues[s.Dest]
	s.Live -= uint32(removed)
	s.Head, s.BytesBeforeHead, s.RemovedBytes = head, bytesBeforeHead, removedBytes
	q.messages -= removed
	b.messages -= removed
	switch {
	case s.Live == 0:
		return Drop
	case 2*removedBytes > s.DataBytes-bytesBeforeHead && removedBytes >= b.limits.MinSegmentBytes/4:
		return Rewrite
	}
	return Keep
}

// Renewed tells that a segment has been written anew with what is live of it alone.
func (b *State) SegmentRewritten(s *Segment, live uint32, dataBytes int64) {
	q := b.queues[s.Dest]
	b.segmentBytes -= s.FileBytes()
	q.dataBytes += dataBytes - s.DataBytes
	q.messages -= int(s.Live) - int(live)
	b.messages -= int(s.Live) - int(live)
	s.Entries, s.Live, s.DataBytes, s.Head, s.BytesBeforeHead, s.RemovedBytes = live, live, dataBytes, 0, 0, 0
	s.Rewrites++
	b.segmentBytes += s.FileBytes()
}

// Remove forgets a segment that has been dropped.
func (b *State) RemoveSegment(s *Segment) {
	q := b.queues[s.Dest]
	i, _ := slices.BinarySearchFunc(q.segments, s.First, compareFirst)
	q.segments = slices.Delete(q.segments, i, i+1)
	q.messages -= int(s.Live)
	q.dataBytes -= s.DataBytes
	b.messages -= int(s.Live)
	b.segmentBytes -= s.FileBytes()
	heap.Remove(&b.byDue, s.heapIndex)
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
func (b *State) SegmentOf(dest int, sequence uint64) *Segment {
	all := b.Segments(dest)
	i, ok := slices.BinarySearchFunc(all, sequence, compareFirst)
	if !ok {
		i--
	}
	if i < 0 || sequence > all[i].Last {
		return nil
	}
	return all[i]
}

// Begun tells whether a destination has anything as old as a place.
func (b *State) HasSegmentUpTo(dest int, sequence uint64) bool {
	all := b.Segments(dest)
	return len(all) > 0 && all[0].First <= sequence
}

// Room is what is left of the budget; less than none if it was larger before.
func (b *State) FreeBytes() int64 { return b.limits.DiskBytes - b.UsedBytes() }

// Used is what all files take.
func (b *State) UsedBytes() int64 { return b.segmentBytes + roundUpToBlocks(b.fixedBytes) }

// Fixed tells how many bytes files take that are no segment's.
func (b *State) SetFixedBytes(n int64) { b.fixedBytes = n }

// Len is how many messages there are.
func (b *State) Len() int { return b.messages }

// LenOf is how many there are for a destination.
func (b *State) LenOf(dest int) int {
	if q := b.queues[dest]; q != nil {
		return q.messages
	}
	return 0
}

// Dests are the destinations that have any.
func (b *State) Dests() iter.Seq[int] { return maps.Keys(b.queues) }

func compareFirst(s *Segment, sequence uint64) int {
	switch {
	case s.First < sequence:
		return -1
	case s.First > sequence:
		return 1
	}
	return 0
}
