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
		if len(batch.notices) == 0 {
			select {
			case <-s.arrived:
			case <-ctx.Done():
			}
			continue
		}
		if err := s.deliver(ctx, batch); err == nil {
			s.accepted(batch.notices)
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
	head := slices.Clone(s.queue[:min(len(s.queue), batchMost)])
	s.mu.Unlock()
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	var batch noticeBatch
	taken := 0
	for _, n := range head {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue = s.queue[taken:]; len(s.queue) == 0 {
		s.queue = nil
	}
	return batch
}

// deliver sends one batch until the platform has accepted it. It returns an error only if the context ends first.
func (s *noticeSender) deliver(ctx context.Context, batch noticeBatch) error {
	for pause := discovery.FirstPause; ; pause = min(2*pause, discovery.LongPause) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := s.post(ctx, batch.body)
		if err == nil {
			return nil
		}
		slog.Warn("notices not accepted", "notices", len(batch.notices), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// post makes one POST.
func (s *noticeSender) post(ctx context.Context, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, noticeIn)
	defer cancel()
	addr, _ := s.platform.Get()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/status", bytes.NewReader(body))
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
