package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/discovery"
)

// noticeIn bounds one POST of notices: a platform that hangs must not hold up all later ends.
const noticeIn = time.Second

// noticeSender sends queued notices to the platform, in batches, until it has accepted them. Whoever queues notices never
// waits for the platform.
type noticeSender struct {
	platform *discovery.At
	client   *http.Client
	accepted func([]notice) // is called, by any goroutine, with what the platform has accepted

	mu      sync.Mutex
	queue   []notice
	arrived chan struct{} // holds a value once something is queued
}

func newNoticeSender(platform *discovery.At, client *http.Client, accepted func([]notice)) *noticeSender {
	return &noticeSender{platform: platform, client: client, accepted: accepted, arrived: make(chan struct{}, 1)}
}

// add queues notices. It does not block; what is queued is bounded by what the relay holds.
func (s *noticeSender) add(notices []notice) {
	s.mu.Lock()
	s.queue = append(s.queue, notices...)
	s.mu.Unlock()
	select {
	case s.arrived <- struct{}{}:
	default: // run has not seen the last value yet
	}
}

// run sends what is queued until the context ends.
func (s *noticeSender) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := s.nextBatch()
		if len(batch) == 0 {
			select {
			case <-s.arrived:
			case <-ctx.Done():
			}
			continue
		}
		if err := s.deliver(ctx, batch); err == nil {
			s.accepted(batch)
		}
	}
}

// nextBatch removes from the queue what one POST may hold, which may be nothing. Only run calls it.
func (s *noticeSender) nextBatch() []notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), batchMost)
	batch := slices.Clone(s.queue[:n])
	if s.queue = s.queue[n:]; len(s.queue) == 0 {
		s.queue = nil
	}
	return batch
}

// deliver sends one batch until the platform has accepted it. It returns an error only if the context ends first.
func (s *noticeSender) deliver(ctx context.Context, batch []notice) error {
	for pause := discovery.FirstPause; ; pause = min(2*pause, discovery.LongPause) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := s.post(ctx, batch)
		if err == nil {
			return nil
		}
		slog.Warn("notices not accepted", "notices", len(batch), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// post makes one POST, with an object a line.
func (s *noticeSender) post(ctx context.Context, batch []notice) error {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return fmt.Errorf("notice of %s: %w", n.ID, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, noticeIn)
	defer cancel()
	addr, _ := s.platform.Get()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/status", &body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
