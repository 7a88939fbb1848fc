package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestDisabledEndpointStaysDisabledAcrossLists guards against messages for an endpoint that
// operators disabled, whatever the list says meanwhile.
func TestDisabledEndpointStaysDisabledAcrossLists(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	gone := ready("a", 1, 0, 0)
	gone.State = Removed
	acts := r.step(ManualChange{Host: "a", Disabled: true}, arrival("m", 0))
	acts = append(acts, r.advance(time.Second)...)
	acts = append(acts, r.step(ListUpdate{Complete: true, Hosts: []Host{ready("a", 1, 0, 0)}})...)
	acts = append(acts, r.step(ListUpdate{Hosts: []Host{gone}})...)
	acts = append(acts, r.advance(time.Second)...)
	acts = append(acts, r.step(ListUpdate{Hosts: []Host{ready("a", 1, 0, 0)}})...)
	acts = append(acts, r.advance(time.Second)...)
	if n := len(sends(acts)); n != 0 {
		t.Fatalf("%d sends to a disabled endpoint", n)
	}
	if n := r.chooser.Excluded(); n != 1 {
		t.Errorf("%d endpoints excluded, want 1", n)
	}
	r.step(ManualChange{Host: "a", Disabled: true}) // one enabling ends two disablings
	if n := len(sends(append(r.step(ManualChange{Host: "a"}), r.advance(time.Second)...))); n != 1 {
		t.Errorf("%d sends after it is enabled, want 1", n)
	}
	if n := r.chooser.Excluded(); n != 0 {
		t.Errorf("%d endpoints excluded after it is enabled, want none", n)
	}
}

// TestEnabledEndpointIsCold guards against a restarted endpoint that is overloaded when operators
// enable it again, and against the other endpoints of its destination being limited with it.
func TestEnabledEndpointIsCold(t *testing.T) {
	s := settings()
	s.Workers, s.MaxPending = 400, 1000
	for name, c := range map[string]struct {
		back  []Event
		spent bool // a window counts as used up, for what the previous process may have sent in it
		want  func(a, b int) bool
	}{
		// Of 100 calls per second, each of two relays may send a cold half 0.9 x 2 x 0.2 x 100 x 2
		// s / 2 / 2 calls in 2 s at first, and 0.36 in place of 0.2 after 2 s.
		"enabled by operators": {[]Event{ManualChange{Host: "a", Disabled: true}, ManualChange{Host: "a"}}, false,
			func(a, b int) bool { return a > 5 && a < 36 && b > 60 }},
		// In the first 2 s the budget is the excess of 0.44 over 0.28, a second after the return;
		// in the next 2 s 0.6 in place of 0.36.
		"enabled before a restart": {[]Event{ManualChange{Host: "a", Ago: time.Second}}, true,
			func(a, b int) bool { return a > 5 && a < 54 && b > 60 }},
		"enabled long ago": {[]Event{ManualChange{Host: "a", Ago: time.Minute}}, false,
			func(a, b int) bool { return a > 60 }},
		"enabled but never disabled": {[]Event{ManualChange{Host: "a"}}, false, func(a, b int) bool { return a > 60 }},
	} {
		r := newHarness(t, s, ready("a", 1, 0, 0), ready("b", 1, 0, 0))
		r.step(c.back...)
		window := func() map[string]int { // calls in 2 s
			sent := map[string]int{}
			for range 400 {
				r.now += 5 * ms
				for _, a := range sends(r.step(arrival(fmt.Sprint("m", r.now), 0))) {
					sent[a.Host]++
					r.step(r.result(a.ID, a.Host, Served))
				}
			}
			return sent
		}
		sent := window()
		if c.spent {
			if sent["a"] > 15 || sent["b"] <= 60 {
				t.Errorf("%s: %d calls to a, %d to b in the 2 s after the restart", name, sent["a"], sent["b"])
			}
			sent = window()
		}
		if !c.want(sent["a"], sent["b"]) {
			t.Errorf("%s: %d calls to a, %d to b in 2 s", name, sent["a"], sent["b"])
		}
	}
}

// TestSmallBudgetSharesAreSpread guards against relays with shares of less than one call that make
// it together: after a restart during the warm-up, as an endpoint is enabled once more, and as its
// listed rate changes, the part of a call that they have saved must be spread evenly from none to
// all.
func TestSmallBudgetSharesAreSpread(t *testing.T) {
	const relays = 400
	s := settings()
	s.Fleet = relays
	host := ready("a", 1, 0, 0)
	host.Rate = 30
	faster := host
	faster.Rate = 90
	disableAndEnable := []Event{ManualChange{Host: "a", Disabled: true}, ManualChange{Host: "a"}}
	for name, then := range map[string][]Event{
		"restart":       {ManualChange{Host: "a", Ago: 7 * time.Second}},
		"back again":    disableAndEnable,
		"a higher rate": {ListUpdate{Hosts: []Host{faster}}},
	} {
		var parts [4]int
		for seed := range uint64(relays) {
			c, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			h := ListUpdate{Complete: true, Hosts: []Host{host}}
			c.Step(time.Hour, []Event{h})
			if name != "restart" {
				c.Step(time.Hour, append(disableAndEnable, arrival("first", 0))) // assigns its random part
			}
			c.Step(time.Hour+7*time.Second, append(then, arrival("m", 0)))
			a := c.hosts["a"]
			_, sum := c.coldBudget(a.unit, c.now-c.enabledAt["a"])
			_, sumAtLast := c.coldBudget(a.unit, a.recentSends[len(a.recentSends)-1]-c.enabledAt["a"])
			parts[min(3, int(4*(sum-sumAtLast)))]++
		}
		for _, n := range parts {
			if n < relays/4-40 || n > relays/4+40 {
				t.Errorf("%s: relays by saved quarters of a call: %v of %d, want them even", name, parts, relays)
				break
			}
		}
	}
}
