package state

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against destinations that are down and fill the window of one that is served: each of thousands has about one
// message pending, and the total is bounded.
func TestUnservedDestinationsLeaveSpace(t *testing.T) {
	window := Window{Capacity: Load{1000, 1 << 20}, Alpha: 1}
	pending := 0
	for range 3 {
		for dest := range 3000 {
			for range window.Available(dest, 0) {
				window.Admit(dest, 10)
				pending++
			}
		}
	}
	if pending > 1000+3000 || pending < 3000 {
		t.Fatalf("%d messages are pending", pending)
	}
	// A destination that is served may have twice what it served in a second pending, though no capacity is free.
	window.Admit(9999, 10)
	for i := range 500 {
		window.Admit(9999, 10)
		window.Remove(9999, 10, true, time.Duration(i)*time.Millisecond)
	}
	if available := window.Available(9999, time.Second); available != 2*500-1 {
		t.Fatalf("%d messages available to a destination that served 500 in the last second", available)
	}
	if available := window.Available(9999, 2500*time.Millisecond); available != 0 {
		t.Fatalf("%d messages available to a destination that served none for a second", available)
	}
	if available := window.Available(77_777, 0); available != 1 {
		t.Fatalf("%d messages available to a new destination", available)
	}
}

// Guards against bytes that are not counted: a few large messages fill the window as many small ones do, and one message of
// any size is always allowed.
func TestLargeMessagesFillWindow(t *testing.T) {
	window := Window{Capacity: Load{1000, 1 << 20}, Alpha: 1}
	if available := window.Available(1, 0); available == 0 {
		t.Fatal("a message of 10 MiB is not allowed")
	}
	window.Admit(1, 10<<20)
	if available := window.Available(1, 0); available != 0 {
		t.Fatalf("%d more messages available beyond the byte limit", available)
	}
	if available := window.Available(2, 0); available == 0 {
		t.Fatal("no message of another destination is allowed")
	}
	if bytes := window.AvailableBytes(1, 0); bytes != 0 {
		t.Fatalf("%d more bytes available beyond the byte limit", bytes)
	}
	window.Remove(1, 10<<20, false, 0)
	if bytes := window.AvailableBytes(1, 0); bytes != 1<<20 {
		t.Fatalf("%d bytes available when the window is empty", bytes)
	}
	if available := window.Available(1, 0); available != 1000 {
		t.Fatalf("%d messages available when the window is empty", available)
	}
}

// Guards against a destination with nothing pending that may have messages pending for what it served two seconds ago.
func TestIdleDestinationKeepsNoOldAllowance(t *testing.T) {
	window := Window{Capacity: Load{4, 1 << 20}, Alpha: 1}
	for range 3 {
		window.Admit(1, 10)
		window.Remove(1, 10, true, 0)
	}
	if available := window.Available(1, 2*time.Second); available != 4 {
		t.Fatalf("%d messages available in an empty window of 4, for a destination that served 3 two seconds ago", available)
	}
}

// Guards against a limit that differs from its formula after any sequence of messages that enter and leave.
func TestWindowEqualsFormula(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := Window{Capacity: Load{20, 1 << 30}, Alpha: rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "alpha")}
		pending, served := map[int]int{}, map[int]map[int64]int{}
		var now time.Duration
		used := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			dest := rapid.IntRange(0, 4).Draw(t, "dest")
			second := int64(now / time.Second)
			servedBySecond := served[dest]
			want := max(1, int(window.Alpha*float64(20-used)), 2*max(servedBySecond[second], servedBySecond[second-1])) - pending[dest]
			got := window.Available(dest, now)
			if got != max(0, want) {
				t.Fatalf("%d messages available, want %d: %d of the destination pending, %d in all, served %v at %v", got, want, pending[dest], used, servedBySecond, now)
			}
			if got > 0 && rapid.Bool().Draw(t, "enters") {
				window.Admit(dest, 1)
				pending[dest]++
				used++
			} else if pending[dest] > 0 {
				ok := rapid.Bool().Draw(t, "served")
				window.Remove(dest, 1, ok, now)
				pending[dest]--
				used--
				if ok {
					if servedBySecond == nil {
						served[dest] = map[int64]int{}
					}
					served[dest][second]++
				}
			}
		}
		if len(window.pending) > 5 || len(window.servedNow)+len(window.servedBefore) > 10 {
			t.Fatal("loads of earlier seconds or of idle destinations are retained")
		}
	})
}
