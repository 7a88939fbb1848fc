package choice

import (
	"testing"
	"time"
)

// TestRetryAfterFromAnotherRelay guards against a relay that takes over another's messages, and
// sends during a retry-after time that the other received.
func TestRetryAfterFromAnotherRelay(t *testing.T) {
	c, err := New(settings(), 7)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	c.Step(now, []Event{ListUpdate{Complete: true, Hosts: []Host{ready("a", 1, 0, 0), ready("b", 1, 0, 1)}}})
	sent := func(events ...Event) (n int) {
		for _, a := range c.Step(now, events) {
			if _, ok := a.(Send); ok {
				n++
			}
		}
		return n
	}
	restored := Restored{Arrival: Arrival{ID: "m", Dest: 1, Left: 10 * time.Second}}
	if n := sent(RetryAfter{Host: "b", Remaining: 2 * time.Second},
		RetryAfter{Host: "nobody", Remaining: time.Hour}, restored); n != 0 {
		t.Errorf("%d sends as the retry-after time begins, want none", n)
	}
	now += 1900 * time.Millisecond
	if n := sent(Woken{}); n != 0 {
		t.Errorf("%d sends before its end, want none", n)
	}
	now += 200 * time.Millisecond
	if n := sent(Woken{}); n != 1 {
		t.Errorf("%d sends after its end, want 1", n)
	}
}
