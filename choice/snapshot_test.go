package choice

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestNextProcessDecidesAlike guards against a relay that forgets in an upgrade what it learnt: the
// next process, given the snapshot and the calls in flight of the one before, decides as that would
// have, on a clock of its own.
func TestNextProcessDecidesAlike(t *testing.T) {
	s := settings()
	hosts := []Host{ready("a", 1, 1, 0), ready("b", 2, 0, 0), ready("c", 3, 2, 0), ready("d", 3, 2, 1)}
	old := newHarness(t, s, hosts...)
	for i := range 300 {
		m := arrival(fmt.Sprint("m", i), 0)
		m.Dest = 1 + i%3
		old.now += 20 * ms
		for _, a := range sends(old.step(m)) {
			o := Served
			if a.Host == "b" && i > 200 {
				o = Error
			}
			old.step(old.result(a.ID, a.Host, o, func(r *Result) { r.Took = time.Duration(20+i%40) * ms }))
		}
	}
	last := arrival("out", 0)
	last.Dest = 3
	got := sends(old.step(last, Arrival{ID: "w", Class: 0, Dest: 1, Left: 9 * time.Second}))
	if len(got) != 2 {
		t.Fatalf("%d sends, want 2", len(got))
	}
	where := map[string]string{got[0].ID: got[0].Host, got[1].ID: got[1].Host}
	old.step(old.result("w", where["w"], Refused, func(r *Result) { r.RetryAfter = 700 * ms }))
	old.now += 50 * ms

	data, err := json.Marshal(old.chooser.Snapshot(old.now))
	if err != nil {
		t.Fatal(err)
	}
	var m Snapshot
	if err := json.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	next := newHarness(t, s, hosts...)
	next.now = 5 * time.Hour
	next.step(m, Restored{Arrival: Arrival{ID: "out", Class: 0, Dest: 3, Left: 9 * time.Second}, Attempts: 1,
		Timeout:  old.chooser.messages["out"].timeout,
		InFlight: &InFlightCall{Host: where["out"], Call: 1, SentAgo: 50 * ms}})
	if next.chooser.inFlight != 1 {
		t.Fatalf("%d slots in use, want one for the resumed call", next.chooser.inFlight)
	}
	if n := next.chooser.hosts["b"].unit.state; n != Suspect {
		t.Errorf("state %d of a unit that failed, want it suspect", n)
	}
	before, after := old.chooser.Snapshot(old.now), next.chooser.Snapshot(next.now)
	if !reflect.DeepEqual(before, after) {
		t.Errorf("snapshot\n%+v\nwant\n%+v", after, before)
	}
	started := next.now
	n := Arrival{ID: "n", Class: 0, Dest: 1, Left: 9 * time.Second}
	for acts := next.step(n); len(sends(acts)) == 0; acts = next.advance(5 * ms) {
		if next.now-started > time.Minute {
			t.Fatal("nothing is sent after the retry-after time")
		}
	}
	if next.now-started < 650*ms {
		t.Errorf("sent %v after the handover, before the retry-after time", next.now-started)
	}
	if acts := next.step(next.result("out", where["out"], Served)); len(finalAnswers(acts)) != 0 ||
		next.chooser.inFlight != 1 {
		t.Errorf("answers %q and %d slots in use after the end of the resumed call", finalAnswers(acts),
			next.chooser.inFlight)
	}
}

// TestDamagedSnapshot guards against a panic on a snapshot that is damaged or of another version.
func TestDamagedSnapshot(t *testing.T) {
	r := newHarness(t, settings(), ready("a", 1, 0, 0))
	r.step(Snapshot{Units: []UnitSnapshot{{Host: "a", State: 9}, {Host: "b"}}, Hosts: []HostSnapshot{{Host: "b"}},
		Dests: []DestSnapshot{{Dest: 9}, {Dest: 1, Table: TableSnapshot{Width: ms, Weight: 1, Count: []float64{1}}}},
		Pool:  TableSnapshot{Width: ms, Weight: 2, Count: []float64{1}, Sum: []float64{1}},
		Luck:  []float64{1, 1, 1, 1, 1}, Shares: []float64{1, 1, 1}}, arrival("m", 0))
	r.step(r.result("m", "a", Served))
	if got := len(sends(r.step(arrival("n", 0)))); got != 1 {
		t.Errorf("%d sends, want 1", got)
	}
}

// TestResumedCallUsesSlotsOfMessageDestination guards against two attempts at once, and against a
// Step without end, where an endpoint moved to another destination while a call to it was in
// flight: the message still waited at its own destination, and was sent and answered as if it were
// not in flight.
func TestResumedCallUsesSlotsOfMessageDestination(t *testing.T) {
	s := settings()
	s.MaxPending = 2
	r := newHarness(t, s, ready("a", 1, 0, 0), ready("moved", 2, 0, 0))
	acts := r.step(Restored{Arrival: Arrival{ID: "out", Class: 0, Dest: 1, Left: 9 * time.Second}, Attempts: 1,
		InFlight: &InFlightCall{Host: "moved", Call: 1, SentAgo: 50 * ms}}, arrival("b", 0), arrival("c", 0))
	for _, a := range sends(acts) {
		if a.ID == "out" {
			t.Errorf("sent %+v while an attempt runs", a)
		}
	}
	if d := r.chooser.dests[2]; d.inFlight != 0 || r.chooser.dests[1].inFlight == 0 {
		t.Errorf("%d calls in flight for the endpoint's destination and %d for the message's, want none and some",
			d.inFlight, r.chooser.dests[1].inFlight)
	}
	r.step(Result{ID: "out", Host: "moved", Outcome: Served, Done: true})
	if r.chooser.dests[1].inFlight < 0 || r.chooser.dests[2].inFlight < 0 {
		t.Errorf("%d and %d calls in flight, want neither below 0", r.chooser.dests[1].inFlight,
			r.chooser.dests[2].inFlight)
	}
}
