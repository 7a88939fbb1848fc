package history

import (
	"bufio"
	"container/heap"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// Events are put in order and kept.

// settle is how far events may come out of order. Parties stamp first and record then; what lies between is
// the scheduler's.
const settle = int64(2 * time.Second / time.Microsecond)

// Recorder takes events from all parties, puts them in order of their stamps and passes them on to a file and
// to whoever else reads. It holds as many as come within two seconds.
type Recorder struct {
	in     chan Event
	done   chan error
	sinks  []func(Event)
	out    *bufio.Writer
	closer io.Closer
}

// NewRecorder records to w, which may be nil, and has each sink see each event, in order.
func NewRecorder(w io.WriteCloser, sinks ...func(Event)) *Recorder {
	r := &Recorder{in: make(chan Event, 4096), done: make(chan error, 1), sinks: sinks}
	if w != nil {
		r.out, r.closer = bufio.NewWriterSize(w, 1<<18), w
	}
	go r.run()
	return r
}

// Add records an event. It waits while the recorder is behind.
func (r *Recorder) Add(e Event) { r.in <- e }

// Close records what is there, after which no event may be added.
func (r *Recorder) Close() error {
	close(r.in)
	return <-r.done
}

func (r *Recorder) run() {
	var late order
	var n uint64
	var newest int64
	var failed error
	var enc *json.Encoder
	if r.out != nil {
		enc = json.NewEncoder(r.out)
	}
	pass := func(e Event) {
		if enc != nil && failed == nil {
			failed = enc.Encode(e)
		}
		for _, sink := range r.sinks {
			sink(e)
		}
	}
	for e := range r.in {
		newest = max(newest, e.T)
		n++
		heap.Push(&late, numbered{e, n})
		for len(late) > 0 && late[0].T <= newest-settle {
			pass(heap.Pop(&late).(numbered).Event)
		}
	}
	for len(late) > 0 {
		pass(heap.Pop(&late).(numbered).Event)
	}
	if r.out != nil {
		failed = errors.Join(failed, r.out.Flush(), r.closer.Close())
	}
	r.done <- failed
}

// order is a heap by time, and by arrival where times are equal.
type order []numbered

type numbered struct {
	Event
	n uint64
}

func (o order) Len() int { return len(o) }
func (o order) Less(i, j int) bool {
	return o[i].T < o[j].T || o[i].T == o[j].T && o[i].n < o[j].n
}
func (o order) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o *order) Push(x any)   { *o = append(*o, x.(numbered)) }
func (o *order) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}
