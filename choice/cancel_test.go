package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestStuckCallsAreCancelled checks that calls that nobody answers don't keep all slots.
func TestStuckCallsAreCancelled(t *testing.T) {
	s := settings()
	s.Workers = 2
	r := newHarness(t, s, ready("a", 1, 0, 0), ready("b", 2, 0, 0), ready("c", 3, 0, 0))
	for i := 1; i <= 3; i++ {
		m := arrival(fmt.Sprint(i), 2)
		m.Dest = i
		r.step(m)
	}
	for _, a := range r.advance(4 * time.Second) {
		if _, ok := a.(Cancel); ok {
			return
		}
	}
	t.Errorf("no call was cancelled while another destination waited for a slot")
}

// TestLostCallIsCancelled checks that a call that nobody answers is cancelled when a slot is
// needed, even while its destination goes on serving others.
func TestLostCallIsCancelled(t *testing.T) {
	s := settings()
	s.Workers = 3
	r := newHarness(t, s, ready("a", 1, 0, 0), ready("b", 2, 0, 0), ready("c", 3, 0, 0))
	r.step(arrival("lost", 2))
	var out []Send
	for i := range 200 {
		var events []Event
		for _, x := range out {
			events = append(events, r.result(x.ID, x.Host, Served))
		}
		for dest := 1; dest <= 3; dest++ {
			for k := range 2 {
				m := arrival(fmt.Sprint(i, dest, k), 0)
				m.Dest = dest
				events = append(events, m)
			}
		}
		acts := r.step(events...)
		for _, a := range acts {
			if c, ok := a.(Cancel); ok && c.ID == "lost" {
				return
			}
		}
		out = sends(acts)
		r.now += 50 * ms
	}
	t.Errorf("the lost call was never cancelled")
}

// TestCancelLimitGrowsWithAttempts checks that each further attempt of a message is cancelled later
// than the one before, so that slow calls are served in the end.
func TestCancelLimitGrowsWithAttempts(t *testing.T) {
	s := settings()
	s.Workers, s.MaxPending = 2, 1000
	r := newHarness(t, s, ready("slow", 1, 0, 0), ready("b", 2, 0, 0), ready("c", 3, 0, 0))
	var took []time.Duration
	var events []Event
	events = append(events, arrival("m", 0))
	sent := r.now
	for i := 0; r.now < sent+9*time.Second && len(took) < 2; i++ {
		for dest := 2; dest <= 3; dest++ {
			m := arrival(fmt.Sprint(i, dest), 0)
			m.Dest = dest
			events = append(events, m)
		}
		acts := r.step(events...)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				if a.ID == "m" {
					sent = r.now
				} else {
					events = append(events, r.result(a.ID, a.Host, Served))
				}
			case Cancel:
				took = append(took, r.now-sent)
				events = append(events, r.result(a.ID, "slow", Cancelled))
			}
		}
		r.now += 50 * ms
	}
	if len(took) < 2 || took[1] < took[0]*3/2 {
		t.Errorf("attempts were cancelled after %v, want the second after half as long again at least", took)
	}
}
