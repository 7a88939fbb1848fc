package relay

import (
	"runtime"
	"testing"
	"time"
)

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
