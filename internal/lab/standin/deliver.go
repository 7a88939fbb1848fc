package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Delivery of accepted messages by a stand-in, and its notices.

// pickEndpoint returns an endpoint for a message, preferably another one than the last. If there is none, id is empty and wait is
// the time after which to ask again.
func (r *relay) pickEndpoint(m *message, last string) (id, addr string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if left := time.Until(r.waitUntil[m.dest]); left > 0 && r.flaw != IgnoresWaits {
		return "", "", left
	}
	for _, h := range r.hosts {
		matches := h.Cell == m.dest
		if r.flaw == WrongDestination && m.key[len(m.key)-1]%4 == 0 {
			matches = !matches
		}
		if matches && h.State == "active" && !r.disabled[h.ID] && (id == "" || id == last) {
			id, addr = h.ID, h.Addr
		}
	}
	return id, addr, 100 * time.Millisecond
}

// deliver attempts a message until it is delivered, its deadline is near or its attempts are used up. If it is not delivered, the
// platform gets a notice.
func (r *relay) deliver(m *message) {
	var firstPossiblyExecutedAt time.Time
	last := ""
	for tries := 0; time.Until(m.deadline) > 100*time.Millisecond && (tries < r.maxAttempts || r.flaw == UnlimitedAttempts); {
		id, addr, wait := r.pickEndpoint(m, last)
		if id == "" {
			time.Sleep(min(wait, time.Until(m.deadline)))
			continue
		}
		last = id
		if !firstPossiblyExecutedAt.IsZero() && time.Since(firstPossiblyExecutedAt) > r.window-300*time.Millisecond && r.flaw != RepeatsOutsideWindow {
			break
		}
		tries++
		begin := time.Now()
		status, retryAfter, sent := r.attempt(m, addr)
		switch {
		case status == http.StatusOK:
			r.served.Add(1)
			if r.flaw == NoticeAfterDelivery {
				time.Sleep(200 * time.Millisecond)
				r.sendNotice(m.id, "undeliverable")
			}
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || !sent:
			if retryAfter > 0 {
				r.mu.Lock()
				r.waitUntil[m.dest] = time.Now().Add(retryAfter + 20*time.Millisecond)
				r.mu.Unlock()
			}
			if r.flaw != UnlimitedAttempts && r.flaw != IgnoresWaits {
				time.Sleep(200 * time.Millisecond)
			}
		default:
			if firstPossiblyExecutedAt.IsZero() {
				firstPossiblyExecutedAt = begin
			}
			switch r.flaw {
			case UnlimitedAttempts:
			case RepeatsOutsideWindow:
				time.Sleep(time.Until(firstPossiblyExecutedAt.Add(r.window + 200*time.Millisecond)))
			default:
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	if firstPossiblyExecutedAt.IsZero() {
		r.refused.Add(1)
		r.sendNotice(m.id, "deferred")
	} else {
		r.failed.Add(1)
		r.sendNotice(m.id, "undeliverable")
	}
}

// attempt makes one attempt, twice with the flaw DuplicateAttempts. It returns the status, or 0 for no answer, the advised wait,
// and whether the request may have been sent.
func (r *relay) attempt(m *message, addr string) (status int, retryAfter time.Duration, sent bool) {
	ctx, cancel := context.WithDeadline(context.Background(), m.deadline.Add(-50*time.Millisecond))
	defer cancel()
	if r.flaw == DuplicateAttempts {
		defer time.AfterFunc(5*time.Millisecond, func() { go r.post(context.Background(), m, addr) }).Stop()
	}
	return r.post(ctx, m, addr)
}

func (r *relay) post(ctx context.Context, m *message, addr string) (status int, retryAfter time.Duration, sent bool) {
	body := m.body
	if r.flaw == AltersBodies {
		body = append([]byte("x"), body...)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/receive", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, 0, false
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("X-Request-Id", m.id)
	req.Header.Set("Idempotency-Key", m.key)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(time.Until(m.deadline).Milliseconds())))
	resp, err := r.callClient.Do(req)
	if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" {
		return 0, 0, false
	}
	r.attempts.Add(1)
	if err != nil {
		return 0, 0, true
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), true
}

// noticeDelay is the delay of notices with the flaw LateNotices.
const noticeDelay = 500 * time.Millisecond

func (r *relay) sendNotice(id, status string) {
	if r.flaw == LateNotices {
		time.Sleep(noticeDelay)
	}
	for range 20 {
		resp, err := r.noticeClient.Post("http://"+r.platformAddr+"/status", "application/json", strings.NewReader(fmt.Sprintf("{\"id\":%q,\"status\":%q}\n", id, status)))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
