package choice

import (
	"slices"
	"testing"
	"time"
)

// TestFinalAnswerComesAtItsMargin guards a part of the relay that stores messages elsewhere until
// their final answer is near, and must bring them in neither late nor far too early: no final
// answer comes before FinalAnswerMargin, and one comes with the first Step within it, also when new
// settings changed it meanwhile.
func TestFinalAnswerComesAtItsMargin(t *testing.T) {
	s := settings()
	draining := ready("e", 1, 0, 0)
	draining.State = Draining
	r := newHarness(t, s, draining)
	r.step(Arrival{ID: "first", Class: 0, Dest: 1, Left: 3 * time.Second})
	r.step(Arrival{ID: "second", Class: 0, Dest: 1, Left: 9 * time.Second})
	end := r.now + 3*time.Second
	margin := r.chooser.FinalAnswerMargin()
	r.now = end - margin - 1
	if acts := finalActions(r.step(Woken{})); len(acts) != 0 {
		t.Errorf("answered earlier than %v before the deadline: %v", margin, acts)
	}
	r.now = end - margin
	if acts := finalActions(r.step(Woken{})); len(acts) != 1 {
		t.Errorf("%v before its deadline a message got %v, want one final answer", margin, acts)
	}
	s.Tick *= 20
	r.step(Reconfigured{s})
	if was := margin; r.chooser.FinalAnswerMargin() <= was {
		t.Fatalf("margin %v with ticks 20 times as long, %v before", r.chooser.FinalAnswerMargin(), was)
	}
	margin, end = r.chooser.FinalAnswerMargin(), end+6*time.Second
	r.now = end - margin - 1
	if acts := finalActions(r.step(Woken{})); len(acts) != 0 {
		t.Errorf("answered earlier than the new margin of %v before the deadline: %v", margin, acts)
	}
	r.now = end - margin
	if acts := finalActions(r.step(Woken{})); len(acts) != 1 {
		t.Errorf("%v before its deadline, with new settings, a message got %v, want one final answer", margin, acts)
	}
}

// TestOutagesAreRenamedInDestinationOrder guards against outages that are renamed in the order of a
// list update: they are renamed in the order in which destinations became known, and also when the
// endpoint a unit is named after moved to another destination and is removed there.
func TestOutagesAreRenamedInDestinationOrder(t *testing.T) {
	host := func(addr string, dest int, s State) Host {
		h := ready(addr, dest, 0, 0)
		h.State = s
		return h
	}
	r := newHarness(t, settings(), host("a1", 1, Ready), host("a2", 1, Draining), host("b1", 2, Ready))
	r.step(KnownOutage{"a1", 1}, KnownOutage{"b1", 1})
	outageHosts := func(acts []Action) (out []string) {
		for _, a := range acts {
			if h, ok := a.(Health); ok && h.Unwell {
				out = append(out, h.Host)
			}
		}
		return out
	}
	acts := r.step(ListUpdate{Hosts: []Host{host("b2", 2, Ready), host("b1", 2, Removed), host("a3", 1, Ready),
		host("a1", 1, Removed)}})
	if got := outageHosts(acts); !slices.Equal(got, []string{"a3", "b2"}) {
		t.Errorf("outages recorded under %v, want a3 and b2", got)
	}
	r.step(ListUpdate{Hosts: []Host{host("a3", 1, Removed)}})
	r.now += 30 * time.Second
	r.step(ListUpdate{}) // a3 is forgotten
	r.step(ListUpdate{Hosts: []Host{host("a3", 3, Ready)}})
	r.step(ListUpdate{Hosts: []Host{host("a2", 1, Ready)}})
	if got := outageHosts(r.step(ListUpdate{Hosts: []Host{host("a3", 3, Removed)}})); !slices.Equal(got, []string{"a2"}) {
		t.Errorf("outages recorded under %v, want a2", got)
	}
}

// finalActions returns the final answers among actions.
func finalActions(acts []Action) (out []Action) {
	for _, a := range acts {
		switch a.(type) {
		case Refuse, Fail:
			out = append(out, a)
		}
	}
	return out
}
