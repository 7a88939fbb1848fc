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

// How a stand-in delivers what it has taken on, and tells of ends.

// pick is an endpoint for a message, another than the last where there is one.
func (r *relay) pick(m *message, last string) (id, addr string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if left := time.Until(r.waits[m.dest]); left > 0 && r.flaw != Waits {
		return "", "", left
	}
	for _, h := range r.hosts {
		right := h.Cell == m.dest
		if r.flaw == Strays && m.key[len(m.key)-1]%4 == 0 {
			right = !right
		}
		if right && h.State == "active" && !r.out[h.ID] && (id == "" || id == last) {
			id, addr = h.ID, h.Addr
		}
	}
	return id, addr, 100 * time.Millisecond
}

// deliver tries until the message is delivered or its time is up.
func (r *relay) deliver(m *message) {
	var ranAt time.Time
	last := ""
	for tries := 0; time.Until(m.due) > 100*time.Millisecond && (tries < r.most || r.flaw == Endless); {
		id, addr, wait := r.pick(m, last)
		if id == "" {
			time.Sleep(min(wait, time.Until(m.due)))
			continue
		}
		last = id
		if !ranAt.IsZero() && time.Since(ranAt) > r.window-300*time.Millisecond && r.flaw != Late {
			break
		}
		tries++
		begin := time.Now()
		status, told, sent := r.call(m, addr)
		switch {
		case status == http.StatusOK:
			r.served.Add(1)
			if r.flaw == TwoEnds {
				time.Sleep(200 * time.Millisecond)
				r.notice(m.id, "undeliverable")
			}
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || !sent:
			if told > 0 {
				r.mu.Lock()
				r.waits[m.dest] = time.Now().Add(told + 20*time.Millisecond)
				r.mu.Unlock()
			}
			if r.flaw != Endless && r.flaw != Waits {
				time.Sleep(200 * time.Millisecond)
			}
		default:
			if ranAt.IsZero() {
				ranAt = begin
			}
			switch r.flaw {
			case Endless:
			case Late:
				time.Sleep(time.Until(ranAt.Add(r.window + 200*time.Millisecond)))
			default:
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	if ranAt.IsZero() {
		r.refused.Add(1)
		r.notice(m.id, "deferred")
	} else {
		r.failed.Add(1)
		r.notice(m.id, "undeliverable")
	}
}

// call makes one attempt. Sent tells whether it may have gone out.
func (r *relay) call(m *message, addr string) (status int, told time.Duration, sent bool) {
	ctx, cancel := context.WithDeadline(context.Background(), m.due.Add(-50*time.Millisecond))
	defer cancel()
	if r.flaw == Twice {
		defer time.AfterFunc(5*time.Millisecond, func() { go r.post(context.Background(), m, addr) }).Stop()
	}
	return r.post(ctx, m, addr)
}

func (r *relay) post(ctx context.Context, m *message, addr string) (status int, told time.Duration, sent bool) {
	body := m.body
	if r.flaw == Changes {
		body = append([]byte("x"), body...)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/receive", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, 0, false
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("X-Request-Id", m.id)
	req.Header.Set("Idempotency-Key", m.key)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(time.Until(m.due).Milliseconds())))
	resp, err := r.calls.Do(req)
	if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" {
		return 0, 0, false
	}
	r.attempts.Add(1)
	if err != nil {
		return 0, 0, true
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(s * float64(time.Second)), true
}

// tardiness is by how much a stand-in's ends are late that tells them late.
const tardiness = 500 * time.Millisecond

func (r *relay) notice(id, status string) {
	if r.flaw == Tardy {
		time.Sleep(tardiness)
	}
	for range 20 {
		resp, err := r.notices.Post("http://"+r.platform+"/status", "application/json", strings.NewReader(fmt.Sprintf("{\"id\":%q,\"status\":%q}\n", id, status)))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
