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

// noticeRig is a relay of which only the loop and the sender of notices run, in a synctest bubble, with simulated
// platforms by address.
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
func inNoticeRig(t *testing.T, platform *memoryPlatform, test func(*noticeRig)) {
	t.Helper()
	config, err := readTestConfig(t, testConfig(t, newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller"))), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	config.Discovery = firstAddr
	synctest.Test(t, func(t *testing.T) {
		relay, err := New(config)
		if err != nil {
			t.Fatal(err)
		}
		rig := &noticeRig{Relay: relay, t: t, platforms: map[string]*memoryPlatform{}}
		rig.add(firstAddr, platform)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(relay.loop)
		relay.notices = newNoticeSender(relay.platformAddr, rig.dial, relay.noticesSending, relay.noticesAccepted)
		running.Go(func() { relay.notices.run(ctx) })
		defer func() {
			relay.stop()
			cancel()
			running.Wait()
			time.Sleep(time.Minute) // pending answers of a platform have ended by then, too
			relay.tcpListener.Close()
			relay.journal.Close()
		}()
		test(rig)
	})
}

// add puts a platform at an address.
func (g *noticeRig) add(addr string, p *memoryPlatform) {
	p.startedAt, p.acceptedTimes, p.readTimes = time.Now(), map[string][]time.Duration{}, map[string]time.Duration{}
	g.platforms[addr] = p
}

func (g *noticeRig) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	return g.platforms[addr].dial(ctx)
}

// end ends messages undelivered, in one turn of the loop, and waits for that turn.
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

// undeliveredNotices returns the number of pending notices. The loop must answer at once.
func (g *noticeRig) undeliveredNotices() int {
	g.t.Helper()
	count, startedAt := make(chan int, 1), time.Now()
	g.post(func() { count <- g.pendingNotices })
	select {
	case n := <-count:
		if waited := time.Since(startedAt); waited > 0 {
			g.t.Errorf("the loop was blocked for %v", waited)
		}
		return n
	case <-time.After(time.Hour):
		g.t.Error("the loop is blocked")
		return -1
	}
}

// wantAcceptedBy checks that the notice of each id was accepted by a time since the platform's start, and that no
// notice is pending then.
func (g *noticeRig) wantAcceptedBy(platform *memoryPlatform, limit time.Duration, ids ...string) {
	g.t.Helper()
	time.Sleep(limit - time.Since(platform.startedAt))
	synctest.Wait()
	platform.mu.Lock()
	for _, id := range ids {
		if times := platform.acceptedTimes[id]; len(times) == 0 {
			g.t.Errorf("notice of %.20s not accepted after %v", id, limit)
			break
		}
	}
	platform.mu.Unlock()
	if n := g.undeliveredNotices(); n != 0 {
		g.t.Errorf("%d pending notices, want 0", n)
	}
}

// makeIDs returns n ids of the length that is used in production.
func makeIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	return ids
}
