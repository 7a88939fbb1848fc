package choice

import (
	"fmt"
	"testing"
	"time"
)

func TestRestoredMessage(t *testing.T) {
	a, b := Host{Addr: "a", Dest: 1, Kind: 2, Zone: 0, State: Ready},
		Host{Addr: "b", Dest: 1, Kind: 2, Zone: 1, State: Ready}
	for name, c := range map[string]struct {
		class    int
		attempts int
		ran      bool
		ago      time.Duration
		left     time.Duration
		want     string
	}{
		"safe goes again":                 {0, 1, true, time.Second, 5 * time.Second, "send"},
		"keyed goes again to its zone":    {1, 1, true, time.Second, 5 * time.Second, "send b"},
		"keyed past its window fails":     {1, 1, true, 4 * time.Second, 5 * time.Second, "fail"},
		"unsafe that may have run fails":  {2, 1, true, time.Second, 5 * time.Second, "fail"},
		"unsafe that never ran goes":      {2, 1, false, 0, 5 * time.Second, "send"},
		"without attempts left, refused":  {0, 4, true, time.Second, 5 * time.Second, "refuse"},
		"out of time, never ran: refused": {2, 0, false, 0, -time.Second, "refuse"},
		"out of time, may have run":       {1, 1, true, time.Second, -time.Second, "fail"},
	} {
		r := newHarness(t, settings(), a, b)
		acts := r.step(Restored{Arrival: Arrival{ID: "m", Class: c.class, Dest: 1, Left: c.left}, Attempts: c.attempts,
			MayHaveRun: c.ran, FirstRunAgo: c.ago, FirstRunZone: 1})
		got := "nothing"
		for _, x := range acts {
			switch x := x.(type) {
			case Send:
				got = "send"
				if c.want == "send b" {
					got += " " + x.Host
				}
			case Fail:
				got = "fail"
			case Refuse:
				got = "refuse"
			}
		}
		if got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

func TestRestoredCountsAttempts(t *testing.T) {
	r := newHarness(t, settings(), Host{Addr: "a", Dest: 1, State: Ready})
	acts := r.step(Restored{Arrival: Arrival{ID: "m", Class: 0, Dest: 1, Left: 9 * time.Second}, Attempts: 3})
	if len(sends(acts)) != 1 {
		t.Fatalf("actions %v, want the last attempt", acts)
	}
	for _, x := range append(r.step(r.result("m", "a", Error)), r.advance(time.Second)...) {
		if _, again := x.(Send); again {
			t.Fatal("sent a fifth time, want at most four")
		}
	}
}

// TestKnownOutageGetsSingleTrials guards against a relay that forgets in a restart that a
// destination is cold.
func TestKnownOutageGetsSingleTrials(t *testing.T) {
	hosts := []Host{{Addr: "a", Dest: 1, State: Ready}}
	arrivals := func() (all []Event) {
		for _, id := range []string{"m1", "m2", "m3"} {
			all = append(all, Restored{Arrival: Arrival{ID: id, Class: 0, Dest: 1, Left: 9 * time.Second}})
		}
		return all
	}
	if n := len(sends(newHarness(t, settings(), hosts...).step(arrivals()...))); n < 2 {
		t.Fatalf("a healthy destination got %d calls at once, want several", n)
	}
	r := newHarness(t, settings(), hosts...)
	got := sends(r.step(append(arrivals(), KnownOutage{Host: "a", BaseRate: 5}, KnownOutage{Host: "unknown"})...))
	if len(got) > 1 {
		t.Fatalf("%d calls at once to a destination in an outage, want one at most", len(got))
	}
	for len(got) == 0 {
		got = sends(r.advance(5 * ms))
	}
	r.step(r.result(got[0].ID, "a", Served))
	if s := r.chooser.hosts["a"].unit.state; s != Recovering {
		t.Fatalf("state %d after one answer, want it to recover within its budget", s)
	}
}

// TestRetryAfterWithAnyOutcome checks that a retry-after time applies with an answer that is no
// refusal, too.
func TestRetryAfterWithAnyOutcome(t *testing.T) {
	r := newHarness(t, settings(), Host{Addr: "a", Dest: 1, State: Ready})
	r.step(Arrival{ID: "m1", Class: 0, Dest: 1, Left: 9 * time.Second})
	r.step(r.result("m1", "a", Served, func(e *Result) { e.RetryAfter = 300 * ms }))
	started := r.now
	acts := r.step(Arrival{ID: "m2", Class: 0, Dest: 1, Left: 9 * time.Second})
	for len(sends(acts)) == 0 {
		acts = r.advance(5 * ms)
	}
	if r.now-started < 300*ms {
		t.Fatalf("sent %v after an answer with a retry-after time of 300 ms", r.now-started)
	}
}

// TestRefuseCarriesRemainingWait checks that a refusal for a destination that asked to wait says
// when that wait is over.
func TestRefuseCarriesRemainingWait(t *testing.T) {
	s := settings()
	s.MaxPending = 2
	r := newHarness(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	r.step(Arrival{ID: "m1", Class: 0, Dest: 1, Left: 9 * time.Second})
	acts := r.step(r.result("m1", "a", Refused, func(e *Result) { e.RetryAfter = 1500 * ms }))
	for _, x := range append(acts, r.step(Arrival{ID: "m2", Class: 0, Dest: 1, Left: 9 * time.Second})...) {
		if f, ok := x.(Refuse); ok {
			if f.After < 1500*ms || f.After > 3*time.Second {
				t.Fatalf("retry after %v, want the rest of the wait", f.After)
			}
			return
		}
	}
	t.Fatal("nothing was refused")
}

// TestOutageIsRecordedUnderAListedEndpoint guards against a relay that restarts and floods a cold
// destination because the outage was recorded under an endpoint that has been replaced.
func TestOutageIsRecordedUnderAListedEndpoint(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	for i := range 3 {
		id := fmt.Sprint("m", i)
		r.step(arrival(id, 0))
		r.step(r.result(id, "a", Error))
		r.advance(100 * ms)
	}
	gone := ready("a", 1, 0, 0)
	gone.State = Removed
	unwell := map[string]bool{"a": true}
	for _, a := range r.step(ListUpdate{Hosts: []Host{gone, ready("b", 1, 0, 0)}}) {
		if h, ok := a.(Health); ok {
			unwell[h.Host] = h.Unwell
		}
	}
	if !unwell["b"] || unwell["a"] {
		t.Errorf("recorded outages: %v, want b alone", unwell)
	}
}

// TestUnsentRestoredMessagesAreNotEvicted guards against messages accepted before a restart and
// never tried that are evicted for lack of space: the limit may be lower than before, and the first
// Step would evict all beyond it.
func TestUnsentRestoredMessagesAreNotEvicted(t *testing.T) {
	s := settings()
	s.MaxPending, s.Workers = 10, 4
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	events := []Event{ListUpdate{Complete: true, Hosts: []Host{ready("a", 1, 0, 0)}}}
	for i := range 40 {
		events = append(events, Restored{Arrival: Arrival{ID: fmt.Sprint(i), Dest: 1, Left: 9 * time.Second}})
	}
	events = append(events, Arrival{ID: "new", Dest: 1, Left: 9 * time.Second})
	acts := c.Step(0, events)
	if got := finalAnswers(acts); got != "refuse new;" {
		t.Errorf("answers %q, want the new one refused alone", got)
	}
	tried, now := map[string]bool{}, time.Duration(0)
	for range 1000 {
		var next []Event
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				tried[a.ID] = true
				next = append(next, Result{ID: a.ID, Host: a.Host, Outcome: Served, Took: 10 * ms, Done: true})
			case Refuse:
				if a.ID != "new" && !tried[a.ID] {
					t.Fatalf("%s is refused without an attempt", a.ID)
				}
			}
		}
		now += 10 * ms
		acts = c.Step(now, append(next, Woken{}))
	}
	if len(tried) != 40 {
		t.Errorf("%d messages were tried, want all 40", len(tried))
	}
}
