package choice

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestTimeoutFromKnownLatencies(t *testing.T) {
	tab := latencyTable{width: 10 * ms, weight: 1}
	for range 90 {
		tab.addServed(15 * ms)
	}
	for range 10 {
		tab.addServed(905 * ms)
	}
	tab.refresh()
	if tab.bestTimeout != 20*ms {
		t.Errorf("time-out %v with a tenth of the answers 60 times slower, want the edge of the bucket of the fast ones, 20ms", tab.bestTimeout)
	}
	same := latencyTable{width: 10 * ms, weight: 1}
	for i := range 100 {
		same.addServed(time.Duration(100+i%10) * ms)
	}
	same.refresh()
	if same.bestTimeout != 110*ms {
		t.Errorf("time-out %v for equal answers, want 110ms, the end of their bucket", same.bestTimeout)
	}
	few := latencyTable{width: 10 * ms, weight: 1}
	for range minSamples - 1 {
		few.addServed(15 * ms)
	}
	few.refresh()
	if few.bestTimeout != 0 {
		t.Errorf("time-out %v from %d samples, want none", few.bestTimeout, minSamples-1)
	}
	few.addServed(5 * time.Second) // beyond the last bucket
	if few.overBound < 1 || few.samples != minSamples {
		t.Errorf("%v samples over the last bucket, %v in all after one more", few.overBound, few.samples)
	}
}

func TestLatencyTableRelearns(t *testing.T) {
	tab := latencyTable{width: 10 * ms, weight: 1}
	for range 1000 {
		tab.addServed(15 * ms)
	}
	for range 2 * sampleMemory {
		tab.addServed(505 * ms)
	}
	tab.refresh()
	if tab.bestTimeout < 510*ms {
		t.Errorf("time-out %v after the destination became slower, want at least 510ms", tab.bestTimeout)
	}
	for range 10000 {
		tab.addServed(505 * ms)
	}
	if math.IsInf(tab.weight, 0) || tab.weight > 1e7 {
		t.Errorf("weight %v grows without bound", tab.weight)
	}
}

func TestTimeoutGrowsWithEachAttempt(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	for i := range 2 * minSamples {
		id := fmt.Sprint("w", i)
		r.step(arrival(id, 0))
		r.now += 50 * ms
		r.step(r.result(id, "a", Served))
	}
	got := sends(r.step(arrival("m", 0)))
	last := got[0].Timeout
	if last >= 2*time.Second {
		t.Fatalf("first time-out %v, want one derived from latencies, below 2s", last)
	}
	for range 2 {
		r.now += last
		acts := r.step(r.result("m", "a", Timeout))
		if got = append(sends(acts), sends(r.advance(3*time.Second))...); len(got) != 1 {
			t.Fatalf("%d sends after a time-out", len(got))
		}
		if got[0].Timeout < last+r.chooser.maxTimeout/buckets {
			t.Errorf("time-out %v after %v, want a bucket more", got[0].Timeout, last)
		}
		last = got[0].Timeout
	}
}

// TestWaitingMessagesRaiseTimeout checks that while messages wait for the destination, a call is
// given up only when it is very likely lost.
func TestWaitingMessagesRaiseTimeout(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	for i := range 4 * minSamples {
		id := fmt.Sprint("w", i)
		r.step(arrival(id, 0))
		r.now += 50 * ms
		r.step(r.result(id, "a", Served, func(e *Result) {
			if e.Took = 100 * ms; i%8 == 0 {
				e.Took = 1900 * ms // a tail that an early time-out would cut off
			}
		}))
	}
	quiet := sends(r.step(arrival("m", 0)))[0].Timeout
	var events []Event
	for i := range 12 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	busy := sends(r.step(events...))[0].Timeout
	if quiet >= 1900*ms || busy < 1900*ms {
		t.Errorf("time-out %v without and %v with a backlog, want it below and above the tail of 1.9s", quiet, busy)
	}
}
