package platform

import (
	"fmt"
	"math"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// coldEnv returns a platform with one destination, whose endpoints have the given capacity in calls a second.
func coldEnv(t *testing.T, capacity float64) *recordedEnv {
	return newEnv(t, func(s *scenario.Scenario, d *Draw) {
		s.Platform.Destinations = 1
		d.Cold, d.Dests[0].ColdFrom = 10, 0.3
		d.Dests[0].Rate, d.Dests[0].Capacity, d.Dests[0].Median, d.Dests[0].Sigma = 0, capacity, 0.1, 0
		d.Dests = d.Dests[:1]
	})
}

// Guards against a destination in slow start that withstands any load, or that collapses under a load within its bound.
func TestOnlyOverloadCollapsesColdDestination(t *testing.T) {
	for _, c := range []struct {
		loadFactor float64 // load relative to the current capacity
		collapses  bool
	}{{1.2, false}, {2.2, true}} {
		d := NewPartners(coldEnv(t, 100).Env).dests[0]
		now := time.Now()
		d.startCold(now)
		for at := now; at.Before(now.Add(9 * time.Second)); {
			d.countArrival("relay/0", at)
			at = at.Add(time.Duration(float64(time.Second) / (c.loadFactor * d.capacity() * d.warmShare(at))))
		}
		if d.collapsed != c.collapses {
			t.Errorf("load of %g times the capacity: collapsed is %v", c.loadFactor, d.collapsed)
		}
	}
}

// Guards against a bound on calls in slow start that depends on the number of relays that send them, or that misses at small or
// large destinations.
func TestSlowStartBoundIsIndependentOfFleetSize(t *testing.T) {
	for _, capacity := range []float64{10, 100} {
		for _, relays := range []int{1, 3, 300} {
			env := coldEnv(t, capacity)
			d := NewPartners(env.Env).dests[0]
			now := time.Now()
			d.startCold(now)
			maxCalls := int(math.Floor(history.SlowStartMaxCalls(overloadFactor * d.capacity() * d.warmShare(now) * overloadWindow.Seconds())))
			for i := range maxCalls {
				d.countArrival(fmt.Sprintf("relay/%d", i%relays), now)
			}
			if d.collapsed {
				t.Errorf("capacity %g, %d relays: collapsed at %d calls, its bound", capacity, relays, maxCalls)
			}
			d.countArrival("relay/0", now)
			if !d.collapsed {
				t.Errorf("capacity %g, %d relays: no collapse at %d calls, one more than its bound", capacity, relays, maxCalls+1)
			}
			e := env.events[len(env.events)-1]
			if e.Kind != history.SlowStartOverloaded || e.Values["calls"] != float64(maxCalls+1) || e.Values["relay/0"] == 0 {
				t.Errorf("the event does not describe the collapse: %v", e)
			}
		}
	}
}
