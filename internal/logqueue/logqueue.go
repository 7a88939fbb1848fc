// Package logqueue writes a process's log without blocking the goroutines that log. Otherwise a reader that stops reading the
// other end of a pipe would block every goroutine that logs, including the one that owns all state.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines are queued at most for a slow writer. Further lines are dropped and counted.
const maxQueuedLines = 1024

// Writer passes lines to another writer, in order, from a goroutine of its own. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	pending atomic.Int64 // lines that are queued or being written
}

// New returns a Writer that passes lines to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines)}
	go w.run(out)
	return w
}

// Write queues one line. It never blocks and never fails: a line for which the queue has no space is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all queued lines have been written, at most for the given time.
func (w *Writer) Flush(limit time.Duration) {
	for deadline := time.Now().Add(limit); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// run writes the lines. Before a line it writes how many were dropped since the one before, if any were.
func (w *Writer) run(out io.Writer) {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, "level=WARN msg=\"log lines dropped: the log is not read fast enough\" lines=%d\n", n)
		}
		out.Write(line)
		w.pending.Add(-1)
	}
}
