package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// Guards against clients that lose a message, hand it in too often, or go by another rule than the protocol's.
func TestClientSubmissions(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(n int, w http.ResponseWriter) // of the nth request
		hands  int                                // ids that it is handed in under
		status int                                // of the last answer; 0 for none
	}{
		{"taken", func(_ int, w http.ResponseWriter) { w.WriteHeader(202) }, 1, 202},
		{"refused, then taken", func(n int, w http.ResponseWriter) {
			if n == 1 {
				w.Header().Set("Retry-After", "0.01")
				w.WriteHeader(503)
				return
			}
			w.WriteHeader(202)
		}, 2, 202},
		{"refused for good", func(_ int, w http.ResponseWriter) { w.WriteHeader(503) }, 2, 503},
		{"failed", func(_ int, w http.ResponseWriter) { w.WriteHeader(404) }, 1, 404},
		{"no answer, then taken", func(n int, w http.ResponseWriter) {
			if n == 1 {
				time.Sleep(answerTimeout + 50*time.Millisecond)
			}
			w.WriteHeader(202)
		}, 2, 202},
		{"broken off, then taken", func(n int, w http.ResponseWriter) {
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(202)
		}, 2, 202},
	} {
		env := newEnv(t, func(s *scenario.Scenario, d *Draw) { d.Retries, d.Backoff, d.Honour = 1, 0.01, 1 })
		var mu sync.Mutex // a client that no longer waits comes again beside its first request
		n, keys := 0, map[string]bool{}
		relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			n++
			nth := n
			keys[req.Header.Get("Idempotency-Key")] = true
			mu.Unlock()
			io.Copy(io.Discard, req.Body)
			c.answer(nth, w)
		}))
		front := NewRelayPool()
		front.Add("relay/0", relay.Listener.Addr().String())
		front.SetUsable("relay/0", true)
		clients := NewClients(env.Env, front)
		clients.submit(clients.newMessage(rand.New(rand.NewPCG(1, 1))), "")
		clients.Close()
		relay.Close()
		status := 0
		for _, e := range env.events {
			if e.Kind == history.Heard {
				status = e.Status
			}
		}
		if got := env.count(history.Hand); got != c.hands || status != c.status || len(keys) != 1 {
			t.Errorf("%s: handed in %d times, %d keys, last answer %d; want %d, 1, %d", c.name, got, len(keys), status, c.hands, c.status)
		}
	}
}

func TestMetricsAreParsed(t *testing.T) {
	text := "svc.requests.a.served=12\nsvc.in_flight=3\n"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { fmt.Fprint(w, text) }))
	defer s.Close()
	addr := s.Listener.Addr().String()
	got, err := Metrics(context.Background(), addr)
	if err != nil || got["svc.in_flight"] != 3 || got["svc.requests.a.served"] != 12 {
		t.Errorf("%v, %v", got, err)
	}
	text = "svc.in_flight=many\n"
	if _, err := Metrics(context.Background(), addr); err == nil {
		t.Error("a figure that is no number passes")
	}
}

// Guards against strangers that are clients after all: what they send must be no message.
func TestStrangersSendNoValidMessage(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	valid := []byte("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: s1\r\nX-Class: order-msg\r\nX-Tenant: a\r\nX-Deadline-Ms: 900\r\n" +
		"Idempotency-Key: k\r\nX-Addressing: dest=0\r\nContent-Length: 5\r\n\r\nhello")
	message := func(sent []byte) bool {
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent)))
		if err != nil {
			return false
		}
		body, err := io.ReadAll(req.Body)
		h := req.Header
		text, addressed := strings.CutPrefix(h.Get("X-Addressing"), "dest=")
		dest, destErr := strconv.Atoi(text)
		ms, msErr := strconv.Atoi(h.Get("X-Deadline-Ms"))
		return err == nil && len(body) <= maxBodyBytes && req.TransferEncoding == nil && req.Method == "POST" && req.URL.Path == "/api" && addressed && destErr == nil && dest >= 0 &&
			msErr == nil && ms >= 0 && h.Get("X-Class") == "order-msg" && h.Get("X-Request-Id") != ""
	}
	if !message(valid) {
		t.Fatal("a message is not taken for one")
	}
	for _, m := range misuses {
		for range 50 {
			if sent := bytes.Join(m.pieces(r, valid), nil); message(sent) {
				t.Fatalf("%s is a message: %q", m.name, sent)
			}
			if m.flood {
				break
			}
		}
	}
}
