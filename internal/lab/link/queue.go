package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// queueCapacityBytes is how many bytes one direction of a connection buffers at most, about as many as two socket buffers.
const queueCapacityBytes = 256 << 10

// errReset is returned to both ends of a connection that was reset.
var errReset = errors.New("link: connection reset")

// chunk is a piece of data in transit, or the end of a direction of a connection.
type chunk struct {
	data       []byte
	receivedAt int64 // when the link read it, in microseconds on the run's clock
	due        time.Time
	end        error                   // io.EOF or errReset; nil for bytes
	done       func(at int64, ok bool) // called once it is delivered or discarded; may be nil
}

// queue is one direction of one connection. It delivers bytes complete and in order, or not at all.
type queue struct {
	direction *direction
	createdAt time.Time // when its connection was established

	mu             sync.Mutex
	changed        sync.Cond
	chunks         []chunk
	pendingBytes   int
	endErr         error     // set once the end was pushed; nothing more may be pushed
	aborted        bool      // reset: nothing more is delivered
	deadline       time.Time // for pop; zero for none
	deliveredBytes int64     // bytes delivered since countedFault began
	countedFault   *Faults   // the reset fault that deliveredBytes refers to
	lastDue        time.Time // when the last chunk is due; later ones are not due before, so that bytes stay in order
	onReset        func()    // called if a fault resets the connection
}

func newQueue(d *direction) *queue {
	q := &queue{direction: d, createdAt: time.Now()}
	q.changed.L = &q.mu
	d.add(q)
	return q
}

// push adds a chunk. For bytes it waits while the queue is full. The error is errReset after a reset, os.ErrClosed after the end.
func (q *queue) push(c chunk) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.endErr == nil && !q.aborted && c.end == nil && q.pendingBytes >= queueCapacityBytes {
		q.changed.Wait()
	}
	if q.endErr != nil || q.aborted {
		if c.done != nil {
			c.done(0, false)
		}
		if q.aborted {
			return errReset
		}
		return os.ErrClosed
	}
	f := q.direction.current()
	c.due = time.Now()
	if f.Delay > 0 || f.Jitter > 0 {
		c.due = c.due.Add(f.Delay + time.Duration(rand.Float64()*float64(f.Jitter)))
	}
	if f.RetransmitShare > 0 && rand.Float64() < f.RetransmitShare {
		c.due = c.due.Add(f.RetransmitDelay)
	}
	if f.BytesPerSecond > 0 {
		from := q.lastDue
		if from.Before(c.due) {
			from = c.due
		}
		c.due = from.Add(time.Duration(float64(len(c.data)) / float64(f.BytesPerSecond) * float64(time.Second)))
	}
	if c.end != nil {
		c.due = c.due.Add(f.CloseDelay)
	}
	if c.due.Before(q.lastDue) {
		c.due = q.lastDue
	}
	q.lastDue = c.due
	q.endErr = c.end
	q.pendingBytes += len(c.data)
	q.chunks = append(q.chunks, c)
	q.changed.Broadcast()
	return nil
}

// pop waits until the next chunk is due and no fault blocks it, and returns it, or its first maxBytes bytes.
// The error is errReset after a reset, os.ErrDeadlineExceeded after the deadline.
func (q *queue) pop(maxBytes int) (chunk, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		if q.aborted {
			return chunk{}, errReset
		}
		if !q.deadline.IsZero() && !time.Now().Before(q.deadline) {
			return chunk{}, os.ErrDeadlineExceeded
		}
		f := q.direction.current()
		if len(q.chunks) == 0 || f.Cut || q.createdAt.Before(f.SilentBefore) || f.HalfOpen && q.chunks[0].end != nil {
			q.wait(time.Time{})
			continue
		}
		if c := q.chunks[0]; time.Now().Before(c.due) {
			q.wait(c.due)
			continue
		}
		c := q.chunks[0]
		if c.end != nil {
			q.chunks = q.chunks[1:]
			if c.end == errReset {
				q.discard()
			}
			return c, nil
		}
		if f.LossShare > 0 && rand.Float64() < f.LossShare {
			return chunk{}, q.breakConn()
		}
		if f.Reset {
			if q.countedFault != f {
				q.countedFault, q.deliveredBytes = f, 0
			}
			if left := f.ResetAfterBytes - q.deliveredBytes; left <= 0 {
				return chunk{}, q.breakConn()
			} else if int64(maxBytes) > left {
				maxBytes = int(left)
			}
		}
		if len(c.data) > maxBytes {
			q.chunks[0].data = c.data[maxBytes:]
			c.data, c.done = c.data[:maxBytes], nil
		} else {
			q.chunks[0] = chunk{}
			q.chunks = q.chunks[1:]
		}
		q.pendingBytes -= len(c.data)
		q.deliveredBytes += int64(len(c.data))
		q.changed.Broadcast()
		return c, nil
	}
}

// breakConn resets the connection in both directions. The caller holds the lock, which is released while onReset runs, because
// onReset locks both queues.
func (q *queue) breakConn() error {
	q.discard()
	q.mu.Unlock()
	q.onReset()
	q.mu.Lock()
	return errReset
}

// wait waits until the queue changes, at most until the given time, if not zero, or the deadline. The caller holds the lock.
func (q *queue) wait(until time.Time) {
	if !q.deadline.IsZero() && (until.IsZero() || q.deadline.Before(until)) {
		until = q.deadline
	}
	if until.IsZero() {
		q.changed.Wait()
		return
	}
	t := time.AfterFunc(time.Until(until), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.changed.Broadcast()
	})
	q.changed.Wait()
	t.Stop()
}

// discard drops all queued chunks and marks the queue as reset. The caller holds the lock.
func (q *queue) discard() {
	q.aborted = true
	for _, c := range q.chunks {
		if c.done != nil {
			c.done(0, false)
		}
	}
	q.chunks, q.pendingBytes = nil, 0
	q.changed.Broadcast()
	q.direction.remove(q)
}

// reset ends the queue at once.
func (q *queue) reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.aborted {
		q.discard()
	}
}

// pushEnd queues the end: it is delivered after all queued bytes.
func (q *queue) pushEnd(endErr error, receivedAt int64) {
	q.push(chunk{end: endErr, receivedAt: receivedAt})
}

func (q *queue) setDeadline(t time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadline = t
	q.changed.Broadcast()
}

func (q *queue) notify() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.changed.Broadcast()
}

// readError returns the error with which a reader reports the end: errReset or io.EOF.
func (c chunk) readError() error {
	if c.end == errReset {
		return errReset
	}
	return io.EOF
}
