// Package backlog keeps on disk what waits for destinations that cannot take it now: a FIFO queue for each destination
// in segments, with an index of times and one of ids. What it holds costs the process neither memory nor steps.
//
// Nothing is synced: what write(2) has taken outlasts the process. A Store is not safe for concurrent use.
package backlog

import "time"

// Message is one that waits.
type Message struct {
	ID       string
	Dest     int
	Due      int64  // Unix ms, when its time is out
	OrderKey string // key of an ordered class, empty for none
	Data     []byte // opaque here
}

// Held is a message that lies here.
type StoredMessage struct {
	Message
	// Place rises within a destination in the order of taking on; never 0.
	Sequence uint64
	// Doubt is whether it may have left already: damage took the record of that. It may have run.
	InDoubt bool
}

// Options of a store. Zero stands for what each says.
type Options struct {
	// Disk is the most bytes for all files, each counted in whole blocks of 512.
	DiskBytes int64
	// SegmentLeast and SegmentMost bound the bytes of data in a segment, which grows with its destination's backlog:
	// 256 KiB and 4 MiB.
	MinSegmentBytes, MaxSegmentBytes int64
	// Files is how many may be open: 16.
	MaxOpenFiles int

	now         func() time.Time
	injectFault func(op, name string, bytes int) (int, error)
}
