package relay

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

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
