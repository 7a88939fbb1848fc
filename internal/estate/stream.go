package estate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/estate/state"
	"larchrouter/internal/journal"
)

// The bounds of a stream.
const (
	recordSize = 128                    // bytes of a record without a message, about
	entrySize  = 512                    // and what a message adds to that, without its body
	queueMost  = 2 << 20                // bytes of records kept for holders that are behind; further back they get the whole
	underWay   = 3                      // batches on their way to one holder
	firstPause = 20 * time.Millisecond  // after a call that failed
	longPause  = 500 * time.Millisecond // at the most
	behindFor  = 20 * time.Millisecond  // for which records wait that nothing waits for
	clockFor   = 5 * time.Second        // for which what was learnt of another clock is held to be true
)

// Stream carries one estate from its writer to its holders. It is safe for concurrent use.
type Stream struct {
	ID uint64
	// BatchMost bounds the bytes of records in a batch; one record may be larger. It is set before the first holder follows.
	BatchMost int
	client    *http.Client
	writer    string
	// whole asks whoever owns the journal for all of the estate, and the number of the record that follows it.
	whole func(ctx context.Context) (recs []journal.Record, next uint64, ok bool)
	news  func()              // more counts, or a holder's state is another
	over  func(*state.Sealed) // another process writes the estate
	began time.Time

	mu    sync.Mutex
	w     state.Writer
	first uint64 // number of the first record in queue
	queue []journal.Record
	sizes []int
	bytes int
	wake  chan struct{} // closed with each record
	ends  map[*state.Follower]context.CancelFunc
	shut  bool
	soon  bool // holders are to be sent what there is in a while
}

// NewStream begins to write an estate, whose next record has a number.
func NewStream(id uint64, writer string, next uint64, client *http.Client, whole func(context.Context) ([]journal.Record, uint64, bool), news func(), over func(*state.Sealed)) *Stream {
	return &Stream{ID: id, BatchMost: batchMost, client: client, writer: writer, whole: whole, news: news, over: over, began: time.Now(),
		w: state.Writer{Next: next}, first: next, wake: make(chan struct{}), ends: map[*state.Follower]context.CancelFunc{}}
}

func (s *Stream) now() time.Duration { return time.Since(s.began) }

// Set has an epoch's holders follow.
func (s *Stream) Set(epoch uint64, copies int, holders []state.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut || epoch < s.w.Epoch {
		return
	}
	s.w.Set(epoch, copies, holders)
	keep := map[*state.Follower]bool{}
	for _, f := range s.w.Followers {
		keep[f] = true
		if s.ends[f] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			s.ends[f] = cancel
			go s.follow(ctx, f)
		}
	}
	for f, end := range s.ends {
		if !keep[f] {
			end()
			delete(s.ends, f)
		}
	}
}

// Close ends it.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = true
	for _, end := range s.ends {
		end()
	}
	clear(s.ends)
}

// Append has records follow, and returns the number after them: they count once Counted has come to it. Those that nothing
// waits for go along with the next that something does, or in a while.
func (s *Stream) Append(awaited bool, recs ...journal.Record) (next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range recs {
		if r.Entry != nil { // the journal goes on to change its own
			e := *r.Entry
			r.Entry = &e
		}
		n := recordSize
		if r.Entry != nil {
			n += entrySize + 2*len(r.Entry.Body) + len(r.Entry.ID) + len(r.Entry.Key)
		}
		s.queue, s.sizes, s.bytes = append(s.queue, r), append(s.sizes, n), s.bytes+n
	}
	s.w.Next += uint64(len(recs))
	s.trim()
	switch {
	case awaited:
		s.rouse()
	case !s.soon:
		s.soon = true
		time.AfterFunc(behindFor, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.rouse()
		})
	}
	return s.w.Next
}

// rouse has holders be sent what there is. The lock is held.
func (s *Stream) rouse() {
	s.soon = false
	close(s.wake)
	s.wake = make(chan struct{})
}

// trim drops records that all who follow have, and what goes beyond the bound. The lock is held.
func (s *Stream) trim() {
	least := s.w.Next
	for _, f := range s.w.Followers {
		if f.Whole {
			least = min(least, f.Acked)
		}
	}
	n := 0
	for n < len(s.queue) && (s.first+uint64(n) < least || s.bytes > queueMost) {
		s.bytes -= s.sizes[n]
		n++
	}
	s.queue, s.sizes, s.first = s.queue[n:], s.sizes[n:], s.first+uint64(n)
}

// Next is the number of the next record.
func (s *Stream) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.w.Next
}

// Standing is how a stream stands.
type Standing struct {
	Epoch   uint64
	Counted uint64 // the first record that does not count yet
	Short   bool   // too few holders have a copy
	Filled  bool   // earlier sets of holders are of no more use
	Gone    []string
	Holders int
	States  []string // of the holders, for the log
}

// Standing tells how it stands.
func (s *Stream) Standing() Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := Standing{Epoch: s.w.Epoch, Counted: s.w.Counted(), Short: s.w.Short(), Filled: s.w.Filled(), Gone: s.w.Gone(s.now()), Holders: len(s.w.Followers)}
	for _, f := range s.w.Followers {
		now.States = append(now.States, f.String())
	}
	return now
}
