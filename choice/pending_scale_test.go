package choice

import (
	"fmt"
	"testing"
	"time"
)

// Benchmarks of the decisions by the number of pending messages and of listed destinations.
// Destinations from 0 on are down and have messages pending; the others serve messages.

// healthyDests is the number of destinations that serve messages in these benchmarks.
const healthyDests = 14

// newPendingBench lists destinations of two endpoints each: first those that are down, each with
// the given number of pending messages whose deadlines are far beyond the benchmark, then
// healthyDests and others that are up.
func newPendingBench(tb testing.TB, down, pending, listed int, condition string) *stepBench {
	tb.Helper()
	s := settings()
	s.Fleet, s.Workers, s.MaxPending, s.ReportLeftIndex, s.ReportLimitIndex = 300, 8, 2*down*pending+200000, 0, 1
	s.Classes[1].Deadline, s.Classes[2].Deadline = 1000*time.Hour, 1000*time.Hour
	class := 1
	if condition == "unsafe" {
		class = 2
	}
	c, err := New(s, 1)
	if err != nil {
		tb.Fatal(err)
	}
	f := &stepBench{chooser: c, now: time.Hour}
	hosts := make([]Host, 0, 2*(down+healthyDests+listed))
	var notices []Event
	for d := range down + healthyDests + listed {
		for i := range 2 {
			h := ready(fmt.Sprint("e", d, "-", i), d, 0, i)
			h.Rate = 1e6
			if d < down && condition == "draining" {
				h.State = Draining
			}
			if d < down && condition == "slow" {
				h.Rate = 20
			}
			hosts = append(hosts, h)
		}
		switch {
		case d >= down:
		case condition == "told":
			notices = append(notices, RetryAfter{hosts[2*d].Addr, time.Hour})
		case condition == "suspect" || condition == "slow" || condition == "unsafe":
			notices = append(notices, KnownOutage{hosts[2*d].Addr, 1})
		}
	}
	f.step(ListUpdate{Complete: true, Hosts: hosts})
	f.step(notices...)
	var arrivals []Event
	for d := range down {
		for i := range pending {
			arrivals = append(arrivals, Arrival{ID: fmt.Sprint("held", d, "-", i), Class: class, Dest: d,
				Left: s.Classes[1].Deadline, Tenant: -1})
		}
	}
	if f.step(arrivals...); condition == "unsafe" { // trials fall due, and no message may be a trial
		f.now += 30 * time.Second
	}
	return f
}

// serveHealthy has one message arrive, be sent and be served, in three Steps of which one is a
// wake-up.
func (f *stepBench) serveHealthy(tb testing.TB, down int) {
	f.count++
	f.now += time.Microsecond // no trial falls due
	id := fmt.Sprint("m", f.count)
	f.step(Arrival{ID: id, Class: 0, Dest: down + f.count%healthyDests, Left: 10 * time.Second, Tenant: -1})
	if len(f.actions) == 0 {
		tb.Fatalf("message %s was not sent", id)
	}
	sent, ok := f.actions[0].(Send)
	if !ok || sent.ID != id {
		tb.Fatalf("message %s was not sent: %v", id, f.actions)
	}
	f.step(Woken{})
	f.step(Result{ID: id, Host: sent.Host, Outcome: Served, Took: 20 * ms, Done: true, Report: []float64{0.9, 1e6}})
}

// BenchmarkScaleHeld measures the decisions for a message, its arrival, a wake-up and its end,
// while others are pending for one destination that is down, or one each for as many. These drain,
// asked to wait, or are in an outage between two trials. In "slow" the outage is of destinations
// whose pace is far from steady; in "unsafe" trials are due, but no waiting message may be a trial.
func BenchmarkScaleHeld(b *testing.B) {
	for _, condition := range []string{"draining", "told", "suspect", "slow", "unsafe"} {
		for _, many := range []bool{false, true} {
			for _, pending := range []int{100, 1000, 10000, 100000} {
				if condition == "unsafe" && many && pending > 1000 {
					continue // not flat: destinations with a trial due are checked in each Step, 3 us each
				}
				down, each, at := 1, pending, "one"
				if many {
					down, each, at = pending, 1, "many"
				}
				b.Run(fmt.Sprintf("%s/at=%s/held=%d", condition, at, pending), func(b *testing.B) {
					f := newPendingBench(b, down, each, 0, condition)
					for range 200 {
						f.serveHealthy(b, down)
					}
					b.ReportAllocs()
					for b.Loop() {
						f.serveHealthy(b, down)
					}
				})
			}
		}
	}
}

// BenchmarkScaleQueue measures a Step while many messages wait for a destination that is up: the
// calls that its share of the slots allows end, and as many messages arrive and are sent.
func BenchmarkScaleQueue(b *testing.B) {
	for _, pending := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprint("held=", pending), func(b *testing.B) {
			f := newPendingBench(b, 1, pending, 0, "up")
			for b.Loop() {
				f.now += 10 * ms
				var events []Event
				for _, a := range f.actions {
					if s, ok := a.(Send); ok {
						f.count++
						events = append(events, Result{ID: s.ID, Host: s.Host, Outcome: Served, Took: 5 * ms, Done: true},
							Arrival{ID: fmt.Sprint("m", f.count), Class: 1, Dest: 0, Left: time.Hour, Tenant: -1})
					}
				}
				if len(events) == 0 {
					b.Fatal("nothing was sent")
				}
				f.step(events...)
			}
		})
	}
}

// BenchmarkScaleCrowded measures a message that displaces another while too many are pending.
func BenchmarkScaleCrowded(b *testing.B) {
	for _, pending := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprint("held=", pending), func(b *testing.B) {
			f := newPendingBench(b, 1, pending, 0, "told")
			f.chooser.settings.MaxPending = pending * 10 / 9 // each arrival has one message refused
			for b.Loop() {
				f.count++
				f.now += time.Microsecond
				f.step(Arrival{ID: fmt.Sprint("m", f.count), Class: 1, Dest: 0, Left: time.Hour, Tenant: -1})
			}
		})
	}
}

// BenchmarkScaleChange measures the change of one endpoint.
func BenchmarkScaleChange(b *testing.B) {
	for _, listed := range []int{1000, 10000, 100000, 380000} {
		b.Run(fmt.Sprint("destinations=", listed), func(b *testing.B) {
			f := newPendingBench(b, 0, 0, listed, "")
			h := ready("changes", listed/2, 0, 0)
			h.Rate = 1e6
			b.ReportAllocs()
			for b.Loop() {
				h.State = Ready
				f.step(ListUpdate{Hosts: []Host{h}})
				h.State = Removed
				f.step(ListUpdate{Hosts: []Host{h}})
			}
		})
	}
}

// BenchmarkScaleTakeOn measures accepting messages for one destination that is down, one in a Step,
// until the given number is pending.
func BenchmarkScaleTakeOn(b *testing.B) {
	for _, pending := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprint("messages=", pending), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f := newPendingBench(b, 1, 0, 0, "suspect")
				for i := range pending {
					f.step(Arrival{ID: fmt.Sprint("m", i), Class: 1, Dest: 0, Left: time.Hour, Tenant: -1})
				}
			}
		})
	}
}

// TestScaleBenchmarkSetup checks that the benchmarks set up what their names say.
func TestScaleBenchmarkSetup(t *testing.T) {
	for _, condition := range []string{"draining", "told", "suspect", "slow", "unsafe"} {
		f := newPendingBench(t, 3, 20, 5, condition)
		for range 50 {
			f.serveHealthy(t, 3)
		}
		if f.chooser.pending != 60 {
			t.Errorf("%s: %d messages pending, want 60 for the destinations that are down", condition, f.chooser.pending)
		}
	}
}
