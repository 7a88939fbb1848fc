package replication

import (
	"context"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/replication/state"
)

// The limits and delays of a stream.
const (
	recordBytes        = 128                    // approximate bytes of a record without a message
	entryBytes         = 512                    // approximate bytes that a message adds to that, without its body
	maxQueueBytes      = 2 << 20                // bytes of records retained for lagging replicas; one that lags further gets a whole copy
	maxBatchesInFlight = 3                      // batches in flight to one replica
	minRetryPause      = 20 * time.Millisecond  // first pause after a failed call
	maxRetryPause      = 500 * time.Millisecond // longest pause after failed calls
	batchDelay         = 20 * time.Millisecond  // delay of records for whose commit nothing waits
	clockValidity      = 5 * time.Second        // time for which a measured clock difference is used
)

// Stream sends the records of one group from its writer to its replicas. It is safe for concurrent use.
type Stream struct {
	ID uint64
	// MaxBatchBytes limits the bytes of records in a batch; one record may be larger. It is set before SetReplicas.
	MaxBatchBytes int
	client        *http.Client
	writerName    string
	// wholeCopy asks the owner of the journal for all records of the group, and the number of the record that follows them.
	wholeCopy  func(ctx context.Context) (records []journal.Record, next uint64, ok bool)
	onProgress func()                   // called after records were committed or a replica's state changed
	onFenced   func(*state.FencedError) // called when another process writes the group
	startedAt  time.Time

	mu            sync.Mutex
	progress      state.Writer
	queueFirst    uint64 // number of the first record in queue
	queue         []journal.Record
	sizes         []int
	queueBytes    int
	wake          chan struct{} // closed when there are records to send
	cancels       map[*state.Follower]context.CancelFunc
	closed        bool
	wakeScheduled bool // wakeFollowers will be called after batchDelay
}

// NewStream returns a stream that writes a group as writer, starting with the record number next. The functions are called
// without the stream's lock: wholeCopy returns all records of the group, the number after them and whether that succeeded;
// onProgress is called after each change of Status; onFenced when another process writes the group.
func NewStream(id uint64, writer string, next uint64, client *http.Client, wholeCopy func(context.Context) ([]journal.Record, uint64, bool), onProgress func(), onFenced func(*state.FencedError)) *Stream {
	return &Stream{ID: id, MaxBatchBytes: maxBatchBytes, client: client, writerName: writer, wholeCopy: wholeCopy, onProgress: onProgress, onFenced: onFenced, startedAt: time.Now(),
		progress: state.Writer{Next: next}, queueFirst: next, wake: make(chan struct{}), cancels: map[*state.Follower]context.CancelFunc{}}
}

func (s *Stream) elapsed() time.Duration { return time.Since(s.startedAt) }

// SetReplicas sends the stream to the replicas of an epoch, of which copies make a record committed. An older epoch is ignored.
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

// Close ends the stream; records in flight are abandoned.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, cancel := range s.cancels {
		cancel()
	}
	clear(s.cancels)
}

// Append adds records to the stream, and returns the number after them: they are committed once Status.Committed reaches it.
// Records that are not urgent, because nothing waits for their commit, are sent with the next urgent ones or after batchDelay.
func (s *Stream) Append(urgent bool, records ...journal.Record) (next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if r.Entry != nil { // a copy, as the journal continues to change its entry
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

// wakeFollowers makes each follower send the queued records. The caller holds the lock.
func (s *Stream) wakeFollowers() {
	s.wakeScheduled = false
	close(s.wake)
	s.wake = make(chan struct{})
}

// trim drops queued records that all replicas with a copy have, and the oldest beyond maxQueueBytes. The caller holds the lock.
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

// Next returns the number of the next record.
func (s *Stream) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress.Next
}

// Status is the state of a stream.
type Status struct {
	Epoch           uint64
	Committed       uint64   // number of the first record that is not committed yet
	UnderReplicated bool     // too few replicas have a copy to commit a record
	SetComplete     bool     // the current replicas have all that was committed; earlier sets are no longer needed
	ToReplace       []string // names of replicas that others should replace
	Replicas        int      // number of replicas in the current set
	ReplicaStates   []string // one text per replica, for the log
}

// Status returns the current state of the stream.
func (s *Stream) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Epoch: s.progress.Epoch, Committed: s.progress.Committed(), UnderReplicated: s.progress.UnderReplicated(), SetComplete: s.progress.SetComplete(), ToReplace: s.progress.ToReplace(s.elapsed()), Replicas: len(s.progress.Followers)}
	for _, f := range s.progress.Followers {
		status.ReplicaStates = append(status.ReplicaStates, f.String())
	}
	return status
}
