package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// held is how many bytes one way of a connection holds at most, about what the buffers of two sockets do.
const held = 256 << 10

// errReset is what the ends of a connection see that was reset under them.
var errReset = errors.New("link: connection reset")

// chunk is bytes on their way, or the end of a way.
type chunk struct {
	data  []byte
	came  int64 // when the link read it, on the run's clock
	due   time.Time
	end   error                   // io.EOF or errReset; nil for bytes
	after func(at int64, ok bool) // told once it is delivered, or lost
}

// queue is one way of one connection: bytes come whole, in order, or not at all.
type queue struct {
	way   *way
	begun time.Time // when its connection came up

	mu       sync.Mutex
	moved    sync.Cond
	chunks   []chunk
	size     int
	ended    error     // no more may be pushed
	dead     bool      // nothing more is delivered
	deadline time.Time // for pop; zero for none
	passed   int64     // bytes delivered since a fault began that counts them
	counting *Faults   // that fault
	last     time.Time // when the last chunk is due: bytes do not overtake each other
	onReset  func()    // a fault resets the connection
}

func newQueue(w *way) *queue {
	q := &queue{way: w, begun: time.Now()}
	q.moved.L = &q.mu
	w.add(q)
	return q
}

// push adds bytes or an end, and waits while there is no room.
func (q *queue) push(c chunk) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.ended == nil && !q.dead && c.end == nil && q.size >= held {
		q.moved.Wait()
	}
	if q.ended != nil || q.dead {
		if c.after != nil {
			c.after(0, false)
		}
		if q.dead {
			return errReset
		}
		return os.ErrClosed
	}
	f := q.way.now()
	c.due = time.Now()
	if f.Delay > 0 || f.Spread > 0 {
		c.due = c.due.Add(f.Delay + time.Duration(rand.Float64()*float64(f.Spread)))
	}
	if f.Resent > 0 && rand.Float64() < f.Resent {
		c.due = c.due.Add(f.ResentIn)
	}
	if f.Rate > 0 {
		from := q.last
		if from.Before(c.due) {
			from = c.due
		}
		c.due = from.Add(time.Duration(float64(len(c.data)) / float64(f.Rate) * float64(time.Second)))
	}
	if c.end != nil {
		c.due = c.due.Add(f.LateClose)
	}
	if c.due.Before(q.last) {
		c.due = q.last
	}
	q.last = c.due
	q.ended = c.end
	q.size += len(c.data)
	q.chunks = append(q.chunks, c)
	q.moved.Broadcast()
	return nil
}

// pop returns what comes next once it is due and nothing holds it up. Of bytes it takes most at most.
func (q *queue) pop(most int) (chunk, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		if q.dead {
			return chunk{}, errReset
		}
		if !q.deadline.IsZero() && !time.Now().Before(q.deadline) {
			return chunk{}, os.ErrDeadlineExceeded
		}
		f := q.way.now()
		if len(q.chunks) == 0 || f.Cut || q.begun.Before(f.SilentBefore) || f.HalfOpen && q.chunks[0].end != nil {
			q.sleep(time.Time{})
			continue
		}
		if c := q.chunks[0]; time.Now().Before(c.due) {
			q.sleep(c.due)
			continue
		}
		c := q.chunks[0]
		if c.end != nil {
			q.chunks = q.chunks[1:]
			if c.end == errReset {
				q.kill()
			}
			return c, nil
		}
		if f.Loss > 0 && rand.Float64() < f.Loss {
			return chunk{}, q.breakOff()
		}
		if f.Reset {
			if q.counting != f {
				q.counting, q.passed = f, 0
			}
			if left := f.ResetAt - q.passed; left <= 0 {
				return chunk{}, q.breakOff()
			} else if int64(most) > left {
				most = int(left)
			}
		}
		if len(c.data) > most {
			q.chunks[0].data = c.data[most:]
			c.data, c.after = c.data[:most], nil
		} else {
			q.chunks[0] = chunk{}
			q.chunks = q.chunks[1:]
		}
		q.size -= len(c.data)
		q.passed += int64(len(c.data))
		q.moved.Broadcast()
		return c, nil
	}
}

// breakOff resets the connection, both ways. The lock is held, but not while the other way's is taken.
func (q *queue) breakOff() error {
	q.kill()
	q.mu.Unlock()
	q.onReset()
	q.mu.Lock()
	return errReset
}

// sleep waits until something changes, at the latest until a time or the deadline. The lock is held.
func (q *queue) sleep(until time.Time) {
	if !q.deadline.IsZero() && (until.IsZero() || q.deadline.Before(until)) {
		until = q.deadline
	}
	if until.IsZero() {
		q.moved.Wait()
		return
	}
	t := time.AfterFunc(time.Until(until), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.moved.Broadcast()
	})
	q.moved.Wait()
	t.Stop()
}

// kill gives up what is held. The lock is held.
func (q *queue) kill() {
	q.dead = true
	for _, c := range q.chunks {
		if c.after != nil {
			c.after(0, false)
		}
	}
	q.chunks, q.size = nil, 0
	q.moved.Broadcast()
	q.way.remove(q)
}

// reset ends the way at once.
func (q *queue) reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.dead {
		q.kill()
	}
}

// end lets what is held come through, and then the end.
func (q *queue) end(how error, came int64) { q.push(chunk{end: how, came: came}) }

func (q *queue) setDeadline(t time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deadline = t
	q.moved.Broadcast()
}

func (q *queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.moved.Broadcast()
}

// eof turns the end of a way into what a reader returns.
func (c chunk) eof() error {
	if c.end == errReset {
		return errReset
	}
	return io.EOF
}
