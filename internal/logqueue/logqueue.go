// Package logqueue writes a process's log without holding up whoever logs. A reader that stops reading the other end of a
// pipe would otherwise stop every goroutine that logs, the one that owns all state among them.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queued is how many lines wait at most for a writer that is slow; further lines are dropped and counted.
const maxQueuedLines = 1024

// Writer passes lines on to another writer, in order, from a goroutine of its own. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	pending atomic.Int64 // lines that are queued or being written
}

// New returns a Writer that passes lines on to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines)}
	go w.run(out)
	return w
}

// Write queues one line. It never waits and never fails: a line for which there is no room is dropped.
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

// Flush waits until all that was queued has been written, for a limited time.
func (w *Writer) Flush(limit time.Duration) {
	for deadline := time.Now().Add(limit); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// run writes the lines, and how many were dropped since the last one.
func (w *Writer) run(out io.Writer) {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, "level=WARN msg=\"log lines dropped: nobody reads them in time\" lines=%d\n", n)
		}
		out.Write(line)
		w.pending.Add(-1)
	}
}
