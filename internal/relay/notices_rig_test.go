package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// noticeLimit is how late a notice may be taken in these tests: less than the 350 ms of the rules, which the relay's
// decisions and the machine have their part of, too.
const noticeLimit = 200 * time.Millisecond

// reaction is what a stand-in for the platform does with one POST of notices.
type reaction struct {
	after  time.Duration
	status int  // 0 for 204
	silent bool // it never answers
	reset  bool // it ends the connection instead of answering
}

// memoryPlatform takes notices over connections in memory, so that time is exact in a test that runs in a bubble.
type memoryPlatform struct {
	begun time.Time
	// react decides on a POST by the number of its connection and by its number on that, both from 1, and its time.
	react func(conn, post int, now time.Duration) reaction
	// dialable tells whether a connection comes up at a time; nil for always.
	dialable func(now time.Duration) bool

	mu       sync.Mutex
	conns    int // so far
	open     int
	mostOpen int
	posts    int
	longest  int                        // body
	taken    map[string][]time.Duration // when the POSTs with an id were answered 2xx
	read     map[string]time.Duration   // when the first POST with an id was read
}

// dial opens a connection; what cannot be reached says nothing.
func (p *memoryPlatform) dial(ctx context.Context) (net.Conn, error) {
	p.mu.Lock()
	p.conns++
	p.open++
	p.mostOpen = max(p.mostOpen, p.open)
	number := p.conns
	p.mu.Unlock()
	if p.dialable != nil && !p.dialable(time.Since(p.begun)) {
		<-ctx.Done()
		p.closed()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go p.serve(far, number)
	return near, nil
}

// openNow is how many connections are open or on their way.
func (p *memoryPlatform) openNow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// posted is how many POSTs came.
func (p *memoryPlatform) posted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.posts
}

func (p *memoryPlatform) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// serve answers what comes on a connection.
func (p *memoryPlatform) serve(conn net.Conn, number int) {
	defer p.closed()
	defer conn.Close()
	in := bufio.NewReader(conn)
	for post := 1; ; post++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.posts++
		p.longest = max(p.longest, len(body))
		for _, id := range idsIn(body) {
			if _, ok := p.read[id]; !ok {
				p.read[id] = time.Since(p.begun)
			}
		}
		p.mu.Unlock()
		act := reaction{}
		if p.react != nil {
			act = p.react(number, post, time.Since(p.begun))
		}
		time.Sleep(act.after)
		switch {
		case act.silent:
			io.Copy(io.Discard, conn)
			return
		case act.reset:
			return
		case act.status == 0:
			act.status = http.StatusNoContent
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", act.status); err != nil {
			return
		}
		if act.status/100 == 2 {
			p.take(body)
		}
	}
}

// take notes the ids of a body.
func (p *memoryPlatform) take(body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range idsIn(body) {
		p.taken[id] = append(p.taken[id], time.Since(p.begun))
	}
}

// timesTaken is how often notices of a message were answered 2xx.
func (p *memoryPlatform) timesTaken(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.taken[id])
}

// idsIn are the ids of the notices in a body.
func idsIn(body []byte) (ids []string) {
	for lines := json.NewDecoder(bytes.NewReader(body)); ; {
		var n notice
		if lines.Decode(&n) != nil {
			return ids
		}
		ids = append(ids, n.ID)
	}
}
