package history

import (
	"bufio"
	"container/heap"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// reorderWindow is by how many microseconds events may arrive out of order. A party takes the time first and records the event
// afterwards; the delay between the two depends on the scheduler.
const reorderWindow = int64(2 * time.Second / time.Microsecond)

// Recorder receives events from all parties, orders them by time and writes them to a file and to its sinks. It buffers the
// events of the last two seconds. Its methods may be called concurrently, but Add not after Close.
type Recorder struct {
	events chan Event
	done   chan error
	sinks  []func(Event)
	out    *bufio.Writer
	closer io.Closer
}

// NewRecorder returns a recorder that writes to w, which may be nil, and calls each sink with each event, in order. It closes w
// at the end.
func NewRecorder(w io.WriteCloser, sinks ...func(Event)) *Recorder {
	r := &Recorder{events: make(chan Event, 4096), done: make(chan error, 1), sinks: sinks}
	if w != nil {
		r.out, r.closer = bufio.NewWriterSize(w, 1<<18), w
	}
	go r.run()
	return r
}

// Add records an event. It blocks while the recorder's queue is full.
func (r *Recorder) Add(e Event) { r.events <- e }

// Close writes all buffered events and returns the first write error and those of flushing and closing. No event may be added
// afterwards.
func (r *Recorder) Close() error {
	close(r.events)
	return <-r.done
}

func (r *Recorder) run() {
	var pending eventHeap
	var seq uint64
	var newest int64
	var failed error
	var enc *json.Encoder
	if r.out != nil {
		enc = json.NewEncoder(r.out)
	}
	emit := func(e Event) {
		if enc != nil && failed == nil {
			failed = enc.Encode(e)
		}
		for _, sink := range r.sinks {
			sink(e)
		}
	}
	for e := range r.events {
		newest = max(newest, e.At)
		seq++
		heap.Push(&pending, sequencedEvent{e, seq})
		for len(pending) > 0 && pending[0].At <= newest-reorderWindow {
			emit(heap.Pop(&pending).(sequencedEvent).Event)
		}
	}
	for len(pending) > 0 {
		emit(heap.Pop(&pending).(sequencedEvent).Event)
	}
	if r.out != nil {
		failed = errors.Join(failed, r.out.Flush(), r.closer.Close())
	}
	r.done <- failed
}

// eventHeap is a heap ordered by time, and by arrival for equal times.
type eventHeap []sequencedEvent

type sequencedEvent struct {
	Event
	seq uint64
}

func (o eventHeap) Len() int { return len(o) }
func (o eventHeap) Less(i, j int) bool {
	return o[i].At < o[j].At || o[i].At == o[j].At && o[i].seq < o[j].seq
}
func (o eventHeap) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o *eventHeap) Push(x any)   { *o = append(*o, x.(sequencedEvent)) }
func (o *eventHeap) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}
