package choice

import (
	"fmt"
	"testing"
	"time"
)

// seldomCaller returns a relay whose even share of a destination with four endpoints is a call in two seconds.
func seldomCaller(t *testing.T, seed uint64) *harness {
	t.Helper()
	s := settings()
	s.Fleet = 40
	c, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, chooser: c, now: time.Hour, attempts: map[string]int{}}
	list := ListUpdate{Complete: true}
	for _, addr := range []string{"a", "b", "c", "d"} {
		h := ready(addr, 1, 0, 0)
		h.Rate = 20
		list.Hosts = append(list.Hosts, h)
	}
	r.step(list)
	r.now += 3 * time.Second
	return r
}

// TestSeldomCallerLeavesFailingEndpoint guards against relays that go on calling one endpoint which fails
// each call, since they prefer it: the others, never tried, counted as working, and a destination that was
// out for 20 s was taken for healthy, or for warm at the end of a slow start, as it came back cold.
func TestSeldomCallerLeavesFailingEndpoint(t *testing.T) {
	for _, state := range []UnitState{Healthy, Recovering} {
		for seed := range uint64(20) {
			r := seldomCaller(t, seed)
			u, calls := r.chooser.hosts["a"].unit, 0
			u.state, u.stateSince, u.lastServed = state, r.now, r.now-20*ms
			for range 10 {
				sent := sends(r.step(arrival(fmt.Sprint("m", r.now), 2))) // a message that is not sent again
				for end := r.now + 3*time.Second; r.now < end; sent = sends(r.advance(20 * ms)) {
					for _, s := range sent {
						calls++
						r.step(r.result(s.ID, s.Host, Error))
					}
				}
				if u.state == Suspect {
					break
				}
			}
			if u.state != Suspect || calls != outageFailures {
				t.Errorf("%v, seed %d: %v after %d failed calls, want an outage after %d", state, seed, u.state, calls, outageFailures)
			}
		}
	}
}

// TestFleetsOfSeldomCallersFindOutages checks the same by the calls of whole fleets.
func TestFleetsOfSeldomCallersFindOutages(t *testing.T) {
	for _, seed := range []uint64{1341, 1620, 2336, 3721} {
		randomColdFleet(seed).wantNoFallAfter(t, callsFail)
	}
}
