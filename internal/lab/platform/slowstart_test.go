package platform

import (
	"fmt"
	"math"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// coldEnv is a platform with one destination of a given capacity for each endpoint.
func coldEnv(t *testing.T, capacity float64) *recordedEnv {
	return newEnv(t, func(s *scenario.Scenario, d *Draw) {
		s.Platform.Destinations = 1
		d.Cold, d.Dests[0].ColdFrom = 10, 0.3
		d.Dests[0].Rate, d.Dests[0].Capacity, d.Dests[0].Median, d.Dests[0].Sigma = 0, capacity, 0.1, 0
		d.Dests = d.Dests[:1]
	})
}

// Guards against a destination in slow start that nothing pushes over, or that what it can bear does.
func TestOnlyOverloadCollapsesColdDestination(t *testing.T) {
	for _, c := range []struct {
		times float64 // of what it can do
		falls bool
	}{{1.2, false}, {2.2, true}} {
		d := NewPartners(coldEnv(t, 100).Env).dests[0]
		now := time.Now()
		d.startCold(now)
		for at := now; at.Before(now.Add(9 * time.Second)); {
			d.countArrival("relay/0", at)
			at = at.Add(time.Duration(float64(time.Second) / (c.times * d.capacity() * d.warmShare(at))))
		}
		if d.collapsed != c.falls {
			t.Errorf("%g times what it can do: fallen is %v", c.times, d.collapsed)
		}
	}
}

// Guards against a bound on calls in slow start that depends on how many relays send them, or on how large the destination is.
func TestSlowStartBoundIsIndependentOfFleetSize(t *testing.T) {
	for _, capacity := range []float64{10, 100} {
		for _, relays := range []int{1, 3, 300} {
			env := coldEnv(t, capacity)
			d := NewPartners(env.Env).dests[0]
			now := time.Now()
			d.startCold(now)
			most := int(math.Floor(history.SlowStartMost(overloadFactor * d.capacity() * d.warmShare(now) * overloadWindow.Seconds())))
			for i := range most {
				d.countArrival(fmt.Sprintf("relay/%d", i%relays), now)
			}
			if d.collapsed {
				t.Errorf("capacity %g, %d relays: it fell at %d calls, its bound", capacity, relays, most)
			}
			d.countArrival("relay/0", now)
			if !d.collapsed {
				t.Errorf("capacity %g, %d relays: it bears %d calls, one more than its bound", capacity, relays, most+1)
			}
			e := env.events[len(env.events)-1]
			if e.Kind != history.Fell || e.Figures["calls"] != float64(most+1) || e.Figures["relay/0"] == 0 {
				t.Errorf("it does not say how it fell: %v", e)
			}
		}
	}
}
