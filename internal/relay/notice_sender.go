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

	"larchrouter/internal/clientconn"
	"larchrouter/internal/discovery"
)

const (
	// noticeStagger is how long a batch is in flight alone. After that the next one starts beside it, on a connection
	// of its own. If the platform answers at once, all batches are sent one after the other on a single connection. The
	// more batches are in flight, the longer the next one waits, so that a platform which takes up to a second for each
	// answer still receives a batch within a third of a second.
	noticeStagger = 50 * time.Millisecond
	// maxNoticeBatches limits the batches in flight, maxNoticeHedges those of them that have a second attempt running.
	// Together they limit the number of connections.
	maxNoticeBatches = 7
	maxNoticeHedges  = 2
)

// noticeSender sends queued notices to the platform in batches, and repeats them until the platform has accepted them.
// Queuing a notice never waits for the platform, and batches do not wait for one that gets no answer. The connections
// are used for nothing else: a connection to discovery that gets no answers must not delay a notice.
type noticeSender struct {
	addresses  noticeAddresses
	transport  *clientconn.Transport
	onSending  func([]notice) // called with the notices that leave the queue, by any goroutine
	onAccepted func([]notice) // called with the notices that the platform has accepted, by any goroutine

	slots  chan struct{} // holds one value for each batch in flight
	hedges chan struct{} // holds one value for each batch with a second attempt

	mu     sync.Mutex
	queue  []notice
	queued chan struct{} // holds a value once something is queued
}

func newNoticeSender(platform *discovery.Address, dial dialFunc, onSending, onAccepted func([]notice)) *noticeSender {
	sender := &noticeSender{addresses: noticeAddresses{platform: platform}, onSending: onSending, onAccepted: onAccepted, queued: make(chan struct{}, 1),
		slots: make(chan struct{}, maxNoticeBatches), hedges: make(chan struct{}, maxNoticeHedges)}
	sender.transport = clientconn.NewTransport(&http.Transport{DisableCompression: true, IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dial(attemptContext(ctx), network, addr)
		}})
	return sender
}

// add queues notices. It never blocks; the queue is limited by the number of messages that are pending in the relay.
func (s *noticeSender) add(notices []notice) {
	s.mu.Lock()
	s.queue = append(s.queue, notices...)
	s.mu.Unlock()
	select {
	case s.queued <- struct{}{}:
	default: // run has not received the last value yet
	}
}

// withdraw removes a notice from the queue, and reports whether it was still there.
func (s *noticeSender) withdraw(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lengthBefore := len(s.queue)
	s.queue = slices.DeleteFunc(s.queue, func(n notice) bool { return n.ID == id })
	return len(s.queue) < lengthBefore
}

// empty reports whether nothing is queued.
func (s *noticeSender) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

// run sends queued notices until the context ends. A notice stays in the queue until its batch starts, so that it can
// be withdrawn.
func (s *noticeSender) run(ctx context.Context) {
	var deliveries sync.WaitGroup
	defer s.transport.CloseIdleConnections()
	defer deliveries.Wait()
	for ctx.Err() == nil {
		if s.empty() {
			select {
			case <-s.queued:
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
		if len(batch.notices) == 0 { // all notices were withdrawn
			<-s.slots
			continue
		}
		s.onSending(batch.notices)
		done := make(chan struct{})
		deliveries.Go(func() {
			if err := s.deliver(ctx, batch); err == nil {
				s.onAccepted(batch.notices)
			}
			<-s.slots
			close(done)
		})
		select {
		case <-done:
		case <-time.After(time.Duration(max(1, len(s.slots)-1)) * noticeStagger):
		case <-ctx.Done():
		}
	}
}

// noticeBatch is the content of one POST: one JSON object per line.
type noticeBatch struct {
	notices []notice
	body    []byte
}

// nextBatch removes from the queue the notices of one POST, possibly none. Only run calls it.
func (s *noticeSender) nextBatch() noticeBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	var batch noticeBatch
	removed := 0
	for _, notice := range s.queue[:min(len(s.queue), maxBatch)] {
		if err := encoder.Encode(notice); err != nil { // strings and numbers can always be encoded; if that fails, the notice stays in the journal
			slog.Error("notice could not be encoded", "id", notice.ID, "err", err)
			removed++
			continue
		}
		if body.Len() > maxBodyBytes {
			break
		}
		batch.notices, batch.body = append(batch.notices, notice), body.Bytes()
		removed++
	}
	if s.queue = s.queue[removed:]; len(s.queue) == 0 {
		s.queue = nil
	}
	return batch
}
