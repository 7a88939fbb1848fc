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

// closer is a relay that ends connections on purpose: what happens on each is said by a word of its script.
//
//	answer  reads a request, answers it and goes on with the next word on the same connection
//	last    reads a request, answers that it ends the connection, and does
//	read    reads a request and closes with no answer
//	unread  closes once a request has begun to come, without reading it
type scriptedRelay struct {
	net.Listener
	mu      sync.Mutex
	script  []string
	readIDs []string // of the requests that were read
}

// newCloser starts a relay with a script, and a front that knows it.
func newScriptedRelay(t *testing.T, script string) (*scriptedRelay, *RelayPool) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &scriptedRelay{Listener: l, script: strings.Fields(script)}
	go relay.run()
	front := NewRelayPool()
	front.Add("relay/0", l.Addr().String())
	front.SetUsable("relay/0", true)
	return relay, front
}

// unanswered is how many requests were read and got no answer.
func (r *recordedEnv) unanswered() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Kind == history.Left && e.How == history.Unanswered {
			n++
		}
	}
	return n
}

func (r *scriptedRelay) nextStep() (word string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	word = "answer"
	if len(r.script) > 0 {
		word, r.script = r.script[0], r.script[1:]
	}
	return word
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
		word := r.nextStep()
		if word == "unread" {
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
		if word == "read" {
			return
		}
		if word == "last" {
			io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against a client that forgives a relay which read its request and closed, and against one that blames a relay which
// had not read it: such a request is sent anew under its own id.
func TestClosedRequests(t *testing.T) {
	for _, c := range []struct {
		script     string
		hands      int // ids for one message
		reads      int
		unanswered int
	}{
		{"answer", 1, 1, 0},
		{"unread answer", 1, 1, 0},        // the first on a new connection
		{"answer unread answer", 1, 1, 0}, // the second on a kept one
		{"read answer", 2, 2, 1},
		{"answer read answer", 2, 2, 1},
		{"unread read answer", 2, 2, 1}, // anew, and then it was read
		{"unread unread answer", 2, 1, 0},
		{"read read answer", 3, 3, 2},
	} {
		env := newEnv(t, func(*scenario.Scenario, *Draw) {})
		relay, front := newScriptedRelay(t, c.script)
		clients := NewClients(env.Env, front)
		draws := rand.New(rand.NewPCG(1, 1))
		if strings.HasPrefix(c.script, "answer ") { // one before, so that there is a kept connection
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
		if got := env.count(history.Hand); got != c.hands || len(relay.readIDs) != c.reads || unanswered != c.unanswered || env.count(history.Heard) != 1 {
			t.Errorf("%s: handed in %d times, read %d times, %d times read with no answer, answered %d times; want %d, %d, %d, 1",
				c.script, got, len(relay.readIDs), unanswered, env.count(history.Heard), c.hands, c.reads, c.unanswered)
		}
	}
}

// Guards against two requests on one connection of which one is handed in too often, forgiven or blamed.
func TestPipelinedRequests(t *testing.T) {
	for _, c := range []struct {
		script     string
		hands      int // ids for both messages
		unanswered int
	}{
		{"answer answer", 2, 0},
		{"unread answer answer", 2, 0},
		{"last answer", 3, 1}, // the second was read with the first, whose answer says that it ends the connection
		{"answer read answer", 3, 1},
		{"read answer answer", 4, 2}, // both were read
	} {
		env := newEnv(t, func(*scenario.Scenario, *Draw) {})
		relay, front := newScriptedRelay(t, c.script)
		clients := NewClients(env.Env, front)
		draws := rand.New(rand.NewPCG(1, 1))
		clients.submitPipelined(clients.newMessage(draws), clients.newMessage(draws))
		clients.inProgress.Wait()
		clients.Close()
		relay.Close()
		if got, lost := env.count(history.Hand), env.unanswered(); got != c.hands || lost != c.unanswered || env.count(history.Heard) != 2 {
			t.Errorf("%s: handed in %d times, %d times read with no answer, answered %d times; want %d, %d, 2", c.script, got, lost, env.count(history.Heard), c.hands, c.unanswered)
		}
	}
}

// Guards against a client that ends its sending and does not hear its answer, or uses the connection again.
func TestHalfClosedRequests(t *testing.T) {
	env := newEnv(t, func(*scenario.Scenario, *Draw) {})
	relay, front := newScriptedRelay(t, "answer answer")
	clients := NewClients(env.Env, front)
	draws := rand.New(rand.NewPCG(1, 1))
	for range 2 {
		m := clients.newMessage(draws)
		m.client, m.halfClosed = 0, true
		clients.submit(m, "")
	}
	relay.Close()
	if env.count(history.Hand) != 2 || env.count(history.Heard) != 2 || len(clients.idle) != 0 {
		t.Errorf("handed in %d times, answered %d times, %d kept; want 2, 2, 0", env.count(history.Hand), env.count(history.Heard), len(clients.idle))
	}
}

// Guards against a watch that misses a request which is read only after a while.
func TestReadWatch(t *testing.T) {
	polls := 0
	w := &readWatch{stopped: make(chan struct{})}
	w.poll(func() bool { polls++; return polls == 3 })
	if !w.stop() {
		t.Error("a request that was read at the third look counts as unread")
	}
	w = &readWatch{stopped: make(chan struct{})}
	if w.stop() {
		t.Error("a request that nobody looked after counts as read")
	}
	w.poll(func() bool { t.Error("it looks on after its end"); return true })
}
