package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/discovery"
	"larchrouter/internal/settings/settingstest"
)

const testSettings = `{"bounds":{"cancel":true,"conn-idle":5,"dial-timeout":1,"max-attempts":6,"max-retry-after":2,"most-held":50},
"classes":[{"aim":2,"effect":"deduplicated","give-up":16,"group":"zone","late-share":0.3,"name":"job-order","window":15,"worth":1},
{"aim":3,"effect":"idempotent","give-up":24,"group":"all","late-share":0.5,"name":"status-update","window":5,"worth":2},
{"aim":4,"effect":"at_most_once","give-up":20,"group":"all","late-share":0.3,"name":"payment","window":5,"worth":5}],
"family-info":{"late":"linear","own-limits":[true,true],"per-call":[5,1],"workers":7,"zone-fee":[0,0.05,0.02]},
"fleet-size":3,"index":0,"load-report":{"columns":[],"how":"off"},"registry-mode":"automatic",
"rules":{"cold":13,"cold-from":0.22,"drain-grace":0.25,"fall":2,"grace-to-answer":0.02,"overload-factor":2},
"skus":["marketplace","customer-system"],"tick":0.005,"weights":"off","zones":["taller","oficinas","almacen"]}`

// fakePlatform stands in for discovery and for the receiver of notices.
type fakePlatform struct {
	*httptest.Server
	mu             sync.Mutex
	list           discovery.List
	changed        chan struct{}
	queries        chan string // raw queries of calls for the list; dropped if the test does not read them
	notices        chan notice
	failingNotices int  // number of POSTs of notices that are still to be answered 500
	refuseLists    bool // answer calls for the list with 503
}

func newFakePlatform(t testing.TB, servers ...discovery.Server) *fakePlatform {
	platform := &fakePlatform{list: discovery.List{Version: 1, Full: true, Servers: servers}, changed: make(chan struct{}), queries: make(chan string, 100),
		notices: make(chan notice, 100)}
	platform.Server = httptest.NewServer(http.HandlerFunc(platform.serve))
	t.Cleanup(platform.CloseClientConnections)
	return platform
}

func (p *fakePlatform) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/status" {
		p.mu.Lock()
		fails := p.failingNotices > 0
		if fails {
			p.failingNotices--
		}
		p.mu.Unlock()
		if fails {
			w.WriteHeader(500)
			return
		}
		for dec := json.NewDecoder(req.Body); ; {
			var queued notice
			if dec.Decode(&queued) != nil {
				break
			}
			p.notices <- queued
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	select {
	case p.queries <- req.URL.RawQuery:
	default:
	}
	p.mu.Lock()
	l, changed, refuse := p.list, p.changed, p.refuseLists
	p.mu.Unlock()
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64); err == nil && since == l.Version {
		select {
		case <-changed:
			p.mu.Lock()
			l = p.list
			p.mu.Unlock()
		case <-req.Context().Done():
			return
		}
	}
	json.NewEncoder(w).Encode(l)
}

func (p *fakePlatform) publish(version int64, full bool, servers ...discovery.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = discovery.List{Version: version, Full: full, Servers: servers}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) addr() string { return p.Listener.Addr().String() }

// receivedCall is one call as a host received it.
type receivedCall struct {
	host, id, key, body string
	receivedAt          time.Time
	answer              chan int // status; for 429 the host adds a Retry-After header
}

// newFakeHost starts a host that passes each call to the test and answers with the status that the test sends. It
// returns the host's address.
func newFakeHost(t *testing.T, name string, calls chan *receivedCall) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		call := &receivedCall{name, req.Header.Get("X-Request-Id"), req.Header.Get("Idempotency-Key"), string(body), time.Now(),
			make(chan int, 1)}
		calls <- call
		select {
		case status := <-call.answer:
			if status == 429 {
				w.Header().Set("Retry-After", "0.3")
			}
			w.WriteHeader(status)
		case <-req.Context().Done():
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

func testConfig(t testing.TB, platform *fakePlatform) []byte {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	known, err := json.Marshal(platform.list)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":%s,"settings":%s}`,
		platform.addr(), known, settingstest.Complete(t, testSettings))
}

func readTestConfig(t testing.TB, data []byte, state string) (Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"BALANCER_CONFIG": path, "BALANCER_STATE": state}
	return ReadConfig(func(name string) string { return env[name] })
}

func startRelay(t testing.TB, platform *fakePlatform, configure func(*Config)) *Relay {
	t.Helper()
	config, err := readTestConfig(t, testConfig(t, platform), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if configure != nil {
		configure(&config)
	}
	relay, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { relay.Serve(); close(done) }()
	t.Cleanup(func() { relay.stop(); <-done })
	return relay
}

// postMessage posts one message to a relay, and returns the status and Retry-After of the answer. more holds further
// headers as names and values in turn.
func postMessage(t *testing.T, addr, id, class string, more ...string) (int, string) {
	t.Helper()
	req, _ := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader("body of "+id))
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Deadline-Ms": "15000",
		"Idempotency-Key": "key-" + id, "X-Addressing": "dest=7"} {
		req.Header.Set(k, v)
	}
	for i := 0; i+1 < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

func receive[T any](t *testing.T, ch chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(30 * time.Second):
		t.Fatalf("no %s within 30 s", what)
		panic("unreachable")
	}
}

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

func testEndpoint(id, addr, zone string) discovery.Server {
	return discovery.Server{ID: id, Addr: addr, Zone: zone, Kind: "customer-system", Cell: 7, State: "active", Weight: 1}
}
