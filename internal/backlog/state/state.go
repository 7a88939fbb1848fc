// Package state makes the decisions of a backlog: which segment gets a message, when a segment is dropped or rewritten,
// which one has the next due time, what fits the disk budget, and how many messages of a destination may be in memory. It
// uses neither files nor a clock.
package state

import (
	"container/heap"
	"iter"
	"maps"
	"math"
	"slices"
)

// Sizes on disk, in bytes.
const (
	BlockSize  = 512 // each file counts in whole blocks
	HeaderSize = 64  // header of an index file
	EntrySize  = 48
)

// Limits bound a backlog.
type Limits struct {
	DiskBytes                        int64 // limit for all files together
	MinSegmentBytes, MaxSegmentBytes int64 // bounds of the data size at which a segment accepts no more messages
}

// Segment is a sequence of messages of one destination in the order in which they were accepted. It has no data about
// single messages.
type Segment struct {
	Dest            int
	First           uint64 // sequence number in its file names; no message has a lower one
	Last            uint64 // sequence number of its newest message
	EarliestDue     int64  // Unix milliseconds; no live message is due before
	DataBytes       int64  // bytes of frames
	BytesBeforeHead int64  // bytes of frames before the head
	RemovedBytes    int64  // bytes of removed frames behind the head
	Entries         uint32
	Head            uint32 // number of entries at the front that are all removed
	Live            uint32
	Rewrites        uint32 // number of times it was rewritten
	heapIndex       int    // index in State.byDue
}

// Action tells what to do with a segment.
type Action int

// Keep leaves the segment as it is, Drop deletes it, Rewrite writes its live messages to new files.
const (
	Keep Action = iota
	Drop
	Rewrite
)

type queue struct {
	segments  []*Segment // sorted by First
	messages  int
	dataBytes int64 // bytes of frames
}

// State has the segments of all destinations.
type State struct {
	limits       Limits
	queues       map[int]*queue
	byDue        dueHeap
	fixedBytes   int64 // bytes of files that belong to no segment
	segmentBytes int64
	messages     int
}

// New returns the state of an empty backlog.
func New(l Limits) *State { return &State{limits: l, queues: map[int]*queue{}} }

func roundUpToBlocks(n int64) int64 { return (n + BlockSize - 1) / BlockSize * BlockSize }

// FileBytes returns how much of the budget the files of a segment use, in whole blocks.
func (s *Segment) FileBytes() int64 { return fileBytes(s.Entries, s.DataBytes) }

func fileBytes(entries uint32, dataBytes int64) int64 {
	return roundUpToBlocks(HeaderSize+EntrySize*int64(entries)) + roundUpToBlocks(dataBytes)
}

// Growth returns by how much the files of a segment grow in the budget with more entries and bytes of data. The files of a
// new segment count from zero.
func Growth(segment *Segment, isNew bool, entries uint32, dataBytes int64) int64 {
	growth := fileBytes(segment.Entries+entries, segment.DataBytes+dataBytes)
	if !isNew {
		growth -= segment.FileBytes()
	}
	return growth
}

// Tail returns the segment that accepts the next message of a destination, nil if a new segment must be started. planned
// is the number of bytes that are about to be added to it and are not recorded yet.
func (b *State) Tail(dest int, sequence uint64, planned int64) *Segment {
	q := b.queues[dest]
	if q == nil {
		return nil
	}
	segment := q.segments[len(q.segments)-1]
	if !b.Accepts(segment, sequence, planned) {
		return nil
	}
	return segment
}

// Accepts reports whether a segment with planned more bytes accepts a message with that sequence number. A segment grows
// up to a quarter of its destination's data, within the limits.
func (b *State) Accepts(segment *Segment, sequence uint64, planned int64) bool {
	var destBytes int64
	if q := b.queues[segment.Dest]; q != nil {
		destBytes = q.dataBytes
	}
	maxBytes := min(max(b.limits.MinSegmentBytes, (destBytes+planned)/4), b.limits.MaxSegmentBytes)
	return segment.DataBytes+planned < maxBytes && sequence-segment.First <= math.MaxUint32
}

// AddSegment adds a segment with the messages that it has.
func (b *State) AddSegment(segment *Segment) {
	q := b.queues[segment.Dest]
	if q == nil {
		q = &queue{}
		b.queues[segment.Dest] = q
	}
	i, _ := slices.BinarySearchFunc(q.segments, segment.First, compareFirst)
	q.segments = slices.Insert(q.segments, i, segment)
	q.messages += int(segment.Live)
	q.dataBytes += segment.DataBytes
	b.messages += int(segment.Live)
	b.segmentBytes += segment.FileBytes()
	heap.Push(&b.byDue, segment)
}

// AddMessage records that a message was added to a segment.
func (b *State) AddMessage(segment *Segment, sequence uint64, due, bytes int64) {
	q := b.queues[segment.Dest]
	b.segmentBytes -= segment.FileBytes()
	segment.Entries++
	segment.Live++
	segment.DataBytes += bytes
	segment.Last = sequence
	q.messages++
	q.dataBytes += bytes
	b.messages++
	b.segmentBytes += segment.FileBytes()
	if due < segment.EarliestDue {
		b.SetEarliestDue(segment, due)
	}
}

// RemoveMessages records that live messages of a segment were removed: their number, the new head, the bytes before the
// head and the removed bytes behind it. It returns what to do with the segment. A segment is rewritten once more than half
// of the data behind its head is removed, so a rewrite copies less than was removed.
func (b *State) RemoveMessages(segment *Segment, removed int, head uint32, bytesBeforeHead, removedBytes int64) Action {
	q := b.queues[segment.Dest]
	segment.Live -= uint32(removed)
	segment.Head, segment.BytesBeforeHead, segment.RemovedBytes = head, bytesBeforeHead, removedBytes
	q.messages -= removed
	b.messages -= removed
	switch {
	case segment.Live == 0:
		return Drop
	case 2*removedBytes > segment.DataBytes-bytesBeforeHead && removedBytes >= b.limits.MinSegmentBytes/4:
		return Rewrite
	}
	return Keep
}

// SegmentRewritten records that a segment was rewritten and has only its live messages.
func (b *State) SegmentRewritten(segment *Segment, live uint32, dataBytes int64) {
	q := b.queues[segment.Dest]
	b.segmentBytes -= segment.FileBytes()
	q.dataBytes += dataBytes - segment.DataBytes
	q.messages -= int(segment.Live) - int(live)
	b.messages -= int(segment.Live) - int(live)
	segment.Entries, segment.Live, segment.DataBytes, segment.Head, segment.BytesBeforeHead, segment.RemovedBytes = live, live, dataBytes, 0, 0, 0
	segment.Rewrites++
	b.segmentBytes += segment.FileBytes()
}

// RemoveSegment removes a dropped segment.
func (b *State) RemoveSegment(segment *Segment) {
	q := b.queues[segment.Dest]
	i, _ := slices.BinarySearchFunc(q.segments, segment.First, compareFirst)
	q.segments = slices.Delete(q.segments, i, i+1)
	q.messages -= int(segment.Live)
	q.dataBytes -= segment.DataBytes
	b.messages -= int(segment.Live)
	b.segmentBytes -= segment.FileBytes()
	heap.Remove(&b.byDue, segment.heapIndex)
	if len(q.segments) == 0 {
		delete(b.queues, segment.Dest)
	}
}

// Segments returns the segments of a destination, the oldest first.
func (b *State) Segments(dest int) []*Segment {
	if q := b.queues[dest]; q != nil {
		return q.segments
	}
	return nil
}

// SegmentOf returns the segment whose range has a sequence number, nil if there is none.
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

// HasSegmentUpTo reports whether a destination has a segment that starts at or before a sequence number.
func (b *State) HasSegmentUpTo(dest int, sequence uint64) bool {
	all := b.Segments(dest)
	return len(all) > 0 && all[0].First <= sequence
}

// FreeBytes returns what is left of the budget. It is negative if the budget was lowered below what is used.
func (b *State) FreeBytes() int64 { return b.limits.DiskBytes - b.UsedBytes() }

// UsedBytes returns how much of the budget all files use.
func (b *State) UsedBytes() int64 { return b.segmentBytes + roundUpToBlocks(b.fixedBytes) }

// SetFixedBytes sets the size of the files that belong to no segment.
func (b *State) SetFixedBytes(n int64) { b.fixedBytes = n }

// Len returns the number of messages.
func (b *State) Len() int { return b.messages }

// LenOf returns the number of messages of a destination.
func (b *State) LenOf(dest int) int {
	if q := b.queues[dest]; q != nil {
		return q.messages
	}
	return 0
}

// Dests iterates over the destinations that have segments.
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
