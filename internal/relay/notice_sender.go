package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/discovery"
)

const (
	// noticeTurn is how long a batch is alone under way. The next one then starts beside it, on a connection of its own: where
	// the platform answers at once, all go one after the other on a single kept connection. The more are under way, the longer
	// the next one waits, so that a platform which takes up to a second for each answer still gets one in a third of a second.
	noticeTurn = 50 * time.Millisecond
	// noticeBatches bounds the batches under way, noticeHedges those of them that have a second attempt running: together they
	// bound the connections.
	noticeBatches = 7
	noticeHedges  = 2
)

// noticeSender sends queued notices to the platform, in batches, until it has accepted them. Whoever queues notices never
// waits for the platform, and batches do not wait for one that gets no answer. Its connections serve nothing else: one that
// has fallen silent for discovery must not hold up a notice.
type noticeSender struct {
	platform *discovery.Address
	conns    *http.Transport
	sending  func([]notice) // is called, by any goroutine, with what leaves the queue
	accepted func([]notice) // likewise, with what the platform has accepted

	slots  chan struct{} // a value for each batch under way
	hedges chan struct{} // a value for each batch with a second attempt

	mu      sync.Mutex
	queue   []notice
	arrived chan struct{} // holds a value once something is queued
}

func newNoticeSender(platform *discovery.Address, dial dialFunc, sending, accepted func([]notice)) *noticeSender {
	s := &noticeSender{platform: platform, sending: sending, accepted: accepted, arrived: make(chan struct{}, 1),
		slots: make(chan struct{}, noticeBatches), hedges: make(chan struct{}, noticeHedges)}
	s.conns = &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn, MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dial(attemptOf(ctx), network, addr)
		}}
	return s
}

// add queues notices. It waits for nobody's answer; what is queued is bounded by what the relay holds.
func (s *noticeSender) add(notices []notice) {
	s.mu.Lock()
	s.queue = append(s.queue, notices...)
	s.mu.Unlock()
	select {
	case s.arrived <- struct{}{}:
	default: // run has not seen the last value yet
	}
}

// withdraw takes a notice out of the queue, and tells whether it was still there.
func (s *noticeSender) withdraw(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued := len(s.queue)
	s.queue = slices.DeleteFunc(s.queue, func(n notice) bool { return n.ID == id })
	return len(s.queue) < queued
}

// empty tells whether nothing is queued.
func (s *noticeSender) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

// run sends what is queued until the context ends. What waits for its turn stays in the queue, where it can be withdrawn.
func (s *noticeSender) run(ctx context.Context) {
	var deliveries sync.WaitGroup
	defer s.conns.CloseIdleConnections()
	defer deliveries.Wait()
	for ctx.Err() == nil {
		if s.empty() {
			select {
			case <-s.arrived:
			case <-ctx.Done():
			}
			continue
		}
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		batch := s.nextBatch()
		if len(batch.notices) == 0 { // withdrawn
			<-s.slots
			continue
		}
		s.sending(batch.notices)
		done := make(chan struct{})
		deliveries.Go(func() {
			if err := s.deliver(ctx, batch); err == nil {
				s.accepted(batch.notices)
			}
			<-s.slots
			close(done)
		})
		select {
		case <-done:
		case <-time.After(time.Duration(max(1, len(s.slots)-1)) * noticeTurn):
		case <-ctx.Done():
		}
	}
}

// noticeBatch is what goes in one POST: a JSON object a line.
type noticeBatch struct {
	notices []notice
	body    []byte
}

// nextBatch removes from the queue what one POST may hold, which may be nothing. Only run calls it.
func (s *noticeSender) nextBatch() noticeBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	var batch noticeBatch
	taken := 0
	for _, n := range s.queue[:min(len(s.queue), batchMost)] {
		if err := lines.Encode(n); err != nil { // strings and numbers can be encoded; if not, the journal keeps it
			slog.Error("notice not encoded", "id", n.ID, "err", err)
			taken++
			continue
		}
		if body.Len() > maxBody {
			break
		}
		batch.notices, batch.body = append(batch.notices, n), body.Bytes()
		taken++
	}
	if s.queue = s.queue[taken:]; len(s.queue) == 0 {
		s.queue = nil
	}
	return batch
}
