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

// recordingEndpoint stands behind all endpoints of a test and records each message that it receives, in order of
// arrival.
type recordingEndpoint struct {
	addr     string
	mu       sync.Mutex
	received []string // message IDs
	bodies   map[string]string
	// inFlight has the number of calls in flight by order key, which is the part of a message's ID before the dot.
	inFlight    map[string]int
	maxInFlight int // of one key at once
	arrived     chan struct{}
	ids         chan string // message IDs, for tests that read them one by one
}

func newRecordingEndpoint(t *testing.T) *recordingEndpoint {
	p := &recordingEndpoint{bodies: map[string]string{}, inFlight: map[string]int{}, arrived: make(chan struct{}, 1), ids: make(chan string, 10000)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		id := req.Header.Get("X-Request-Id")
		key, _, _ := strings.Cut(id, ".")
		p.mu.Lock()
		p.received, p.bodies[id] = append(p.received, id), string(body)
		p.ids <- id
		p.inFlight[key]++
		p.maxInFlight = max(p.maxInFlight, p.inFlight[key])
		p.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		p.mu.Lock()
		p.inFlight[key]--
		p.mu.Unlock()
		select {
		case p.arrived <- struct{}{}:
		default:
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	p.addr = s.Listener.Addr().String()
	return p
}

// awaitMessages waits until n messages have arrived, and returns their IDs.
func (p *recordingEndpoint) awaitMessages(t *testing.T, n int) []string {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; {
		p.mu.Lock()
		received := append([]string(nil), p.received...)
		p.mu.Unlock()
		if len(received) >= n {
			return received
		}
		if time.Now().After(end) {
			t.Fatalf("%d messages arrived, want %d", len(received), n)
		}
		select {
		case <-p.arrived:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// expectOnce fails if a message arrived twice, or if one arrived that is not in ids.
func (p *recordingEndpoint) expectOnce(t *testing.T, ids ...string) {
	t.Helper()
	received := p.awaitMessages(t, len(ids))
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	for _, id := range received {
		if !wanted[id] {
			t.Fatalf("%s arrived twice or unexpectedly; %d arrived", id, len(received))
		}
		delete(wanted, id)
		if p.bodies[id] != "body of "+id {
			t.Fatalf("%s arrived with body %q", id, p.bodies[id])
		}
	}
}

// server returns the endpoint of a destination, ready or not.
func (p *recordingEndpoint) server(dest int, ready bool) discovery.Server {
	s := testEndpoint(fmt.Sprint("s-", dest), p.addr, "taller")
	if s.Cell = dest; !ready {
		s.State = "leaving"
	}
	return s
}

// backlogOptions says how a relay with a backlog is started. The default is a window of 8 messages.
type backlogOptions struct {
	stateDir     string
	window       state.Load
	wrapStore    func(store) store
	changeConfig func(*Config)
}

func enableBacklog(conf *Config) {
	conf.Backlog, conf.DiskMB = &Backlog{DiskMB: 8}, 12
	conf.Settings.MaxPending = 1e6
	withAdminAddr(conf)
}

// newBacklogRelay creates a relay with a backlog; serveUntilStopped starts it.
func newBacklogRelay(t testing.TB, p *fakePlatform, options backlogOptions) (*Relay, error) {
	t.Helper()
	if options.stateDir == "" {
		options.stateDir = t.TempDir()
	}
	conf, err := readTestConfig(t, testConfig(t, p), options.stateDir)
	if err != nil {
		t.Fatal(err)
	}
	enableBacklog(&conf)
	if options.changeConfig != nil {
		options.changeConfig(&conf)
	}
	r, err := New(conf)
	if err == nil && r.overflow != nil {
		r.overflow.window.Capacity = options.window
		if options.window.Messages == 0 {
			r.overflow.window.Capacity = state.Load{Messages: 8, Bytes: 1 << 20}
		}
		if options.wrapStore != nil {
			r.overflow.store = options.wrapStore(r.overflow.store)
		}
	}
	return r, err
}

// serveUntilStopped runs a relay; stop ends it abruptly, as a kill does except for open files.
func serveUntilStopped(t testing.TB, r *Relay) (stop func()) {
	done := make(chan struct{})
	go func() { r.Serve(); close(done) }()
	stop = func() { r.stop(); <-done }
	t.Cleanup(stop)
	return stop
}

func startBacklogRelay(t testing.TB, p *fakePlatform, options backlogOptions) (*Relay, func()) {
	t.Helper()
	r, err := newBacklogRelay(t, p, options)
	if err != nil {
		t.Fatal(err)
	}
	return r, serveUntilStopped(t, r)
}

// testMessage is a message that a test submits.
type testMessage struct {
	id, class, order string
	dest             int
	timeLeft         time.Duration
	body             string
}

// submit submits messages as concurrent handlers would, and returns their answers.
func submit(t testing.TB, r *Relay, messages ...testMessage) []apiResponse {
	t.Helper()
	replies := make([]chan apiResponse, len(messages))
	for i, message := range messages {
		if message.class == "" {
			message.class = "status-update"
		}
		if message.timeLeft == 0 {
			message.timeLeft = time.Minute
		}
		if message.body == "" {
			message.body = "body of " + message.id
		}
		e := &journal.Entry{ID: message.id, Class: message.class, Dest: message.dest, OrderKey: message.order, Key: "key-" + message.id, Body: []byte(message.body), Due: time.Now().Add(message.timeLeft).UnixMilli()}
		terms, err := messageTerms(r.settings.Load(), e, r.now())
		if err != nil {
			t.Fatal(err)
		}
		e.Terms, replies[i] = terms, make(chan apiResponse, 1)
		r.post(func() {
			r.submit(&apiRequest{entry: e, due: r.now() + message.timeLeft, ctx: context.Background(), reply: replies[i]})
		})
	}
	answers := make([]apiResponse, len(messages))
	for i, reply := range replies {
		select {
		case answers[i] = <-reply:
		case <-time.After(30 * time.Second):
			t.Fatalf("no answer to %s", messages[i].id)
		}
	}
	return answers
}

// submitAccepted submits messages and fails unless all are accepted.
func submitAccepted(t testing.TB, r *Relay, messages ...testMessage) (ids []string) {
	t.Helper()
	for i, a := range submit(t, r, messages...) {
		if a.status != 202 {
			t.Fatalf("%s is answered %d %s, want 202", messages[i].id, a.status, a.text)
		}
		ids = append(ids, messages[i].id)
	}
	return ids
}

func numberedMessages(n, dest int, name string, template testMessage) (messages []testMessage) {
	for i := range n {
		template.id, template.dest = fmt.Sprintf("%s.%d", name, i), dest
		messages = append(messages, template)
	}
	return messages
}

// collectNotices returns the statuses of n notices by message ID, and fails if two are of the same message.
func (p *fakePlatform) collectNotices(t *testing.T, n int) map[string]string {
	t.Helper()
	ends := map[string]string{}
	for len(ends) < n {
		v := receive(t, p.notices, "notice")
		if ends[v.ID] != "" {
			t.Fatalf("%s ended twice", v.ID)
		}
		ends[v.ID] = v.Status
	}
	return ends
}
