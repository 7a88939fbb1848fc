package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/scenario"
)

// recordedEnv is an Env whose events a test can inspect.
type recordedEnv struct {
	Env
	mu     sync.Mutex
	events []history.Event
}

func newEnv(t *testing.T, change func(*scenario.Scenario, *Draw)) *recordedEnv {
	t.Helper()
	s := scenario.Default()
	r := &recordedEnv{}
	r.Env = Env{Clock: history.NewClock(), Scenario: s, Record: func(e history.Event) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.events = append(r.events, e)
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

func (r *recordedEnv) count(kind history.Kind) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a draw that differs between two runs with the same seed, or that is out of its bounds.
func TestDraw(t *testing.T) {
	for seed := range uint64(30) {
		s := scenario.Default()
		s.Seed, s.Platform.Destinations = seed, 7
		a, _ := json.Marshal(NewDraw(s))
		b, _ := json.Marshal(NewDraw(s))
		if !bytes.Equal(a, b) {
			t.Fatalf("seed %d: the second draw differs", seed)
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
			t.Errorf("seed %d: shares add up to %.3f, %d of %d destinations accept several messages in a call", seed, sum, many, len(d.Dests))
		}
	}
}

// Guards against a rate limit that allows more calls than specified over any interval, whatever the load.
func TestLimits(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		env := newEnv(t, func(_ *scenario.Scenario, d *Draw) {
			d.Dests[0].Rate, d.Dests[0].Window, d.Dests[0].Spend = uniform(r, 1, 60), 0, r.IntN(2) == 0
			if seed%2 == 0 {
				d.Dests[0].Window = uniform(r, 0.5, 2)
			}
		})
		d := NewPartners(env.Env).dests[0]
		now := time.Now()
		var allowed []time.Time
		calls, refused := 0, 0
		for end := now.Add(20 * time.Second); now.Before(end); calls++ {
			now = now.Add(time.Duration(r.ExpFloat64() / d.Rate / uniform(r, 0.5, 3) * float64(time.Second)))
			wait, ok := d.allow(now)
			if ok {
				allowed = append(allowed, now)
				continue
			}
			refused++
			if wait <= 0 {
				t.Fatalf("seed %d: refused with a wait of %v", seed, wait)
			}
		}
		burst := d.burstCalls() // of a token bucket; with fixed windows, the end of one and the start of the next may both be full
		if d.Window > 0 {
			burst = d.Rate * d.Window
		}
		for i := range allowed {
			for k := i; k < len(allowed); k++ {
				if maxCalls := d.Rate*allowed[k].Sub(allowed[i]).Seconds() + burst + 1; float64(k-i+1) > maxCalls+1e-6 {
					t.Fatalf("seed %d: %d calls within %v of a limit of %.1f/s", seed, k-i+1, allowed[k].Sub(allowed[i]), d.Rate)
				}
			}
		}
		if len(allowed) == 0 || refused == 0 {
			t.Errorf("seed %d: of %d calls %d were allowed and %d refused", seed, calls, len(allowed), refused)
		}
	}
}

// Guards against bodies with several messages that are parsed to something other than was sent, and malformed ones that are
// accepted.
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
		ids, keys, bodies, err := parseFrames([]byte(body))
		got := make([]string, len(ids))
		for i := range ids {
			got[i] = ids[i] + "/" + keys[i] + "/" + string(bodies[i])
		}
		text := strings.Join(got, " ")
		if err != nil {
			text = "error"
		}
		if text != want {
			t.Errorf("%q is parsed as %q, want %q (%v)", body, text, want, err)
		}
	}
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte("a k 5\r\nhello\r\nb - 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		ids, keys, bodies, err := parseFrames(body)
		if err == nil && (len(ids) == 0 || len(ids) != len(keys) || len(ids) != len(bodies)) {
			t.Errorf("%d ids, %d keys, %d bodies", len(ids), len(keys), len(bodies))
		}
	})
}

// Guards against a garbled answer that can be parsed, and one that conveys another status than the one returned with it.
func TestGarble(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	status200Sum := 0
	for i := range 3000 {
		batch := i%2 == 0
		text, status := garbledAnswer(r, batch)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil {
			t.Fatalf("%q can be parsed", text)
		}
		if ok := strings.HasPrefix(text, "HTTP/1.1 200 OK\r\n"); status == 200 != (ok && !batch) || status != 0 && status != 200 {
			t.Fatalf("%q, batch %v, is returned with status %d", text, batch, status)
		}
		status200Sum += status
	}
	if status200Sum == 0 {
		t.Error("no garbled answer conveys status 200")
	}
}
