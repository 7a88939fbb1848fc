package relay

import (
	"testing"
	"time"
)

// startedIn returns how many requests each of a number of connections starts within a time, if it starts the next one
// whenever it may.
func startedIn(duration time.Duration, connections int) (requests int) {
	start := time.Unix(100, 0)
	shared := &sharedPace{}
	paces, next := make([]requestPace, connections), make([]time.Time, connections)
	for i := range next {
		next[i] = start
	}
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Millisecond) {
		for i := range paces {
			for !next[i].After(now) {
				next[i] = now.Add(max(10*time.Microsecond, paces[i].start(now, shared)))
				if next[i].Sub(now) < time.Millisecond {
					next[i] = now
				}
				requests++
			}
		}
	}
	return requests / connections
}

// Guards against a connection, or many together, that start more requests than leaves others their turn.
func TestPaceLimitsRequests(t *testing.T) {
	for connections, atMost := range map[int]int{1: maxConnRequests, 10: maxPacedRequests / 10, 50: maxPacedRequests / 50, 1000: minConnRequests} {
		const windows = 20
		got := startedIn(windows*paceWindow, connections)
		if limit := (windows + 1) * (atMost + 1); got > limit { // a request that waits has been counted
			t.Errorf("%d connections: %d requests each, want at most %d", connections, got, limit)
		}
		if got < windows*atMost/2 {
			t.Errorf("%d connections: %d requests each, want about %d", connections, got, windows*atMost)
		}
	}
}

// Guards against holding up a client that sends its next request as soon as it has its answer.
func TestPaceLeavesOrderlyClientsAlone(t *testing.T) {
	var pace requestPace
	shared := &sharedPace{}
	now := time.Unix(100, 0)
	for range 1000 {
		if wait := pace.start(now, shared); wait > 0 {
			t.Fatalf("a request waits for %v", wait)
		}
		now = now.Add(5 * time.Millisecond)
	}
}
