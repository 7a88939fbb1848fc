// Package standin is a small relay that keeps the rules as long as nobody kills it, or breaks one of them on
// purpose. The lab's own checks are tried on it: each flaw must be caught by the rule that is meant for it.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Flaw is what a stand-in does wrong.
type Flaw string

// The flaws.
const (
	None     Flaw = ""
	Twice    Flaw = "sends while an attempt is out"
	Late     Flaw = "repeats outside the window"
	Waits    Flaw = "ignores waits"
	Drains   Flaw = "goes on sending to endpoints that drain"
	Bans     Flaw = "goes on sending to endpoints that are out by hand"
	Forgets  Flaw = "never ends one message in ten"
	TwoEnds  Flaw = "tells a second end of what was delivered"
	Lies     Flaw = "counts what it did not serve"
	Changes  Flaw = "changes bodies"
	Strays   Flaw = "sends to another destination"
	Endless  Flaw = "has no limit of attempts"
	Dies     Flaw = "ends unasked"
	Invented Flaw = "sends what nobody handed in"
	Patient  Flaw = "waits for ever for what a peer has to say"
	Welcomes Flaw = "takes on what is no message"
)

// Env names the variable that has a stand-in's flaw.
const Env = "LARCHLAB_STANDIN"

type entry struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Cell  int    `json:"cell"`
	State string `json:"state"`
}

type relay struct {
	flaw     Flaw
	listen   string
	admin    string
	platform string
	classes  []string
	window   time.Duration
	most     int

	mu       sync.Mutex
	hosts    map[string]entry
	out      map[string]bool
	waits    map[int]time.Time
	version  int64
	served   atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	attempts atomic.Int64
	open     sync.WaitGroup
	held     atomic.Int64
	calls    *http.Client
	notices  *http.Client
	n        atomic.Int64
}

// Main runs a stand-in until SIGTERM.
func Main(flaw Flaw) error {
	data, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
	if err != nil {
		return err
	}
	var conf struct {
		Listen    string `json:"listen"`
		Admin     string `json:"admin_addr"`
		Discovery string `json:"discovery"`
		Known     struct {
			Version int64   `json:"version"`
			Servers []entry `json:"servers"`
		} `json:"known"`
		Settings struct {
			Bounds struct {
				MaxAttempts int `json:"max-attempts"`
			} `json:"bounds"`
			Classes []struct {
				Name   string  `json:"name"`
				Window float64 `json:"window"`
			} `json:"classes"`
		} `json:"settings"`
	}
	if err := json.Unmarshal(data, &conf); err != nil {
		return err
	}
	r := &relay{flaw: flaw, listen: conf.Listen, admin: conf.Admin, platform: conf.Discovery, most: conf.Settings.Bounds.MaxAttempts,
		window: time.Duration(conf.Settings.Classes[0].Window * float64(time.Second)), hosts: map[string]entry{}, out: map[string]bool{},
		waits: map[int]time.Time{}, calls: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}},
		notices: &http.Client{Timeout: time.Second}}
	for _, k := range conf.Settings.Classes {
		r.classes = append(r.classes, k.Name)
	}
	r.take(conf.Known.Version, true, conf.Known.Servers)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	signal.Ignore(syscall.SIGHUP)
	go r.follow(stop)
	api := http.NewServeMux()
	api.HandleFunc("GET /up", func(http.ResponseWriter, *http.Request) {})
	api.HandleFunc("POST /api", r.serve)
	hand := http.NewServeMux()
	hand.HandleFunc("GET /ready", func(http.ResponseWriter, *http.Request) {})
	hand.HandleFunc("GET /metrics", r.metrics)
	hand.HandleFunc("PUT /endpoints/{what}/{id}", r.byHand)
	for addr, h := range map[string]http.Handler{conf.Listen: api, conf.Admin: hand} {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: h, ReadTimeout: patience}
		if flaw == Patient {
			server.ReadTimeout = 0
		}
		go server.Serve(l)
	}
	if flaw == Dies {
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	}
	<-stop.Done()
	r.open.Wait()
	return nil
}

func (r *relay) take(version int64, full bool, servers []entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full {
		r.hosts = map[string]entry{}
	}
	for _, s := range servers {
		if r.flaw == Drains {
			s.State = "active"
		}
		r.hosts[s.ID] = s
	}
	r.version = version
}

// follow watches the list.
func (r *relay) follow(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		url := fmt.Sprintf("http://%s/discovery/hosts?since=%d&timeout_ms=4000", r.platform, r.version)
		r.mu.Unlock()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var l struct {
			Version int64   `json:"version"`
			Full    bool    `json:"full"`
			Servers []entry `json:"servers"`
		}
		err = json.NewDecoder(resp.Body).Decode(&l)
		resp.Body.Close()
		if err == nil {
			r.take(l.Version, l.Full, l.Servers)
		}
	}
}

func (r *relay) metrics(w http.ResponseWriter, _ *http.Request) {
	served := r.served.Load()
	if r.flaw == Lies {
		served = served*2 + 20
	}
	fmt.Fprintf(w, "svc.requests.order-msg.served=%d\nsvc.requests.order-msg.refused=%d\nsvc.requests.order-msg.failed=%d\nsvc.attempts=%d\nsvc.in_flight=%d\n",
		served, r.refused.Load(), r.failed.Load(), r.attempts.Load(), r.held.Load())
}

func (r *relay) byHand(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.flaw != Bans {
		r.out[req.PathValue("id")] = req.PathValue("what") == "disable"
	}
}

// patience is how long a peer may take to say what it has to.
const patience = 2 * time.Second

// message is one that was taken on.
type message struct {
	id, key string
	dest    int
	body    []byte
	due     time.Time
}

func (r *relay) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, 64<<10))
	ms, err2 := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	text, addressed := strings.CutPrefix(req.Header.Get("X-Addressing"), "dest=")
	dest, err3 := strconv.Atoi(text)
	class := slices.Contains(r.classes, req.Header.Get("X-Class"))
	if r.flaw == Welcomes {
		class = true
	}
	if errors.Join(err, err2, err3) != nil || ms < 0 || req.Header.Get("X-Request-Id") == "" || !addressed || !class {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m := &message{id: req.Header.Get("X-Request-Id"), key: req.Header.Get("Idempotency-Key"), dest: dest, body: body,
		due: time.Now().Add(time.Duration(ms) * time.Millisecond)}
	r.held.Add(1)
	r.open.Add(1)
	n := r.n.Add(1)
	w.WriteHeader(http.StatusAccepted)
	go func() {
		defer r.open.Done()
		defer r.held.Add(-1)
		if r.flaw == Forgets && n%10 == 0 {
			time.Sleep(time.Until(m.due))
			return
		}
		if r.flaw == Invented && n%10 == 0 {
			if _, addr, _ := r.pick(m, ""); addr != "" {
				r.post(context.Background(), &message{id: "invented" + m.id, key: m.key, dest: m.dest, body: m.body, due: m.due}, addr)
			}
		}
		r.deliver(m)
	}()
}

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

func (r *relay) notice(id, status string) {
	for range 20 {
		resp, err := r.notices.Post("http://"+r.platform+"/status", "application/json", strings.NewReader(fmt.Sprintf("{\"id\":%q,\"status\":%q}\n", id, status)))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
