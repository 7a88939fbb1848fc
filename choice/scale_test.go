package choice

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// Slopes of the decisions, for docs/CAPACITY.md: each over sizes far enough apart that a curve is told from a line. The
// largest are left out with -short.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./choice

// sizes are those of a benchmark; the last ones are left out with -short.
func benchSizes(long int, all ...int) []int {
	if testing.Short() {
		return all[:len(all)-long]
	}
	return all
}

// heapBytes is what is on it once all garbage is gone.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// scaled is a Chooser that knows so many destinations with two endpoints each and holds so many messages for the first of
// them, whose endpoints drain. What is held comes in one Step and does not run out of time. Held and known are its bytes
// of memory for each of them.
func newScaleBench(tb testing.TB, destinations, messages int) (f *stepBench, held, known float64) {
	tb.Helper()
	before := heapBytes()
	f = newStepBench(tb, 2000, 2*destinations, 0)
	f.chooser.settings.MaxPending, f.chooser.settings.Workers = 4*messages+1000, 16
	listed := heapBytes()
	if messages > 0 {
		all := make([]Event, messages)
		for i := range all {
			all[i] = Arrival{ID: fmt.Sprint("held", i), Class: 1, Dest: 0, Left: time.Hour, Tenant: -1}
		}
		f.step(all...)
		held = (heapBytes() - listed) / float64(messages)
	}
	return f, held, (listed - before) / float64(destinations)
}

// serve has one message for a destination come, go and be served in three Steps, as message does for a few of them.
func (f *stepBench) serveAt(tb testing.TB, dest int) {
	f.count++
	f.now += 100 * time.Microsecond
	id := fmt.Sprint("s", f.count)
	f.step(Arrival{ID: id, Class: 1, Dest: dest, Left: 10 * time.Second, Tenant: -1})
	for _, a := range f.actions {
		if s, ok := a.(Send); ok && s.ID == id {
			f.step(Woken{})
			f.step(Result{ID: id, Host: s.Host, Outcome: Served, Took: 20 * time.Millisecond, Done: true, Report: []float64{0.9, 1e6}})
			return
		}
	}
	tb.Fatalf("message %s was not sent: %v", id, f.actions)
}

// BenchmarkScaleDecisionsByHeld is what one message costs the decisions while others wait that cannot go.
func BenchmarkScaleDecisionsByHeld(b *testing.B) {
	for _, n := range benchSizes(2, 100, 1_000, 10_000, 100_000, 1_000_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, held, _ := newScaleBench(b, 15, n)
			for b.Loop() {
				f.serveNext(b)
			}
			b.ReportMetric(held, "B/held")
		})
	}
}

// BenchmarkScaleDecisionsByKnown is what one message costs while other destinations are known, and what each of them takes.
func BenchmarkScaleDecisionsByKnown(b *testing.B) {
	for _, n := range benchSizes(2, 1_000, 10_000, 100_000, 380_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _, known := newScaleBench(b, n, 0)
			for b.Loop() {
				f.serveNext(b)
			}
			b.ReportMetric(known, "B/known")
		})
	}
}

// BenchmarkScaleDecisionsByCalled is what one message costs where each goes to the next of so many destinations, all of them
// called before, and what a destination takes beyond what it does when it is known only.
func BenchmarkScaleDecisionsByCalled(b *testing.B) {
	for _, n := range benchSizes(1, 100, 1_000, 10_000, 100_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _, _ := newScaleBench(b, n+1, 0)
			before := heapBytes()
			for i := range n {
				f.serveAt(b, 1+i)
			}
			f.now += 10 * time.Second // windows of what was sent are over
			f.step(Woken{})
			called := (heapBytes() - before) / float64(n)
			for i := 0; b.Loop(); i++ {
				f.serveAt(b, 1+i%n)
			}
			b.ReportMetric(called, "B/called")
		})
	}
}

// change is one endpoint of the list with another rate.
func (f *stepBench) changedHost(i, endpoints int) Host {
	at := 2 + i%(endpoints-2)
	h := ready(fmt.Sprint("e", at), at/2, 0, at%2)
	h.Rate = 1e6 + float64(i%7)
	return h
}

// BenchmarkScaleChangeByKnown is what news of one endpoint costs where so many destinations are known.
func BenchmarkScaleChangeByKnown(b *testing.B) {
	for _, n := range benchSizes(2, 1_000, 10_000, 100_000, 380_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _, _ := newScaleBench(b, n, 0)
			for i := 0; b.Loop(); i++ {
				f.now += time.Millisecond
				f.step(ListUpdate{Hosts: []Host{f.changedHost(i, 2*n)}})
			}
		})
	}
}

// BenchmarkScaleChangeByEndpoints is what news of so many endpoints at once costs, of 10,000 destinations.
func BenchmarkScaleChangeByEndpoints(b *testing.B) {
	const known = 10_000
	for _, n := range []int{1, 10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _, _ := newScaleBench(b, known, 0)
			hosts := make([]Host, n)
			for i := 0; b.Loop(); i++ {
				f.now += time.Millisecond
				for j := range hosts {
					hosts[j] = f.changedHost(i+j, 2*known)
				}
				f.step(ListUpdate{Hosts: hosts})
			}
		})
	}
}

// BenchmarkScaleListByEndpoints is what a whole list of so many endpoints costs that says nothing new.
func BenchmarkScaleListByEndpoints(b *testing.B) {
	for _, n := range benchSizes(1, 200, 2_000, 20_000, 200_000, 760_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _, _ := newScaleBench(b, n/2, 0)
			hosts := make([]Host, n)
			for i := range hosts {
				hosts[i] = f.chooser.hosts[fmt.Sprint("e", i)].Host
			}
			for b.Loop() {
				f.step(ListUpdate{Complete: true, Hosts: hosts})
			}
		})
	}
}

// Guards the benchmarks above: what they set up is what they say, at the smallest size of each.
func TestScaleSetup(t *testing.T) {
	f, _, _ := newScaleBench(t, 15, 100)
	f.serveNext(t)
	if f.chooser.pending != 100 {
		t.Errorf("%d messages held, want 100", f.chooser.pending)
	}
	for i := range 100 {
		f.step(Withdrawn{fmt.Sprint("held", i)})
	}
	if f.chooser.pending != 0 {
		t.Errorf("%d messages held after those that were to wait are withdrawn, want none", f.chooser.pending)
	}
	f, _, _ = newScaleBench(t, 101, 0)
	for i := range 200 {
		f.serveAt(t, 1+i%100)
	}
	if n := len(f.chooser.hosts); n != 202 || f.chooser.pending != 0 {
		t.Errorf("%d endpoints known and %d messages held, want 202 and none", n, f.chooser.pending)
	}
	for i := range 100 {
		if tab := &f.chooser.dests[1+i].latencies; tab.counts == nil || tab.samples != 2 {
			t.Fatalf("destination %d has %v samples of its latency, want 2", 1+i, tab.samples)
		}
	}
	h := f.changedHost(5, 202)
	f.step(ListUpdate{Hosts: []Host{h}})
	if got := f.chooser.hosts[h.Addr]; got == nil || got.Host != h || got.unit.listedRate != h.Rate {
		t.Errorf("the change of %v left %+v", h, got)
	}
	for _, h := range f.chooser.hosts {
		if h.State == Removed {
			t.Errorf("%s has gone with a change of another", h.Addr)
		}
	}
}
