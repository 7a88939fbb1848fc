// Package backlog stores on disk the messages that wait for destinations which cannot accept them now: a FIFO queue for
// each destination, split into segments, with an index by due time and a table of ids. A stored message costs the process
// neither memory nor work until it is read.
//
// Nothing is synced: what write(2) has accepted outlives the process, but not a crash of the machine. A Store is not safe
// for concurrent use.
package backlog

import "time"

// Message is one message that waits for its destination.
type Message struct {
	ID       string
	Dest     int
	Due      int64  // Unix milliseconds; the message must have ended by then
	OrderKey string // ordering key of a message of an ordered class; empty for none
	Data     []byte // not interpreted by this package
}

// StoredMessage is a message in the store.
type StoredMessage struct {
	Message
	// Sequence increases within a destination in the order in which messages were accepted. It is never 0.
	Sequence uint64
	// InDoubt tells that damage destroyed the record of whether the message was removed: it may have been sent and run.
	InDoubt bool
}

// Options configures a Store. The zero value of a field stands for the default named there.
type Options struct {
	// DiskBytes limits the size of all files together; each file counts in whole blocks of 512 bytes.
	DiskBytes int64
	// MinSegmentBytes and MaxSegmentBytes bound the bytes of frames in a segment; the limit in between grows with the
	// backlog of the destination. The defaults are 256 KiB and 4 MiB.
	MinSegmentBytes, MaxSegmentBytes int64
	// MaxOpenFiles limits the number of open files. The default is 16.
	MaxOpenFiles int

	now         func() time.Time
	injectFault func(op, name string, bytes int) (int, error)
}
