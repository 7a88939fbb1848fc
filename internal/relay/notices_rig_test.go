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
	"testing"
	"testing/synctest"
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
	for dec := json.NewDecoder(bytes.NewReader(body)); ; {
		var n notice
		if dec.Decode(&n) != nil {
			return
		}
		p.taken[n.ID] = append(p.taken[n.ID], time.Since(p.begun))
	}
}

// noticeRig is a relay of which only the loop and the sender of notices run, in a bubble, with stand-ins by address.
type noticeRig struct {
	*Relay
	t         *testing.T
	platforms map[string]*memoryPlatform
}

const (
	firstAddr  = "platform-1:80"
	secondAddr = "platform-2:80"
)

// inNoticeRig runs a test with the first platform in place.
func inNoticeRig(t *testing.T, p *memoryPlatform, test func(*noticeRig)) {
	t.Helper()
	conf, err := readTestConfig(t, testConfig(t, newPlatform(t, at("s-1", "127.0.0.1:1", "taller"))), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	conf.Discovery = firstAddr
	synctest.Test(t, func(t *testing.T) {
		r, err := New(conf)
		if err != nil {
			t.Fatal(err)
		}
		g := &noticeRig{Relay: r, t: t, platforms: map[string]*memoryPlatform{}}
		g.add(firstAddr, p)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(r.loop)
		r.notices = newNoticeSender(r.platformAt, g.dial, r.noticesAccepted)
		running.Go(func() { r.notices.run(ctx) })
		defer func() {
			r.stop()
			cancel()
			running.Wait()
			time.Sleep(time.Minute) // what a stand-in is about to answer has ended, too
			r.tcp.Close()
			r.journal.Close()
		}()
		test(g)
	})
}

// add puts a platform at an address.
func (g *noticeRig) add(addr string, p *memoryPlatform) {
	p.begun, p.taken = time.Now(), map[string][]time.Duration{}
	g.platforms[addr] = p
}

func (g *noticeRig) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	return g.platforms[addr].dial(ctx)
}

// end has messages end undelivered, in one turn of the loop, and waits for that turn.
func (g *noticeRig) end(ids ...string) {
	g.t.Helper()
	done := make(chan struct{})
	g.post(func() {
		for _, id := range ids {
			g.owe(notice{ID: id, Status: undeliverable})
		}
		close(done)
	})
	<-done
}

// left is how many notices are still owed. The loop has to answer at once.
func (g *noticeRig) left() int {
	g.t.Helper()
	count, begun := make(chan int, 1), time.Now()
	g.post(func() { count <- g.owed })
	select {
	case n := <-count:
		if waited := time.Since(begun); waited > 0 {
			g.t.Errorf("the loop stood still for %v", waited)
		}
		return n
	case <-time.After(time.Hour):
		g.t.Error("the loop stands still")
		return -1
	}
}

// takenBy checks that each id was taken by a time, and that nothing is owed soon after.
func (g *noticeRig) takenBy(p *memoryPlatform, by time.Duration, ids ...string) {
	g.t.Helper()
	time.Sleep(by - time.Since(p.begun))
	synctest.Wait()
	p.mu.Lock()
	for _, id := range ids {
		if times := p.taken[id]; len(times) == 0 {
			g.t.Errorf("notice of %.20s not taken after %v", id, by)
			break
		}
	}
	p.mu.Unlock()
	if n := g.left(); n != 0 {
		g.t.Errorf("%d notices owed, want 0", n)
	}
}

// idsOf makes so many ids as they are in service.
func idsOf(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	return ids
}
