package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	return w.Buffer.Write(p)
}

// Guards against a process that blocks when the reader of its log stops reading.
func TestWriteNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{open: make(chan struct{})}
		w := New(out)
		const lines = maxQueuedLines + 500
		fmt.Fprintln(w, "line 0")
		synctest.Wait() // the first line is being written
		for n := 1; n < lines; n++ {
			fmt.Fprintf(w, "line %d\n", n)
		}
		startedAt := time.Now()
		if w.Flush(time.Second); time.Since(startedAt) < time.Second {
			t.Error("Flush returned before its time though nothing was written")
		}
		close(out.open)
		synctest.Wait()
		w.Flush(0)
		got := strings.Split(strings.TrimSpace(out.String()), "\n")
		written := 0
		for _, line := range got {
			if strings.HasPrefix(line, "line ") {
				if line != fmt.Sprint("line ", written) {
					t.Fatalf("line %q, want line %d", line, written)
				}
				written++
			}
		}
		if written != maxQueuedLines+1 {
			t.Errorf("%d lines written, want %d and the one that was being written", written, maxQueuedLines)
		}
		if want := fmt.Sprintf("lines=%d", lines-written); !strings.Contains(out.String(), want) {
			t.Errorf("no line reports the dropped lines as %s", want)
		}
		close(w.lines)
	})
}

func TestFlushWaitsForQueuedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{open: make(chan struct{})}
		w := New(out)
		fmt.Fprintln(w, "last words")
		time.AfterFunc(50*time.Millisecond, func() { close(out.open) })
		w.Flush(time.Second)
		if out.String() != "last words\n" {
			t.Errorf("%q was written, want the last words", out.String())
		}
		close(w.lines)
	})
}
