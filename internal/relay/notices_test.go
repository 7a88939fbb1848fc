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

// Guards against a notice, and all notices behind it, waiting for one connection or one answer.
func TestNoticesDoNotWaitForOneAnswer(t *testing.T) {
	const from = 100 * time.Millisecond // time of the second POST; the first one left an idle connection
	for name, answer := range map[string]reaction{
		"reused connection is silent":     {silent: true},
		"reused connection is reset":      {reset: true},
		"one answer is late":              {delay: 900 * time.Millisecond},
		"one answer is an error":          {status: http.StatusInternalServerError},
		"one answer is an error and late": {delay: 120 * time.Millisecond, status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			platform := &memoryPlatform{react: func(conn, post int, _ time.Duration) reaction {
				if conn == 1 && post > 1 {
					return answer
				}
				return reaction{}
			}}
			inNoticeRig(t, platform, func(rig *noticeRig) {
				rig.end("first")
				time.Sleep(from)
				rig.end("second")
				time.Sleep(time.Millisecond)
				rig.end("behind")
				rig.wantAcceptedBy(platform, from+noticeDelayLimit, "first", "second", "behind")
			})
		})
	}
}

// endSpaced ends messages undelivered one after the other, at an interval, and returns their ids.
func (g *noticeRig) endSpaced(count int, interval time.Duration) []string {
	g.t.Helper()
	ids := makeIDs(count)
	for _, id := range ids {
		g.end(id)
		time.Sleep(interval)
	}
	return ids
}

// Guards against batches that wait for each other if each answer takes a while.
func TestNoticesWithSlowPlatform(t *testing.T) {
	platform := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return reaction{delay: 180 * time.Millisecond} }}
	inNoticeRig(t, platform, func(rig *noticeRig) {
		const notices, apart, limit = 100, 7 * time.Millisecond, 300 * time.Millisecond
		ids := rig.endSpaced(notices, apart)
		rig.wantAcceptedBy(platform, notices*apart+limit, ids...)
		for i, id := range ids {
			if times := platform.acceptedTimes[id]; len(times) > 0 && times[0]-time.Duration(i)*apart > limit {
				t.Errorf("notice %d accepted after %v", i, times[0]-time.Duration(i)*apart)
			}
		}
	})
}

// Guards against notices that wait for the answers to earlier ones if each answer takes most of a second: the platform
// has accepted a notice once it has read it.
func TestNoticesDoNotWaitForSlowAnswers(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 950 * time.Millisecond} {
		platform := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return reaction{delay: slow} }}
		inNoticeRig(t, platform, func(rig *noticeRig) {
			const notices, apart, limit = 300, 13 * time.Millisecond, 350 * time.Millisecond
			ids := rig.endSpaced(notices, apart)
			rig.wantAcceptedBy(platform, notices*apart+limit+2*slow, ids...)
			for i, id := range ids {
				ended := time.Duration(i) * apart
				if read, ok := platform.readTimes[id]; !ok || read-ended > limit {
					t.Errorf("answers after %v: notice %d was read %v after it was queued", slow, i, read-ended)
				}
			}
		})
	}
}

// Guards against notices that are sent long after the platform has recovered, and against an unlimited number of
// sockets and goroutines, unlimited memory, or a blocked loop while it is down.
func TestNoticesAreSentOncePlatformRecovers(t *testing.T) {
	const back = 30 * time.Second
	for name, platform := range map[string]*memoryPlatform{
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
			inNoticeRig(t, platform, func(rig *noticeRig) {
				ids := makeIDs(2*maxPendingNotices + 1000)
				before := runtime.NumGoroutine()
				rig.end(ids...)
				for range 99 {
					time.Sleep(back / 100)
					synctest.Wait()
					if n := runtime.NumGoroutine() - before; n > 100 {
						t.Fatalf("%d more goroutines, want 100 at most", n)
					}
					if n := platform.openCount(); n > 9 {
						t.Fatalf("%d connections, want 9 at most", n)
					}
				}
				want(t, "pending notices meanwhile", rig.undeliveredNotices(), len(ids))
				rig.wantAcceptedBy(platform, back+noticeDelayLimit, ids...)
				if platform.maxOpenConns > 12 { // a connection of each batch may be closing
					t.Errorf("%d connections at once, want 12 at most", platform.maxOpenConns)
				}
				t.Logf("%d connections in all, %d POSTs, %d connections at once", platform.conns, platform.posts, platform.maxOpenConns)
			})
		})
	}
}

// Guards against notices that wait for an address which the platform has left.
func TestNoticesFollowPlatformAddress(t *testing.T) {
	const moved = 500 * time.Millisecond
	for name, answer := range map[string]reaction{"silent": {silent: true}, "errors": {status: http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			platform, next := &memoryPlatform{react: func(_, _ int, _ time.Duration) reaction { return answer }}, &memoryPlatform{}
			inNoticeRig(t, platform, func(rig *noticeRig) {
				rig.add(secondAddr, next)
				rig.end("in flight")
				time.Sleep(moved)
				rig.end("behind")
				rig.post(func() {
					rig.applyConfig(reloadedConfig{discovery: secondAddr, settings: fleet.File{Settings: rig.config.Settings}})
				})
				rig.wantAcceptedBy(next, moved, "in flight", "behind")
				posts := platform.postCount()
				time.Sleep(2 * time.Minute)
				want(t, "POSTs to the old address", platform.postCount()-posts, 0)
				want(t, "connections open to the old address", platform.openCount(), 0)
			})
		})
	}
}

// Guards against bodies over the limit of 64 KiB, and against more than one connection, or more than one POST of a
// notice, if the platform answers at once.
func TestManyNoticesInOneTurn(t *testing.T) {
	for name, pad := range map[string]string{"as in production": "", "long": "-", "long, and longer in JSON": "<"} {
		t.Run(name, func(t *testing.T) {
			platform := &memoryPlatform{}
			inNoticeRig(t, platform, func(rig *noticeRig) {
				ids := makeIDs(1000)
				for i, id := range ids {
					ids[i] = id + strings.Repeat(pad, maxNameBytes-len(id))
				}
				rig.end(ids...)
				rig.wantAcceptedBy(platform, time.Millisecond, ids...)
				for _, id := range ids {
					want(t, "POSTs of a notice", len(platform.acceptedTimes[id]), 1)
				}
				if platform.longestBody > maxBodyBytes {
					t.Errorf("a body has %d bytes, want %d at most", platform.longestBody, maxBodyBytes)
				}
				want(t, "connections", platform.conns, 1)
			})
		})
	}
}

// Guards against a deadlock in which the loop waits for the sender of notices while the sender waits for the loop.
func TestLoopAndSenderNeverWaitForEachOther(t *testing.T) {
	platform := &memoryPlatform{}
	inNoticeRig(t, platform, func(rig *noticeRig) {
		ids := makeIDs(4 * maxPendingNotices)
		rig.post(func() {
			for range 4 * cap(rig.inbox) { // new functions keep the inbox full
				go rig.post(func() {})
			}
			for len(rig.inbox) < cap(rig.inbox) {
				runtime.Gosched()
			}
			for _, id := range ids {
				rig.queueNotice(notice{ID: id, Status: undeliverable})
			}
		})
		time.Sleep(time.Second)
		if len(rig.inbox) > 0 {
			t.Error("the loop is blocked")
			return
		}
		rig.wantAcceptedBy(platform, time.Second, ids...)
	})
}
