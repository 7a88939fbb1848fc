package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// gate is a writer that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

// Guards against a process that stops with the reader of its log.
func TestWriteNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &gate{open: make(chan struct{})}
		w := New(out)
		const lines = queued + 500
		fmt.Fprintln(w, "line 0")
		synctest.Wait() // it is being written
		for n := 1; n < lines; n++ {
			fmt.Fprintf(w, "line %d\n", n)
		}
		begin := time.Now()
		if w.Flush(time.Second); time.Since(begin) < time.Second {
			t.Error("flushed though nothing was written")
		}
		close(out.open)
		synctest.Wait()
		w.Flush(0)
		got := strings.Split(strings.TrimSpace(out.String()), "\n")
		kept := 0
		for _, line := range got {
			if strings.HasPrefix(line, "line ") {
				if line != fmt.Sprint("line ", kept) {
					t.Fatalf("line %q, want line %d", line, kept)
				}
				kept++
			}
		}
		if kept != queued+1 {
			t.Errorf("%d lines kept, want %d and the one that was being written", kept, queued)
		}
		if want := fmt.Sprintf("lines=%d", lines-kept); !strings.Contains(out.String(), want) {
			t.Errorf("no line tells of %s dropped", want)
		}
		close(w.lines)
	})
}

func TestFlushWaitsForWhatWasQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &gate{open: make(chan struct{})}
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
