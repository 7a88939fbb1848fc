package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/scenario"
)

// recorded is an Env whose events a test can look at.
type recorded struct {
	Env
	mu  sync.Mutex
	all []history.Event
}

func newEnv(t *testing.T, change func(*scenario.Scenario, *Draw)) *recorded {
	t.Helper()
	s := scenario.Default()
	r := &recorded{}
	r.Env = Env{Clock: history.NewClock(), Scenario: s, Record: func(e history.Event) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.all = append(r.all, e)
	}}
	r.Net = link.NewNet(r.Clock)
	t.Cleanup(r.Net.Close)
	r.Draw = NewDraw(s)
	r.Draw.ListDelay, r.Draw.ListCost, r.Draw.Handshake, r.Draw.Error = 0, 0, 0, 0
	if change != nil {
		change(s, r.Draw)
	}
	return r
}

func (r *recorded) count(kind history.Kind) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.all {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a draw that differs between two runs of one seed, or that no relay could read.
func TestDraw(t *testing.T) {
	for seed := range uint64(30) {
		s := scenario.Default()
		s.Seed, s.Platform.Destinations = seed, 7
		a, _ := json.Marshal(NewDraw(s))
		b, _ := json.Marshal(NewDraw(s))
		if !bytes.Equal(a, b) {
			t.Fatalf("seed %d draws differently the second time", seed)
		}
		d := NewDraw(s)
		sum, many := 0.0, 0
		for _, v := range d.Dests {
			sum += v.Share
			if d.Kinds[v.Kind].PerCall > 1 {
				many++
			}
			if v.Capacity <= 0 || v.Median <= 0 || v.ColdFrom < 0.29 {
				t.Errorf("seed %d: %+v", seed, v)
			}
		}
		if sum < 0.999 || sum > 1.001 || many == 0 || many == len(d.Dests) {
			t.Errorf("seed %d: shares add up to %.3f, %d of %d take many messages in a call", seed, sum, many, len(d.Dests))
		}
	}
}

// Guards against a limit that lets more through than it says, over any span, whatever comes.
func TestLimits(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		env := newEnv(t, func(_ *scenario.Scenario, d *Draw) {
			d.Dests[0].Rate, d.Dests[0].Window, d.Dests[0].Spend = between(r, 1, 60), 0, r.IntN(2) == 0
			if seed%2 == 0 {
				d.Dests[0].Window = between(r, 0.5, 2)
			}
		})
		d := NewPartners(env.Env).dests[0]
		now := time.Now()
		var let []time.Time
		asked, refused := 0, 0
		for end := now.Add(20 * time.Second); now.Before(end); asked++ {
			now = now.Add(time.Duration(r.ExpFloat64() / d.Rate / between(r, 0.5, 3) * float64(time.Second)))
			wait, ok := d.allow(now)
			if ok {
				let = append(let, now)
				continue
			}
			refused++
			if wait <= 0 {
				t.Fatalf("seed %d: refused with a wait of %v", seed, wait)
			}
		}
		spare := d.burst() // of a plain rate; a span's end and the next one's start lie side by side
		if d.Window > 0 {
			spare = d.Rate * d.Window
		}
		for i := range let {
			for k := i; k < len(let); k++ {
				if most := d.Rate*let[k].Sub(let[i]).Seconds() + spare + 1; float64(k-i+1) > most+1e-6 {
					t.Fatalf("seed %d: %d calls within %v of a limit of %.1f/s", seed, k-i+1, let[k].Sub(let[i]), d.Rate)
				}
			}
		}
		if len(let) == 0 || refused == 0 {
			t.Errorf("seed %d: of %d calls %d were let through and %d refused", seed, asked, len(let), refused)
		}
	}
}

// Guards against a cold destination that nothing pushes over, or that what it can bear does.
func TestColdReturn(t *testing.T) {
	for _, c := range []struct {
		times float64 // of what it can do
		knew  bool
		falls bool
	}{{1.2, true, false}, {2.2, true, true}, {2.2, false, true}} {
		env := newEnv(t, func(s *scenario.Scenario, d *Draw) {
			s.Platform.Destinations = 1
			d.Cold, d.Dests[0].ColdFrom = 10, 0.3
			d.Dests[0].Rate, d.Dests[0].Capacity, d.Dests[0].Median, d.Dests[0].Sigma = 0, 100, 0.1, 0
			d.Dests = d.Dests[:1]
		})
		d := NewPartners(env.Env).dests[0]
		now := time.Now()
		d.comeBack(now)
		if c.knew {
			d.burnt["relay/0"] = true
		}
		capacity := 0.0
		for _, e := range d.eps {
			capacity += float64(e.workers) / d.mean()
		}
		for at := now; at.Before(now.Add(9 * time.Second)); {
			d.weigh("relay/0", 1, at)
			at = at.Add(time.Duration(float64(time.Second) / (c.times * capacity * d.warmth(at))))
		}
		if d.fallen != c.falls {
			t.Errorf("%g times what it can do: fallen is %v", c.times, d.fallen)
		}
		for _, e := range env.all {
			if name := map[bool]string{true: "knew:relay/0", false: "new:relay/0"}[c.knew]; e.Kind == history.Fell && e.Figures[name] == 0 {
				t.Errorf("it does not say who pushed it over: %v", e)
			}
		}
	}
}

// Guards against bodies of several messages that are read otherwise than they are written.
func TestFrames(t *testing.T) {
	for body, want := range map[string]string{
		"a - 5\r\nhello\r\n":                      "a//hello",
		"a k 2\r\n\r\n\r\nb - 0\r\n\r\n":          "a/k/\r\n b//",
		"":                                        "error",
		"a - 5\r\nhell\r\n":                       "error",
		"a - 5\r\nhello":                          "error",
		"a - -1\r\n\r\n":                          "error",
		"a - 5\nhello\n":                          "error",
		"a - 0\r\n\r\na - 0\r\n\r\n":              "error",
		"a - 99999999999999999999\r\n\r\n":        "error",
		strings.Repeat("x", 700) + " - 0\r\n\r\n": "error",
	} {
		ids, keys, bodies, err := frames([]byte(body))
		got := make([]string, len(ids))
		for i := range ids {
			got[i] = ids[i] + "/" + keys[i] + "/" + string(bodies[i])
		}
		text := strings.Join(got, " ")
		if err != nil {
			text = "error"
		}
		if text != want {
			t.Errorf("%q reads as %q, want %q (%v)", body, text, want, err)
		}
	}
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte("a k 5\r\nhello\r\nb - 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		ids, keys, bodies, err := frames(body)
		if err == nil && (len(ids) == 0 || len(ids) != len(keys) || len(ids) != len(bodies)) {
			t.Errorf("%d ids, %d keys, %d bodies", len(ids), len(keys), len(bodies))
		}
	})
}

// Guards against lists that a relay cannot follow: changes since a version, the whole list to whoever is behind,
// watches that end with a change, with their time, and when discovery goes down; notices taken all the while.
func TestDiscovery(t *testing.T) {
	env := newEnv(t, nil)
	p := NewPartners(env.Env)
	d := NewDiscovery(env.Env, p)
	var ends []string
	d.Noticed = func(id, status string, _ time.Duration) { ends = append(ends, id+" "+status) }
	d.Reach("relay/0", "endpoint/1", "127.0.0.1:77")
	addr, err := d.Serve("relay/0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	get := func(query string) (int, answer) {
		t.Helper()
		resp, err := http.Get("http://" + addr + "/discovery/hosts" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var a answer
		if resp.StatusCode == 200 {
			if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
				t.Fatal(err)
			}
		}
		return resp.StatusCode, a
	}
	whole := len(p.eps)
	if status, a := get(""); status != 200 || !a.Full || a.Version != 1 || len(a.Servers) != whole || a.Servers[1].Addr != "127.0.0.1:77" {
		t.Errorf("whole list: %d, %+v", status, a)
	}
	if _, a := get("?since=1&timeout_ms=1"); a.Full || a.Version != 1 || len(a.Servers) != 0 {
		t.Errorf("a watch that ends with its time: %+v", a)
	}
	if _, a := get("?since=99&timeout_ms=1"); !a.Full {
		t.Errorf("a watch from a version that is not there yet: %+v", a)
	}
	type said struct {
		status int
		answer
	}
	watch := func(query string) chan said {
		ch, before := make(chan said, 1), env.count(history.Asked)
		go func() { status, a := get(query); ch <- said{status, a} }()
		for env.count(history.Asked) == before {
			time.Sleep(time.Millisecond)
		}
		return ch
	}
	w := watch("?since=1&timeout_ms=60000")
	d.Set("endpoint/1", "leaving", nil)
	if got := <-w; got.Full || got.Version != 2 || len(got.Servers) != 1 || got.Servers[0].State != "leaving" {
		t.Errorf("a watch that ends with a change: %+v", got)
	}
	left := make(chan struct{})
	d.Set("endpoint/1", "left", func() { close(left) })
	<-left
	if _, a := get(""); len(a.Servers) != whole-1 {
		t.Errorf("%d endpoints in the whole list after one left, want %d", len(a.Servers), whole-1)
	}
	if _, a := get("?since=2"); len(a.Servers) != 1 || a.Servers[0].State != "left" {
		t.Errorf("a change since version 2: %+v", a)
	}
	w = watch("?since=3&timeout_ms=60000")
	d.Down(true)
	if got := <-w; got.status != 503 {
		t.Errorf("a watch ends with %d as discovery goes down, want 503", got.status)
	}
	if status, _ := get(""); status != 503 {
		t.Errorf("status %d while it is down, want 503", status)
	}
	for body, want := range map[string]int{
		"{\"id\":\"a\",\"status\":\"deferred\",\"again_ms\":5}\n{\"id\":\"b\",\"status\":\"undeliverable\"}\n": 204,
		"{\"id\":\"c\",\"status\":\"gone\"}\n": 400, "nothing": 400, "{\"status\":\"deferred\"}": 400,
	} {
		resp, err := http.Post("http://"+addr+"/status", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("notice %q is answered %d, want %d", body, resp.StatusCode, want)
		}
	}
	if got := strings.Join(ends, ", "); got != "a deferred, b undeliverable" {
		t.Errorf("ends %q", got)
	}
	d.Down(false)
	if status, _ := get(""); status != 200 {
		t.Errorf("status %d once it is up again", status)
	}
}

// Guards against clients that lose a message, hand it in too often, or go by another rule than the protocol's.
func TestClients(t *testing.T) {
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
				time.Sleep(patience + 50*time.Millisecond)
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
		front := NewFront()
		front.Add("relay/0", relay.Listener.Addr().String())
		front.Use("relay/0", true)
		clients := NewClients(env.Env, front)
		clients.hand(clients.draw(rand.New(rand.NewPCG(1, 1))), "")
		clients.Close()
		relay.Close()
		status := 0
		for _, e := range env.all {
			if e.Kind == history.Heard {
				status = e.Status
			}
		}
		if got := env.count(history.Hand); got != c.hands || status != c.status || len(keys) != 1 {
			t.Errorf("%s: handed in %d times, %d keys, last answer %d; want %d, 1, %d", c.name, got, len(keys), status, c.hands, c.status)
		}
	}
}

func TestFiguresAreRead(t *testing.T) {
	text := "svc.requests.a.served=12\nsvc.in_flight=3\n"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { fmt.Fprint(w, text) }))
	defer s.Close()
	addr := s.Listener.Addr().String()
	got, err := Figures(context.Background(), addr)
	if err != nil || got["svc.in_flight"] != 3 || got["svc.requests.a.served"] != 12 {
		t.Errorf("%v, %v", got, err)
	}
	text = "svc.in_flight=many\n"
	if _, err := Figures(context.Background(), addr); err == nil {
		t.Error("a figure that is no number passes")
	}
}

// Guards against a garbled answer that can be read, and one that tells another status than it is said to.
func TestGarble(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	true200 := 0
	for i := range 3000 {
		many := i%2 == 0
		text, says := garble(r, many)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil {
			t.Fatalf("%q can be read", text)
		}
		if ok := strings.HasPrefix(text, "HTTP/1.1 200 OK\r\n"); says == 200 != (ok && !many) || says != 0 && says != 200 {
			t.Fatalf("%q, many %v, is said to tell %d", text, many, says)
		}
		true200 += says
	}
	if true200 == 0 {
		t.Error("none is true")
	}
}

// Guards against strangers that are clients after all: what they send must be no message.
func TestStrangersAreNoClients(t *testing.T) {
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
		return err == nil && len(body) <= maxBody && req.TransferEncoding == nil && req.Method == "POST" && req.URL.Path == "/api" && addressed && destErr == nil && dest >= 0 &&
			msErr == nil && ms >= 0 && h.Get("X-Class") == "order-msg" && h.Get("X-Request-Id") != ""
	}
	if !message(valid) {
		t.Fatal("a message is not taken for one")
	}
	for _, m := range manners {
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
