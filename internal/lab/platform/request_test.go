package platform

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// scriptedRelay is a relay that closes connections on purpose. Each word of its script says what happens next on a connection:
//
//	answer  reads a request, answers it and continues with the next word on the same connection
//	last    reads a request, answers it with "Connection: close", and closes the connection
//	read    reads a request and closes the connection without an answer
//	unread  closes the connection once a request has begun to arrive, without reading it
type scriptedRelay struct {
	net.Listener
	mu      sync.Mutex
	script  []string
	readIDs []string // ids of the requests that were read
}

// newScriptedRelay starts a relay with a script, and returns it with a pool that contains it.
func newScriptedRelay(t *testing.T, script string) (*scriptedRelay, *RelayPool) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &scriptedRelay{Listener: l, script: strings.Fields(script)}
	go relay.run()
	pool := NewRelayPool()
	pool.Add("relay/0", l.Addr().String())
	pool.SetUsable("relay/0", true)
	return relay, pool
}

// unanswered returns the number of requests that were read and got no answer.
func (r *recordedEnv) unanswered() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Kind == history.ClientLeft && e.Detail == history.Unanswered {
			n++
		}
	}
	return n
}

func (r *scriptedRelay) nextStep() (step string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step = "answer"
	if len(r.script) > 0 {
		step, r.script = r.script[0], r.script[1:]
	}
	return step
}

func (r *scriptedRelay) run() {
	for {
		conn, err := r.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *scriptedRelay) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		step := r.nextStep()
		if step == "unread" {
			io.ReadFull(conn, make([]byte, 1))
			return
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		r.mu.Lock()
		r.readIDs = append(r.readIDs, req.Header.Get("X-Request-Id"))
		r.mu.Unlock()
		if step == "read" {
			return
		}
		if step == "last" {
			io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against a client that does not report a relay which read its request and closed the connection without an answer, and
// against one that reports a relay which had not read it. An unread request must be sent again under the same id.
func TestClosedRequests(t *testing.T) {
	for _, c := range []struct {
		script      string
		submissions int // submissions of one message, each with its own id
		reads       int
		unanswered  int
	}{
		{"answer", 1, 1, 0},
		{"unread answer", 1, 1, 0},        // the first request on a new connection
		{"answer unread answer", 1, 1, 0}, // the second request on a persistent connection
		{"read answer", 2, 2, 1},
		{"answer read answer", 2, 2, 1},
		{"unread read answer", 2, 2, 1}, // sent again, and then read
		{"unread unread answer", 2, 1, 0},
		{"read read answer", 3, 3, 2},
	} {
		env := newEnv(t, func(*scenario.Scenario, *Draw) {})
		relay, pool := newScriptedRelay(t, c.script)
		clients := NewClients(env.Env, pool)
		draws := rand.New(rand.NewPCG(1, 1))
		if strings.HasPrefix(c.script, "answer ") { // a message before, so that there is an idle connection
			before := clients.newMessage(draws)
			before.client = 0
			clients.submit(before, "")
			env.events, relay.readIDs = nil, nil
		}
		m := clients.newMessage(draws)
		m.client = 0
		clients.submit(m, "")
		clients.Close()
		relay.Close()
		unanswered := env.unanswered()
		if got := env.count(history.RequestSent); got != c.submissions || len(relay.readIDs) != c.reads || unanswered != c.unanswered || env.count(history.AnswerReceived) != 1 {
			t.Errorf("%s: submitted %d times, read %d times, %d times read without an answer, answered %d times; want %d, %d, %d, 1",
				c.script, got, len(relay.readIDs), unanswered, env.count(history.AnswerReceived), c.submissions, c.reads, c.unanswered)
		}
	}
}

// Guards against pipelined requests of which one is submitted too often, or whose missing answer is reported wrongly.
func TestPipelinedRequests(t *testing.T) {
	for _, c := range []struct {
		script      string
		submissions int // submissions of both messages, each with its own id
		unanswered  int
	}{
		{"answer answer", 2, 0},
		{"unread answer answer", 2, 0},
		{"last answer", 3, 1}, // the second was read with the first, whose answer announces the end of the connection
		{"answer read answer", 3, 1},
		{"read answer answer", 4, 2}, // both were read
	} {
		env := newEnv(t, func(*scenario.Scenario, *Draw) {})
		relay, pool := newScriptedRelay(t, c.script)
		clients := NewClients(env.Env, pool)
		draws := rand.New(rand.NewPCG(1, 1))
		clients.submitPipelined(clients.newMessage(draws), clients.newMessage(draws))
		clients.inProgress.Wait()
		clients.Close()
		relay.Close()
		if got, unanswered := env.count(history.RequestSent), env.unanswered(); got != c.submissions || unanswered != c.unanswered || env.count(history.AnswerReceived) != 2 {
			t.Errorf("%s: submitted %d times, %d times read without an answer, answered %d times; want %d, %d, 2", c.script, got, unanswered, env.count(history.AnswerReceived), c.submissions, c.unanswered)
		}
	}
}

// Guards against a client that closes its sending side and then does not receive its answer, or uses the connection again.
func TestHalfClosedRequests(t *testing.T) {
	env := newEnv(t, func(*scenario.Scenario, *Draw) {})
	relay, pool := newScriptedRelay(t, "answer answer")
	clients := NewClients(env.Env, pool)
	draws := rand.New(rand.NewPCG(1, 1))
	for range 2 {
		m := clients.newMessage(draws)
		m.client, m.halfClosed = 0, true
		clients.submit(m, "")
	}
	relay.Close()
	if env.count(history.RequestSent) != 2 || env.count(history.AnswerReceived) != 2 || len(clients.idle) != 0 {
		t.Errorf("submitted %d times, answered %d times, %d idle connections; want 2, 2, 0", env.count(history.RequestSent), env.count(history.AnswerReceived), len(clients.idle))
	}
}

// Guards against a watch that misses a request which is read only after several polls, or that polls after its end.
func TestReadWatch(t *testing.T) {
	polls := 0
	w := &readWatch{stopped: make(chan struct{})}
	w.poll(func() bool { polls++; return polls == 3 })
	if !w.stop() {
		t.Error("a request that was read by the third poll counts as unread")
	}
	w = &readWatch{stopped: make(chan struct{})}
	if w.stop() {
		t.Error("a request that was never polled counts as read")
	}
	w.poll(func() bool { t.Error("the watch polls after its end"); return true })
}
