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

// noticeDelayLimit is how late a notice may be accepted in these tests. It is less than the 350 ms that the platform
// allows, since the relay's decisions and the machine take a part of that.
const noticeDelayLimit = 200 * time.Millisecond

// reaction is how a simulated platform handles one POST of notices.
type reaction struct {
	delay  time.Duration
	status int  // 0 stands for 204
	silent bool // never answer
	reset  bool // close the connection instead of answering
}

// memoryPlatform accepts notices over in-memory connections, so that times are exact in a synctest bubble.
type memoryPlatform struct {
	startedAt time.Time
	// react decides on a POST by the number of its connection, by its number on that connection, both from 1, and by
	// its time.
	react func(conn, post int, now time.Duration) reaction
	// dialable reports whether a connection can be established at a time; nil for always.
	dialable func(now time.Duration) bool

	mu            sync.Mutex
	conns         int // connections so far
	openConns     int
	maxOpenConns  int
	posts         int
	longestBody   int                        // in bytes
	acceptedTimes map[string][]time.Duration // when POSTs with an id were answered 2xx
	readTimes     map[string]time.Duration   // when the first POST with an id was read
}

// dial opens a connection. If the platform cannot be reached, dial blocks until the context ends.
func (p *memoryPlatform) dial(ctx context.Context) (net.Conn, error) {
	p.mu.Lock()
	p.conns++
	p.openConns++
	p.maxOpenConns = max(p.maxOpenConns, p.openConns)
	number := p.conns
	p.mu.Unlock()
	if p.dialable != nil && !p.dialable(time.Since(p.startedAt)) {
		<-ctx.Done()
		p.connClosed()
		return nil, ctx.Err()
	}
	relaySide, platformSide := net.Pipe()
	go p.serve(platformSide, number)
	return relaySide, nil
}

// openCount returns how many connections are open or being established.
func (p *memoryPlatform) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// postCount returns how many POSTs were received.
func (p *memoryPlatform) postCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.posts
}

func (p *memoryPlatform) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// serve answers the POSTs on a connection.
func (p *memoryPlatform) serve(conn net.Conn, number int) {
	defer p.connClosed()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for post := 1; ; post++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.posts++
		p.longestBody = max(p.longestBody, len(body))
		for _, id := range noticeIDs(body) {
			if _, ok := p.readTimes[id]; !ok {
				p.readTimes[id] = time.Since(p.startedAt)
			}
		}
		p.mu.Unlock()
		reaction := reaction{}
		if p.react != nil {
			reaction = p.react(number, post, time.Since(p.startedAt))
		}
		time.Sleep(reaction.delay)
		switch {
		case reaction.silent:
			io.Copy(io.Discard, conn)
			return
		case reaction.reset:
			return
		case reaction.status == 0:
			reaction.status = http.StatusNoContent
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", reaction.status); err != nil {
			return
		}
		if reaction.status/100 == 2 {
			p.recordAccepted(body)
		}
	}
}

// recordAccepted records the ids of an accepted body.
func (p *memoryPlatform) recordAccepted(body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range noticeIDs(body) {
		p.acceptedTimes[id] = append(p.acceptedTimes[id], time.Since(p.startedAt))
	}
}

// timesAccepted returns how often notices of a message were answered 2xx.
func (p *memoryPlatform) timesAccepted(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.acceptedTimes[id])
}

// noticeIDs returns the ids of the notices in a body.
func noticeIDs(body []byte) (ids []string) {
	for lines := json.NewDecoder(bytes.NewReader(body)); ; {
		var queued notice
		if lines.Decode(&queued) != nil {
			return ids
		}
		ids = append(ids, queued.ID)
	}
}
