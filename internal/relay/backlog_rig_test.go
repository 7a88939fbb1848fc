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
type recordingEndpoint struct {
	addr        string
	mu          sync.Mutex
	received    []string // ids
	bodies      map[string]string
	inFlight    map[string]int // calls out, by order key: what stands in an id before the dot
	maxInFlight int            // of them at once
	arrived     chan struct{}
	ids         chan string // ids as well, for who reads them one by one
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

// await waits until so many messages came, and returns their ids.
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
			t.Fatalf("%d messages came, want %d", len(received), n)
		}
		select {
		case <-p.arrived:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// once fails if a message came twice, or another than these.
func (p *recordingEndpoint) expectOnce(t *testing.T, ids ...string) {
	t.Helper()
	received := p.awaitMessages(t, len(ids))
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	for _, id := range received {
		if !wanted[id] {
			t.Fatalf("%s came twice, or was not to come; %d came", id, len(received))
		}
		delete(wanted, id)
		if p.bodies[id] != "body of "+id {
			t.Fatalf("%s came with %q", id, p.bodies[id])
		}
	}
}

// cell is an endpoint of a destination, ready or not.
func (p *recordingEndpoint) server(dest int, ready bool) discovery.Server {
	s := at(fmt.Sprint("s-", dest), p.addr, "taller")
	if s.Cell = dest; !ready {
		s.State = "leaving"
	}
	return s
}

// keeping says how a relay with a backlog is started: by default with a window of 8 messages.
type backlogOptions struct {
	state  string
	window state.Load
	wrap   func(store) store
	change func(*Config)
}

func enableBacklog(conf *Config) {
	conf.Backlog, conf.DiskMB = &Backlog{DiskMB: 8}, 12
	conf.Settings.MaxHeld = 1e6
	withAdmin(conf)
}

// newKeeping makes a relay with a backlog; serving starts it.
func newBacklogRelay(t testing.TB, p *platform, options backlogOptions) (*Relay, error) {
	t.Helper()
	if options.state == "" {
		options.state = t.TempDir()
	}
	conf, err := readTestConfig(t, testConfig(t, p), options.state)
	if err != nil {
		t.Fatal(err)
	}
	enableBacklog(&conf)
	if options.change != nil {
		options.change(&conf)
	}
	r, err := New(conf)
	if err == nil && r.overflow != nil {
		r.overflow.window.Total = options.window
		if options.window.N == 0 {
			r.overflow.window.Total = state.Load{N: 8, Bytes: 1 << 20}
		}
		if options.wrap != nil {
			r.overflow.store = options.wrap(r.overflow.store)
		}
	}
	return r, err
}

// serving runs a relay; stop ends it as it is, as a kill does but for open files.
func serveUntilStopped(t testing.TB, r *Relay) (stop func()) {
	done := make(chan struct{})
	go func() { r.Serve(); close(done) }()
	stop = func() { r.stop(); <-done }
	t.Cleanup(stop)
	return stop
}

func startBacklogRelay(t testing.TB, p *platform, options backlogOptions) (*Relay, func()) {
	t.Helper()
	r, err := newBacklogRelay(t, p, options)
	if err != nil {
		t.Fatal(err)
	}
	return r, serveUntilStopped(t, r)
}

// given is what a test hands in.
type testMessage struct {
	id, class, order string
	dest             int
	timeLeft         time.Duration
	body             string
}

// give hands messages in, as many handlers at once would, and returns their answers.
func submit(t testing.TB, r *Relay, messages ...testMessage) []answer {
	t.Helper()
	replies := make([]chan answer, len(messages))
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
		e := &journal.Entry{ID: message.id, Class: message.class, Dest: message.dest, Order: message.order, Key: "key-" + message.id, Body: []byte(message.body), Due: time.Now().Add(message.timeLeft).UnixMilli()}
		terms, err := admit(r.set.Load(), e, r.now())
		if err != nil {
			t.Fatal(err)
		}
		e.Terms, replies[i] = terms, make(chan answer, 1)
		r.post(func() {
			r.take(&intake{entry: e, due: r.now() + message.timeLeft, ctx: context.Background(), reply: replies[i]})
		})
	}
	answers := make([]answer, len(messages))
	for i, reply := range replies {
		select {
		case answers[i] = <-reply:
		case <-time.After(30 * time.Second):
			t.Fatalf("no answer to %s", messages[i].id)
		}
	}
	return answers
}

// promised hands messages in and wants all of them taken on.
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

// ends collects notices until there are so many, and wants them to be of different messages.
func (p *platform) collectNotices(t *testing.T, n int) map[string]string {
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
