// Package standin is a small relay that keeps the rules as long as nobody kills it, or breaks one of them on
// purpose. The lab's own checks are tried on it: each flaw must be caught by the rule that is meant for it.
package standin

import (
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
	if r.flaw == HangsUp && n%10 == 0 {
		r.held.Add(-1)
		r.open.Done()
		panic(http.ErrAbortHandler)
	}
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
