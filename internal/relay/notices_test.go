package relay

import (
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/fleet"
)

// Guards against a notice, and all behind it, that wait for one connection or one answer.
func TestNoticesDoNotWaitForOneAnswer(t *testing.T) {
	const from = 100 * time.Millisecond // the second POST; the first left a kept connection
	for name, act := range map[string]reaction{
		"kept connection is silent":       {silent: true},
		"kept connection is reset":        {reset: true},
		"one answer comes late":           {after: 900 * time.Millisecond},
		"one answer is an error":          {status: http.StatusInternalServerError},
		"one answer is an error and late": {after: 120 * time.Millisecond, status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			p := &memoryPlatform{react: func(conn, post int, _ time.Duration) reaction {
				if conn == 1 && post > 1 {
					return act
				}
				return reaction{}
			}}
			inNoticeRig(t, p, func(g *noticeRig) {
				g.end("first")
				time.Sleep(from)
				g.end("second")
				time.Sleep(time.Millisecond)
				g.end("behind")
				g.takenBy(p, from+noticeLimit, "first", "second", "behind")
			})
		})
	}
}

// endApart has messages end undelivered one after the other, so long apart, and returns their ids.
func (g *noticeRig) endApart(count int, apart time.Duration) []string {
	g.t.Helper()
	ids := idsOf(count)
	for _, id := range ids {
		g.end(id)
		time.Sleep(apart)
	}
	return ids
}

// Guards against batches that wait for each other where each answer takes a while.
func TestNoticesOverASlowPlatform(t *testing.T) {
	p := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return reaction{after: 180 * time.Millisecond} }}
	inNoticeRig(t, p, func(g *noticeRig) {
		const notices, apart, limit = 100, 7 * time.Millisecond, 300 * time.Millisecond
		ids := g.endApart(notices, apart)
		g.takenBy(p, notices*apart+limit, ids...)
		for i, id := range ids {
			if times := p.taken[id]; len(times) > 0 && times[0]-time.Duration(i)*apart > limit {
				t.Errorf("notice %d taken after %v", i, times[0]-time.Duration(i)*apart)
			}
		}
	})
}

// Guards against notices that wait for the answers to those before them where each answer takes most of a second: the platform
// has taken what it has read.
func TestNoticesDoNotWaitForSlowAnswers(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 950 * time.Millisecond} {
		p := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return reaction{after: slow} }}
		inNoticeRig(t, p, func(g *noticeRig) {
			const notices, apart, limit = 300, 13 * time.Millisecond, 350 * time.Millisecond
			ids := g.endApart(notices, apart)
			g.takenBy(p, notices*apart+limit+2*slow, ids...)
			for i, id := range ids {
				ended := time.Duration(i) * apart
				if read, ok := p.read[id]; !ok || read-ended > limit {
					t.Errorf("answers after %v: notice %d read %v after it was queued", slow, i, read-ended)
				}
			}
		})
	}
}

// Guards against a notice that goes long after the platform can take it again; and against sockets, goroutines and memory
// without bound, and a loop that stands still, while it cannot.
func TestNoticesGoOnceThePlatformIsBack(t *testing.T) {
	const back = 30 * time.Second
	for name, p := range map[string]*memoryPlatform{
		"errors": {react: func(_, _ int, now time.Duration) reaction {
			if now < back {
				return reaction{status: http.StatusInternalServerError}
			}
			return reaction{}
		}},
		"silence":       {react: func(_, _ int, now time.Duration) reaction { return reaction{silent: now < back} }},
		"no connection": {dialable: func(now time.Duration) bool { return now >= back }},
	} {
		t.Run(name, func(t *testing.T) {
			inNoticeRig(t, p, func(g *noticeRig) {
				ids := idsOf(2*maxOwed + 1000)
				before := runtime.NumGoroutine()
				g.end(ids...)
				for range 99 {
					time.Sleep(back / 100)
					synctest.Wait()
					if n := runtime.NumGoroutine() - before; n > 100 {
						t.Fatalf("%d more goroutines", n)
					}
					if n := p.openNow(); n > 9 {
						t.Fatalf("%d connections, want 9 at most", n)
					}
				}
				want(t, "notices owed meanwhile", g.left(), len(ids))
				g.takenBy(p, back+noticeLimit, ids...)
				if p.mostOpen > 12 { // of each batch one may be on its way out
					t.Errorf("%d connections at once, want 12 at most", p.mostOpen)
				}
				t.Logf("%d connections, %d POSTs, %d connections at once", p.conns, p.posts, p.mostOpen)
			})
		})
	}
}

// Guards against a notice that waits for an address at which the platform is no more.
func TestNoticesFollowTheMove(t *testing.T) {
	const moved = 500 * time.Millisecond
	for name, act := range map[string]reaction{"silent": {silent: true}, "errors": {status: http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			p, next := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return act }}, &memoryPlatform{}
			inNoticeRig(t, p, func(g *noticeRig) {
				g.add(secondAddr, next)
				g.end("under way")
				time.Sleep(moved)
				g.end("behind")
				g.post(func() { g.retune(fleet.File{Settings: g.conf.Settings}, secondAddr) })
				g.takenBy(next, moved, "under way", "behind")
				posts := p.posted()
				time.Sleep(2 * time.Minute)
				want(t, "POSTs to the old address", p.posted()-posts, 0)
				want(t, "connections open to the old address", p.openNow(), 0)
			})
		})
	}
}

// Guards against bodies over the 64 KiB that one may have, and against more than one connection and one POST of a notice
// where the platform answers at once.
func TestManyNoticesAtOnce(t *testing.T) {
	for name, pad := range map[string]string{"in service": "", "long": "-", "long, and longer in JSON": "<"} {
		t.Run(name, func(t *testing.T) {
			p := &memoryPlatform{}
			inNoticeRig(t, p, func(g *noticeRig) {
				ids := idsOf(1000)
				for i, id := range ids {
					ids[i] = id + strings.Repeat(pad, maxName-len(id))
				}
				g.end(ids...)
				g.takenBy(p, time.Millisecond, ids...)
				for _, id := range ids {
					want(t, "POSTs of a notice", len(p.taken[id]), 1)
				}
				if p.longest > maxBody {
					t.Errorf("a body has %d bytes, want %d at most", p.longest, maxBody)
				}
				want(t, "connections", p.conns, 1)
			})
		})
	}
}

// Guards against a loop that waits for the sender of notices while that waits for the loop.
func TestLoopAndSenderNeverWaitForEachOther(t *testing.T) {
	p := &memoryPlatform{}
	inNoticeRig(t, p, func(g *noticeRig) {
		ids := idsOf(4 * maxOwed)
		g.post(func() {
			for range 4 * cap(g.inbox) { // what comes in keeps the inbox full
				go g.post(func() {})
			}
			for len(g.inbox) < cap(g.inbox) {
				runtime.Gosched()
			}
			for _, id := range ids {
				g.owe(notice{ID: id, Status: undeliverable})
			}
		})
		time.Sleep(time.Second)
		if len(g.inbox) > 0 {
			t.Error("the loop stands still")
			return
		}
		g.takenBy(p, time.Second, ids...)
	})
}
