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
//	read    reads a request and closes with no answer
//	unread  closes once a request has begun to come, without reading it
type closer struct {
	net.Listener
	mu     sync.Mutex
	script []string
	ids    []string // of the requests that were read
}

func (r *closer) next() (word string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	word = "answer"
	if len(r.script) > 0 {
		word, r.script = r.script[0], r.script[1:]
	}
	return word
}

func (r *closer) run() {
	for {
		conn, err := r.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *closer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		word := r.next()
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
		r.ids = append(r.ids, req.Header.Get("X-Request-Id"))
		r.mu.Unlock()
		if word == "read" {
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
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		relay := &closer{Listener: l, script: strings.Fields(c.script)}
		go relay.run()
		front := NewFront()
		front.Add("relay/0", l.Addr().String())
		front.Use("relay/0", true)
		clients := NewClients(env.Env, front)
		draws := rand.New(rand.NewPCG(1, 1))
		if strings.HasPrefix(c.script, "answer ") { // one before, so that there is a kept connection
			before := clients.draw(draws)
			before.client = 0
			clients.hand(before, "")
			env.all, relay.ids = nil, nil
		}
		m := clients.draw(draws)
		m.client = 0
		clients.hand(m, "")
		clients.Close()
		l.Close()
		unanswered := 0
		for _, e := range env.all {
			if e.Kind == history.Left && e.How == history.Unanswered {
				unanswered++
			}
		}
		if got := env.count(history.Hand); got != c.hands || len(relay.ids) != c.reads || unanswered != c.unanswered || env.count(history.Heard) != 1 {
			t.Errorf("%s: handed in %d times, read %d times, %d times read with no answer, answered %d times; want %d, %d, %d, 1",
				c.script, got, len(relay.ids), unanswered, env.count(history.Heard), c.hands, c.reads, c.unanswered)
		}
	}
}

// Guards against a watch that misses a request which is read only after a while.
func TestReadWatch(t *testing.T) {
	looks := 0
	w := &readWatch{over: make(chan struct{})}
	w.look(func() bool { looks++; return looks == 3 })
	if !w.stop() {
		t.Error("a request that was read at the third look counts as unread")
	}
	w = &readWatch{over: make(chan struct{})}
	if w.stop() {
		t.Error("a request that nobody looked after counts as read")
	}
	w.look(func() bool { t.Error("it looks on after its end"); return true })
}
