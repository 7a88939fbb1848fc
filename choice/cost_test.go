package choice

import (
	"fmt"
	"testing"
	"time"
)

// stepBench is a Chooser with endpoints listed and messages pending, on a clock that the caller
// advances.
type stepBench struct {
	chooser *Chooser
	now     time.Duration
	count   int
	actions []Action
}

// newStepBench lists endpoints of destinations with two each. The pending messages are for the
// first destination, whose endpoints drain, so that they wait; later messages go to others.
func newStepBench(tb testing.TB, fleet, endpoints, pending int) *stepBench {
	tb.Helper()
	s := settings()
	s.Fleet, s.Workers, s.MaxPending, s.ReportLeftIndex, s.ReportLimitIndex = fleet, 8, 2*pending+16, 0, 1
	c, err := New(s, 1)
	if err != nil {
		tb.Fatal(err)
	}
	f := &stepBench{chooser: c, now: time.Hour}
	hosts := make([]Host, endpoints)
	for i := range hosts {
		hosts[i] = ready(fmt.Sprint("e", i), i/2, 0, i%2)
		hosts[i].Rate = 1e6
		if i < 2 {
			hosts[i].State = Draining
		}
	}
	f.step(ListUpdate{Complete: true, Hosts: hosts})
	for i := range pending {
		f.step(Arrival{ID: fmt.Sprint("held", i), Class: 1, Dest: 0, Left: s.Classes[1].Deadline, Tenant: -1})
	}
	return f
}

func (f *stepBench) step(events ...Event) { f.actions = f.chooser.Step(f.now, events) }

// serveNext has one message arrive, be sent and be served, in three Steps of which one is a wake-up
// without events.
func (f *stepBench) serveNext(tb testing.TB) {
	f.count++
	f.now += 100 * time.Microsecond // the pending messages stay far from their deadlines
	id := fmt.Sprint("m", f.count)
	f.step(Arrival{ID: id, Class: 1, Dest: 1 + f.count%14, Left: 10 * time.Second, Tenant: -1})
	var sent Send
	for _, a := range f.actions {
		if s, ok := a.(Send); ok {
			sent = s
		}
	}
	if sent.ID != id {
		tb.Fatalf("message %s was not sent: %v", id, f.actions)
	}
	f.step(Woken{})
	f.step(Result{ID: id, Host: sent.Host, Outcome: Served, Took: 20 * time.Millisecond, Done: true,
		Report: []float64{0.9, 1e6}})
}

// BenchmarkStep measures the decisions for one message: its arrival, a wake-up and its end.
func BenchmarkStep(b *testing.B) {
	for _, fleet := range []int{2, 300} {
		for _, endpoints := range []int{30, 1000} {
			for _, pending := range []int{10, 1000} {
				b.Run(fmt.Sprintf("fleet=%d/endpoints=%d/held=%d", fleet, endpoints, pending), func(b *testing.B) {
					f := newStepBench(b, fleet, endpoints, pending)
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						if i%20000 == 19999 { // before the deadlines of the pending messages
							b.StopTimer()
							f = newStepBench(b, fleet, endpoints, pending)
							b.StartTimer()
						}
						f.serveNext(b)
					}
				})
			}
		}
	}
}

// BenchmarkList measures a complete list that changes nothing.
func BenchmarkList(b *testing.B) {
	for _, endpoints := range []int{30, 1000} {
		b.Run(fmt.Sprint("endpoints=", endpoints), func(b *testing.B) {
			f := newStepBench(b, 300, endpoints, 0)
			hosts := make([]Host, 0, endpoints)
			for _, h := range f.chooser.hosts {
				hosts = append(hosts, h.Host)
			}
			b.ReportAllocs()
			for b.Loop() {
				f.step(ListUpdate{Complete: true, Hosts: hosts})
			}
		})
	}
}

// TestAllocationsDoNotGrowWithListOrPending guards against a message that costs more the more
// endpoints are listed or messages pending elsewhere: a Step checks destinations that have
// messages, not all that are known.
func TestAllocationsDoNotGrowWithListOrPending(t *testing.T) {
	per := func(endpoints, pending int) float64 {
		f := newStepBench(t, 300, endpoints, pending)
		for range 200 {
			f.serveNext(t)
		}
		return testing.AllocsPerRun(500, func() { f.serveNext(t) })
	}
	few := per(30, 10)
	if few > 26 {
		t.Errorf("a message takes %.0f allocations in three Steps, want 26 at most", few)
	}
	if many := per(1000, 10); many > few+1 {
		t.Errorf("a message takes %.0f allocations with 1,000 endpoints and %.0f with 30, want the same", many, few)
	}
	if many := per(30, 1000); many > few+1 {
		t.Errorf("a message takes %.0f allocations with 1,000 messages pending and %.0f with 10, want the same",
			many, few)
	}
}
