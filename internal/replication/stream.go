package replication

import (
	"context"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/replication/state"
)

// The bounds of a stream.
const (
	recordBytes        = 128                    // bytes of a record without a message, about
	entryBytes         = 512                    // and what a message adds to that, without its body
	maxQueueBytes      = 2 << 20                // bytes of records kept for holders that are behind; further back they get the whole
	maxBatchesInFlight = 3                      // batches on their way to one holder
	minRetryPause      = 20 * time.Millisecond  // after a call that failed
	maxRetryPause      = 500 * time.Millisecond // at the most
	batchDelay         = 20 * time.Millisecond  // for which records wait that nothing waits for
	clockValidity      = 5 * time.Second        // for which what was learnt of another clock is held to be true
)

// Stream carries one estate from its writer to its holders. It is safe for concurrent use.
type Stream struct {
	ID uint64
	// BatchMost bounds the bytes of records in a batch; one record may be larger. It is set before the first holder follows.
	MaxBatchBytes int
	client        *http.Client
	writerName    string
	// whole asks whoever owns the journal for all of the estate, and the number of the record that follows it.
	wholeCopy  func(ctx context.Context) (records []journal.Record, next uint64, ok bool)
	onProgress func()                   // more counts, or a holder's state is another
	onFenced   func(*state.FencedError) // another process writes the estate
	startedAt  time.Time

	mu            sync.Mutex
	progress      state.Writer
	queueFirst    uint64 // number of the first record in queue
	queue         []journal.Record
	sizes         []int
	queueBytes    int
	wake          chan struct{} // closed with each record
	cancels       map[*state.Follower]context.CancelFunc
	closed        bool
	wakeScheduled bool // holders are to be sent what there is in a while
}

// NewStream begins to write an estate, whose next record has a number.
func NewStream(id uint64, writer string, next uint64, client *http.Client, wholeCopy func(context.Context) ([]journal.Record, uint64, bool), onProgress func(), onFenced func(*state.FencedError)) *Stream {
	return &Stream{ID: id, MaxBatchBytes: maxBatchBytes, client: client, writerName: writer, wholeCopy: wholeCopy, onProgress: onProgress, onFenced: onFenced, startedAt: time.Now(),
		progress: state.Writer{Next: next}, queueFirst: next, wake: make(chan struct{}), cancels: map[*state.Follower]context.CancelFunc{}}
}

func (s *Stream) elapsed() time.Duration { return time.Since(s.startedAt) }

// Set has an epoch's holders follow.
func (s *Stream) SetReplicas(epoch uint64, copies int, replicas []state.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || epoch < s.progress.Epoch {
		return
	}
	s.progress.SetReplicas(epoch, copies, replicas)
	current := map[*state.Follower]bool{}
	for _, f := range s.progress.Followers {
		current[f] = true
		if s.cancels[f] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			s.cancels[f] = cancel
			go s.follow(ctx, f)
		}
	}
	for f, cancel := range s.cancels {
		if !current[f] {
			cancel()
			delete(s.cancels, f)
		}
	}
}

// Close ends it.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, cancel := range s.cancels {
		cancel()
	}
	clear(s.cancels)
}

// Append has records follow, and returns the number after them: they count once Counted has come to it. Those that nothing
// waits for go along with the next that something does, or in a while.
func (s *Stream) Append(urgent bool, records ...journal.Record) (next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if r.Entry != nil { // the journal goes on to change its own
			entry := *r.Entry
			r.Entry = &entry
		}
		size := recordBytes
		if r.Entry != nil {
			size += entryBytes + 2*len(r.Entry.Body) + len(r.Entry.ID) + len(r.Entry.Key)
		}
		s.queue, s.sizes, s.queueBytes = append(s.queue, r), append(s.sizes, size), s.queueBytes+size
	}
	s.progress.Next += uint64(len(records))
	s.trim()
	switch {
	case urgent:
		s.wakeFollowers()
	case !s.wakeScheduled:
		s.wakeScheduled = true
		time.AfterFunc(batchDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.wakeFollowers()
		})
	}
	return s.progress.Next
}

// rouse has holders be sent what there is. The lock is held.
func (s *Stream) wakeFollowers() {
	s.wakeScheduled = false
	close(s.wake)
	s.wake = make(chan struct{})
}

// trim drops records that all who follow have, and what goes beyond the bound. The lock is held.
func (s *Stream) trim() {
	lowest := s.progress.Next
	for _, f := range s.progress.Followers {
		if f.HasCopy {
			lowest = min(lowest, f.Acked)
		}
	}
	dropped := 0
	for dropped < len(s.queue) && (s.queueFirst+uint64(dropped) < lowest || s.queueBytes > maxQueueBytes) {
		s.queueBytes -= s.sizes[dropped]
		dropped++
	}
	s.queue, s.sizes, s.queueFirst = s.queue[dropped:], s.sizes[dropped:], s.queueFirst+uint64(dropped)
}

// Next is the number of the next record.
func (s *Stream) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress.Next
}

// Standing is how a stream stands.
type Status struct {
	Epoch           uint64
	Committed       uint64 // the first record that does not count yet
	UnderReplicated bool   // too few holders have a copy
	SetComplete     bool   // earlier sets of holders are of no more use
	ToReplace       []string
	Replicas        int
	ReplicaStates   []string // of the holders, for the log
}

// Standing tells how it stands.
func (s *Stream) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Epoch: s.progress.Epoch, Committed: s.progress.Committed(), UnderReplicated: s.progress.UnderReplicated(), SetComplete: s.progress.SetComplete(), ToReplace: s.progress.ToReplace(s.elapsed()), Replicas: len(s.progress.Followers)}
	for _, f := range s.progress.Followers {
		status.ReplicaStates = append(status.ReplicaStates, f.String())
	}
	return status
}
