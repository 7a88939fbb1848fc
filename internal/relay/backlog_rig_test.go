package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/backlog/state"
	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
)

// partners stand behind all endpoints of a test. They note each message that they get, in the order in which it came.
type partners struct {
	addr string
	mu   sync.Mutex
	got  []string // ids
	body map[string]string
	out  map[string]int // calls out, by order key: what stands in an id before the dot
	most int            // of them at once
	news chan struct{}
	each chan string // ids as well, for who reads them one by one
}

func newPartners(t *testing.T) *partners {
	p := &partners{body: map[string]string{}, out: map[string]int{}, news: make(chan struct{}, 1), each: make(chan string, 10000)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		id := req.Header.Get("X-Request-Id")
		key, _, _ := strings.Cut(id, ".")
		p.mu.Lock()
		p.got, p.body[id] = append(p.got, id), string(body)
		p.each <- id
		p.out[key]++
		p.most = max(p.most, p.out[key])
		p.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		p.mu.Lock()
		p.out[key]--
		p.mu.Unlock()
		select {
		case p.news <- struct{}{}:
		default:
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	p.addr = s.Listener.Addr().String()
	return p
}

// await waits until so many messages came, and returns their ids.
func (p *partners) await(t *testing.T, n int) []string {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; {
		p.mu.Lock()
		got := append([]string(nil), p.got...)
		p.mu.Unlock()
		if len(got) >= n {
			return got
		}
		if time.Now().After(end) {
			t.Fatalf("%d messages came, want %d", len(got), n)
		}
		select {
		case <-p.news:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// once fails if a message came twice, or another than these.
func (p *partners) once(t *testing.T, ids ...string) {
	t.Helper()
	got := p.await(t, len(ids))
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	for _, id := range got {
		if !wanted[id] {
			t.Fatalf("%s came twice, or was not to come; %d came", id, len(got))
		}
		delete(wanted, id)
		if p.body[id] != "body of "+id {
			t.Fatalf("%s came with %q", id, p.body[id])
		}
	}
}

// cell is an endpoint of a destination, ready or not.
func (p *partners) cell(dest int, ready bool) discovery.Server {
	s := at(fmt.Sprint("s-", dest), p.addr, "taller")
	if s.Cell = dest; !ready {
		s.State = "leaving"
	}
	return s
}

// keeping says how a relay with a backlog is started: by default with a window of 8 messages.
type keeping struct {
	state  string
	window state.Load
	wrap   func(store) store
	change func(*Config)
}

func keep(conf *Config) {
	conf.Backlog, conf.DiskMB = &Backlog{DiskMB: 8}, 12
	conf.Settings.MaxHeld = 1e6
	withAdmin(conf)
}

// newKeeping makes a relay with a backlog; serving starts it.
func newKeeping(t testing.TB, p *platform, k keeping) (*Relay, error) {
	t.Helper()
	if k.state == "" {
		k.state = t.TempDir()
	}
	conf, err := readTestConfig(t, testConfig(t, p), k.state)
	if err != nil {
		t.Fatal(err)
	}
	keep(&conf)
	if k.change != nil {
		k.change(&conf)
	}
	r, err := New(conf)
	if err == nil && r.overflow != nil {
		r.overflow.window.Capacity = k.window
		if k.window.Messages == 0 {
			r.overflow.window.Capacity = state.Load{Messages: 8, Bytes: 1 << 20}
		}
		if k.wrap != nil {
			r.overflow.store = k.wrap(r.overflow.store)
		}
	}
	return r, err
}

// serving runs a relay; stop ends it as it is, as a kill does but for open files.
func serving(t testing.TB, r *Relay) (stop func()) {
	done := make(chan struct{})
	go func() { r.Serve(); close(done) }()
	stop = func() { r.stop(); <-done }
	t.Cleanup(stop)
	return stop
}

func startKeeping(t testing.TB, p *platform, k keeping) (*Relay, func()) {
	t.Helper()
	r, err := newKeeping(t, p, k)
	if err != nil {
		t.Fatal(err)
	}
	return r, serving(t, r)
}

// given is what a test hands in.
type given struct {
	id, class, order string
	dest             int
	left             time.Duration
	body             string
}

// give hands messages in, as many handlers at once would, and returns their answers.
func give(t testing.TB, r *Relay, all ...given) []answer {
	t.Helper()
	replies := make([]chan answer, len(all))
	for i, g := range all {
		if g.class == "" {
			g.class = "status-update"
		}
		if g.left == 0 {
			g.left = time.Minute
		}
		if g.body == "" {
			g.body = "body of " + g.id
		}
		e := &journal.Entry{ID: g.id, Class: g.class, Dest: g.dest, OrderKey: g.order, Key: "key-" + g.id, Body: []byte(g.body), Due: time.Now().Add(g.left).UnixMilli()}
		terms, err := admit(r.set.Load(), e, r.now())
		if err != nil {
			t.Fatal(err)
		}
		e.Terms, replies[i] = terms, make(chan answer, 1)
		r.post(func() { r.take(&intake{entry: e, due: r.now() + g.left, ctx: context.Background(), reply: replies[i]}) })
	}
	answers := make([]answer, len(all))
	for i, reply := range replies {
		select {
		case answers[i] = <-reply:
		case <-time.After(30 * time.Second):
			t.Fatalf("no answer to %s", all[i].id)
		}
	}
	return answers
}

// promised hands messages in and wants all of them taken on.
func promised(t testing.TB, r *Relay, all ...given) (ids []string) {
	t.Helper()
	for i, a := range give(t, r, all...) {
		if a.status != 202 {
			t.Fatalf("%s is answered %d %s, want 202", all[i].id, a.status, a.text)
		}
		ids = append(ids, all[i].id)
	}
	return ids
}

func many(n, dest int, name string, of given) (all []given) {
	for i := range n {
		of.id, of.dest = fmt.Sprintf("%s.%d", name, i), dest
		all = append(all, of)
	}
	return all
}

// ends collects notices until there are so many, and wants them to be of different messages.
func (p *platform) ends(t *testing.T, n int) map[string]string {
	t.Helper()
	ends := map[string]string{}
	for len(ends) < n {
		v := wait(t, p.notices, "notice")
		if ends[v.ID] != "" {
			t.Fatalf("%s ended twice", v.ID)
		}
		ends[v.ID] = v.Status
	}
	return ends
}
