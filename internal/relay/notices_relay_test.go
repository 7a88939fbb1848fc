package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

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
		r.notices = newNoticeSender(r.platformAt, g.dial, r.noticesSending, r.noticesAccepted)
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
	p.begun, p.taken, p.read = time.Now(), map[string][]time.Duration{}, map[string]time.Duration{}
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
			g.queueNotice(notice{ID: id, Status: undeliverable})
		}
		close(done)
	})
	<-done
}

// left is how many notices are still owed. The loop has to answer at once.
func (g *noticeRig) left() int {
	g.t.Helper()
	count, begun := make(chan int, 1), time.Now()
	g.post(func() { count <- g.pendingNotices })
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
