package choice

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOpenMessagesKeepTheirTerms guards against open messages that follow new settings: fewer
// attempts, another effect, a class that was removed or whose index another one has.
func TestOpenMessagesKeepTheirTerms(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	r.step(arrival("safe", 0), arrival("unsafe", 2))
	next := settings()
	next.MaxAttempts = 1
	next.Classes = []Class{{Name: "other", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Unsafe},
		{Name: "one more", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Safe}}
	acts := r.step(Reconfigured{next}, r.result("safe", "a", Error), r.result("unsafe", "a", Error))
	if got := finalAnswers(acts); got != "fail unsafe;" {
		t.Fatalf("answers %q, want only the unsafe message failed: it may have run, and was unsafe when it was accepted", got)
	}
	for n := 2; n <= 4; n++ {
		for len(sends(acts)) == 0 {
			if acts = r.advance(5 * ms); r.now > 2*time.Hour {
				t.Fatalf("attempt %d of a message accepted with 4 is not made", n)
			}
		}
		acts = r.step(r.result("safe", "a", Error))
	}
	if got := finalAnswers(acts); got != "refuse safe;" {
		t.Errorf("after its 4th attempt %q, want it refused", got)
	}
	r = newHarness(t, settings(), ready("a", 1, 0, 0))
	r.step(Reconfigured{next}, arrival("new", 0), arrival("newer", 1))
	acts = r.step(r.result("new", "a", Error), r.result("newer", "a", Error))
	if got := finalAnswers(acts); got != "fail new;refuse newer;" {
		t.Errorf("new messages: %q, want both ended after one attempt, the unsafe one failed", got)
	}
}

// TestSettingsOutOfRangeAreRejected guards against settings out of range that are applied in part,
// or break the relay.
func TestSettingsOutOfRangeAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"no deadline": func(s *Settings) { s.Classes[0].Deadline = 0 },
		"no classes":  func(s *Settings) { s.Classes = nil },
		"no window":   func(s *Settings) { s.Classes[1].Window = 0 },
	} {
		r := newHarness(t, settings(), ready("a", 1, 0, 0))
		next := settings()
		next.Workers = 1
		change(&next)
		if n := len(sends(r.step(Reconfigured{next}, arrival("m1", 0), arrival("m2", 0)))); n != 2 {
			t.Errorf("%s: %d sends, want 2 under the old settings", name, n)
		}
	}
}

// TestRestoredTerms checks that a restored message keeps the terms it was accepted under, even if
// its class was removed.
func TestRestoredTerms(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	old := Class{Name: "old", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Unsafe}
	acts := r.step(Restored{Arrival: Arrival{ID: "m", Class: -1, Dest: 1, Left: 4 * time.Second, Terms: &Terms{old, 9}},
		Attempts: 1, MayHaveRun: true}, Restored{Arrival: Arrival{ID: "n", Class: -1, Dest: 1, Left: 4 * time.Second,
		Terms: &Terms{old, 9}}, Attempts: 8})
	if got := finalAnswers(acts); got != "fail m;" {
		t.Errorf("answers %q, want the one failed that may have run", got)
	}
	if n := len(sends(acts)); n != 1 {
		t.Errorf("%d sends, want the 9th attempt of the other", n)
	}
}

// TestLatencyTableIsRebucketed guards against latencies that are lost or misread when the longest
// aim changes, and with it the buckets.
func TestLatencyTableIsRebucketed(t *testing.T) {
	tab := latencyTable{width: 10 * ms, weight: 1}
	for range 100 {
		tab.addServed(155 * ms)
	}
	tab.refresh()
	tab.rebucket(40 * ms)
	if tab.refresh(); tab.bestTimeout != 160*ms {
		t.Errorf("time-out %v, want the end of the wider bucket, 160ms", tab.bestTimeout)
	}
	tab.rebucket(ms)
	if tab.refresh(); tab.bestTimeout != 100*ms {
		t.Errorf("time-out %v, want the last bucket", tab.bestTimeout)
	}
}

// TestJoinIsWhatBothAllow guards against joined settings that one of the two would not allow, and
// against ones that are invalid.
func TestJoinIsWhatBothAllow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) Settings {
			s := settings()
			n := func(what string, low, high int) int { return rapid.IntRange(low, high).Draw(rt, name+what) }
			s.Workers, s.MaxPending, s.MaxAttempts, s.Fleet = n("workers", 1, 9), n("held", 0, 9),
				n("attempts", 1, 8), n("fleet", 1, 300)
			s.Rules.WarmUp, s.Rules.OverloadFactor = time.Duration(n("cold", 1, 9))*time.Second,
				float64(n("factor", 1, 9))
			s.Classes = nil
			for _, className := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3,
				rapid.ID[string]).Draw(rt, name+"classes") {
				class := Class{Name: className, Aim: time.Duration(n("aim", 1, 9)) * time.Second, Worth: 1,
					Effect:   Effect(n("effect", 0, 2)),
					SameZone: n("zone", 0, 1) == 1}
				class.Deadline = class.Aim + time.Duration(n("more", 0, 9))*time.Second
				if class.Effect == Keyed {
					class.Window = time.Duration(n("window", 1, 9)) * time.Second
				}
				s.Classes = append(s.Classes, class)
			}
			s.Kinds = []Kind{{SeparateRoutes: n("apart", 0, 1) == 1, PerCall: n("per call", 1, 5)}}
			s.Tenants = []Tenant{{Quota: float64(n("quota", 1, 9))}}
			return s
		}
		a, b := draw("a"), draw("b")
		joined := Join(a, b)
		if err := joined.Check(); err != nil && len(joined.Classes) > 0 {
			rt.Fatalf("the join of two valid settings: %v", err)
		}
		for _, s := range []Settings{a, b} {
			if joined.Workers > s.Workers || joined.MaxAttempts > s.MaxAttempts || s.MaxPending > 0 &&
				(joined.MaxPending == 0 || joined.MaxPending > s.MaxPending) || joined.Fleet < s.Fleet ||
				joined.Rules.WarmUp < s.Rules.WarmUp || joined.Rules.OverloadFactor > s.Rules.OverloadFactor ||
				joined.Kinds[0].PerCall > s.Kinds[0].PerCall ||
				joined.Tenants[0].Quota > s.Tenants[0].Quota {
				rt.Fatalf("%+v allows more than %+v", joined, s)
			}
			for _, class := range joined.Classes {
				i := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == class.Name })
				if i < 0 {
					rt.Fatalf("class %q is in one of the settings only", class.Name)
				}
				before := s.Classes[i]
				if class.Effect < before.Effect || class.Deadline > before.Deadline || before.SameZone &&
					!class.SameZone || class.Effect == Keyed && before.Effect == Keyed && class.Window > before.Window {
					rt.Fatalf("%+v may do more than %+v", class, before)
				}
			}
		}
		if again := Join(joined, b); !reflect.DeepEqual(again, joined) {
			rt.Fatalf("joined again: %+v, want %+v", again, joined)
		}
	})
}

// TestOrderOfARemovedClass guards against a message that is ordered by the terms it was accepted
// under while its class is not ordered any more: it had no key queue, so its turn was not defined.
func TestOrderOfARemovedClass(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	old := Class{Name: "old", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: Safe, Ordered: true}
	var all []Event
	for _, id := range []string{"m", "n"} {
		all = append(all, Restored{Arrival: Arrival{ID: id, Class: -1, Dest: 1, Left: 4 * time.Second, Key: "k",
			Terms: &Terms{old, 9}}})
	}
	if got := sends(r.step(all...)); len(got) != 1 || got[0].ID != "m" {
		t.Errorf("sends %v, want the first of the key alone", got)
	}
}

// TestSharesFollowTenants guards against a tenant that gets what another one had left of its share
// because their indices changed.
func TestSharesFollowTenants(t *testing.T) {
	s := settings()
	s.Fleet = 1
	s.Tenants = []Tenant{{"a", 1}, {"ab", 1}}
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	for c.withinShare(0) {
	}
	s.Tenants = []Tenant{{"b", 1}, {"ab", 1}, {"a", 1}}
	c.reconfigure(s)
	if c.withinShare(2) {
		t.Error("tenant a has its share again")
	}
	if !c.withinShare(0) || !c.withinShare(1) {
		t.Error("the other tenants have no share left")
	}
}
