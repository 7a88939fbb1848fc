// Package standin is a minimal relay that obeys the rules as long as it is not killed, or breaks one of them on
// purpose. It tests the checks of the lab: each flaw must be detected by the rule that covers it.
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
	flaw         Flaw
	listenAddr   string
	adminAddr    string
	platformAddr string
	classes      []string
	window       time.Duration
	maxAttempts  int

	mu           sync.Mutex
	hosts        map[string]entry
	disabled     map[string]bool
	waitUntil    map[int]time.Time
	version      int64
	served       atomic.Int64
	refused      atomic.Int64
	failed       atomic.Int64
	attempts     atomic.Int64
	inProgress   sync.WaitGroup
	pending      atomic.Int64
	callClient   *http.Client
	noticeClient *http.Client
	received     atomic.Int64
}

// Main runs a stand-in with a flaw until SIGTERM, and then until its messages have ended. The configuration is in the file that
// BALANCER_CONFIG names. It returns an error if the configuration cannot be read or an address cannot be listened on.
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
	r := &relay{flaw: flaw, listenAddr: conf.Listen, adminAddr: conf.Admin, platformAddr: conf.Discovery, maxAttempts: conf.Settings.Bounds.MaxAttempts,
		window: time.Duration(conf.Settings.Classes[0].Window * float64(time.Second)), hosts: map[string]entry{}, disabled: map[string]bool{},
		waitUntil: map[int]time.Time{}, callClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}},
		noticeClient: &http.Client{Timeout: time.Second}}
	for _, k := range conf.Settings.Classes {
		r.classes = append(r.classes, k.Name)
	}
	r.applyList(conf.Known.Version, true, conf.Known.Servers)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	signal.Ignore(syscall.SIGHUP)
	go r.watchList(stop)
	api := http.NewServeMux()
	api.HandleFunc("GET /up", func(http.ResponseWriter, *http.Request) {})
	api.HandleFunc("POST /api", r.serve)
	adminMux := http.NewServeMux()
	adminMux.HandleFunc("GET /ready", func(http.ResponseWriter, *http.Request) {})
	adminMux.HandleFunc("GET /metrics", r.metrics)
	adminMux.HandleFunc("PUT /endpoints/{what}/{id}", r.setDisabled)
	for addr, h := range map[string]http.Handler{conf.Listen: api, conf.Admin: adminMux} {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: h, ReadTimeout: readTimeout}
		if flaw == NoReadTimeout {
			server.ReadTimeout = 0
		}
		go server.Serve(l)
	}
	if flaw == ExitsUnasked {
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	}
	<-stop.Done()
	r.inProgress.Wait()
	return nil
}

func (r *relay) applyList(version int64, full bool, servers []entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if full {
		r.hosts = map[string]entry{}
	}
	for _, s := range servers {
		if r.flaw == SendsToDraining {
			s.State = "active"
		}
		r.hosts[s.ID] = s
	}
	r.version = version
}

// watchList watches the list of endpoints until the context ends.
func (r *relay) watchList(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		url := fmt.Sprintf("http://%s/discovery/hosts?since=%d&timeout_ms=4000", r.platformAddr, r.version)
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
			r.applyList(l.Version, l.Full, l.Servers)
		}
	}
}

func (r *relay) metrics(w http.ResponseWriter, _ *http.Request) {
	served := r.served.Load()
	if r.flaw == MiscountsServed {
		served = served*2 + 20
	}
	fmt.Fprintf(w, "svc.requests.order-msg.served=%d\nsvc.requests.order-msg.refused=%d\nsvc.requests.order-msg.failed=%d\nsvc.attempts=%d\nsvc.in_flight=%d\n",
		served, r.refused.Load(), r.failed.Load(), r.attempts.Load(), r.pending.Load())
}

func (r *relay) setDisabled(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.flaw != SendsToDisabled {
		r.disabled[req.PathValue("id")] = req.PathValue("what") == "disable"
	}
}

// readTimeout is the time within which a peer must have sent its request.
const readTimeout = 2 * time.Second

// message is an accepted message.
type message struct {
	id, key  string
	dest     int
	body     []byte
	deadline time.Time
}

func (r *relay) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, 64<<10))
	ms, deadlineErr := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	text, addressed := strings.CutPrefix(req.Header.Get("X-Addressing"), "dest=")
	dest, destErr := strconv.Atoi(text)
	classKnown := slices.Contains(r.classes, req.Header.Get("X-Class"))
	if r.flaw == AcceptsInvalid {
		classKnown = true
	}
	if errors.Join(err, deadlineErr, destErr) != nil || ms < 0 || req.Header.Get("X-Request-Id") == "" || !addressed || !classKnown {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m := &message{id: req.Header.Get("X-Request-Id"), key: req.Header.Get("Idempotency-Key"), dest: dest, body: body,
		deadline: time.Now().Add(time.Duration(ms) * time.Millisecond)}
	r.pending.Add(1)
	r.inProgress.Add(1)
	number := r.received.Add(1)
	if r.flaw == ClosesAfterReading && number%10 == 0 {
		r.pending.Add(-1)
		r.inProgress.Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
	go func() {
		defer r.inProgress.Done()
		defer r.pending.Add(-1)
		if r.flaw == LosesMessages && number%10 == 0 {
			time.Sleep(time.Until(m.deadline))
			return
		}
		if r.flaw == InventsMessages && number%10 == 0 {
			if _, addr, _ := r.pickEndpoint(m, ""); addr != "" {
				r.post(context.Background(), &message{id: "invented" + m.id, key: m.key, dest: m.dest, body: m.body, deadline: m.deadline}, addr)
			}
		}
		r.deliver(m)
	}()
}
