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
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// Guards against clients that lose a message, submit it too often, or retry by another rule than that of the protocol.
func TestClientSubmissions(t *testing.T) {
	for _, c := range []struct {
		name        string
		answer      func(n int, w http.ResponseWriter) // of the nth request
		submissions int                                // number of submissions, each with its own id
		status      int                                // status of the last answer; 0 for none
	}{
		{"taken", func(_ int, w http.ResponseWriter) { w.WriteHeader(202) }, 1, 202},
		{"refused, then accepted", func(n int, w http.ResponseWriter) {
			if n == 1 {
				w.Header().Set("Retry-After", "0.01")
				w.WriteHeader(503)
				return
			}
			w.WriteHeader(202)
		}, 2, 202},
		{"always refused", func(_ int, w http.ResponseWriter) { w.WriteHeader(503) }, 2, 503},
		{"failed", func(_ int, w http.ResponseWriter) { w.WriteHeader(404) }, 1, 404},
		{"no answer, then accepted", func(n int, w http.ResponseWriter) {
			if n == 1 {
				time.Sleep(answerTimeout + 50*time.Millisecond)
			}
			w.WriteHeader(202)
		}, 2, 202},
		{"connection aborted, then accepted", func(n int, w http.ResponseWriter) {
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(202)
		}, 2, 202},
	} {
		env := newEnv(t, func(s *scenario.Scenario, d *Draw) { d.Retries, d.Backoff, d.Honour = 1, 0.01, 1 })
		var mu sync.Mutex // a client that has stopped waiting retries while its first request is still being handled
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
		pool := NewRelayPool()
		pool.Add("relay/0", relay.Listener.Addr().String())
		pool.SetUsable("relay/0", true)
		clients := NewClients(env.Env, pool)
		clients.submit(clients.newMessage(rand.New(rand.NewPCG(1, 1))), "")
		clients.Close()
		relay.Close()
		status := 0
		for _, e := range env.events {
			if e.Kind == history.AnswerReceived {
				status = e.Status
			}
		}
		if got := env.count(history.RequestSent); got != c.submissions || status != c.status || len(keys) != 1 {
			t.Errorf("%s: submitted %d times, %d keys, last answer %d; want %d, 1, %d", c.name, got, len(keys), status, c.submissions, c.status)
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
		t.Error("a metric that is not a number is accepted")
	}
}

// Guards against strangers that send a valid message by mistake, which the relay would be right to accept.
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
		t.Fatal("the check does not recognize a valid message")
	}
	for _, m := range slices.Concat(behaviours, crowdBehaviours) {
		for range 50 {
			if sent := bytes.Join(m.pieces(r, valid), nil); message(sent) {
				t.Fatalf("behaviour %q sends a valid message: %q", m.name, sent)
			}
			if m.flood {
				break
			}
		}
	}
}
