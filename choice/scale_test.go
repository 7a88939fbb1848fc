package choice

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// Benchmarks of how the cost of decisions grows, for docs/CAPACITY.md. Their sizes are far enough
// apart to tell a curve from a line; the largest are left out with -short.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./choice

// benchSizes returns the sizes of a benchmark, with -short without the last ones.
func benchSizes(long int, all ...int) []int {
	if testing.Short() {
		return all[:len(all)-long]
	}
	return all
}

// heapBytes returns the size of the heap after garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// newScaleBench returns a Chooser that knows the given number of destinations with two endpoints
// each. The given number of messages is pending for the first destination, whose endpoints drain;
// they arrive in one Step and do not reach their deadlines. It also returns the bytes of memory for
// each message and for each destination.
func newScaleBench(tb testing.TB, destinations, messages int) (f *stepBench, bytesPerMessage, bytesPerDest float64) {
	tb.Helper()
	before := heapBytes()
	f = newStepBench(tb, 2000, 2*destinations, 0)
	f.chooser.settings.MaxPending, f.chooser.settings.Workers = 4*messages+1000, 16
	heapWithList := heapBytes()
	if messages > 0 {
		all := make([]Event, messages)
		for i := range all {
			all[i] = Arrival{ID: fmt.Sprint("held", i), Class: 1, Dest: 0, Left: time.Hour, Tenant: -1}
		}
		f.step(all...)
		bytesPerMessage = (heapBytes() - heapWithList) / float64(messages)
	}
	return f, bytesPerMessage, (heapWithList - before) / float64(destinations)
}

// serveAt has one message for a destination arrive, be sent and be served in three Steps.
func (f *stepBench) serveAt(tb testing.TB, dest int) {
	f.count++
	f.now += 100 * time.Microsecond
	id := fmt.Sprint("s", f.count)
	f.step(Arrival{ID: id, Class: 1, Dest: dest, Left: 10 * time.Second, Tenant: -1})
	for _, a := range f.actions {
		if s, ok := a.(Send); ok && s.ID == id {
			f.step(Woken{})
			f.step(Result{ID: id, Host: s.Host, Outcome: Served, Took: 20 * time.Millisecond, Done: true,
				Report: []float64{0.9, 1e6}})
			return
		}
	}
	tb.Fatalf("message %s was not sent: %v", id, f.actions)
}

// BenchmarkScaleDecisionsByHeld measures the decisions for one message while others wait that
// cannot be sent.
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

// BenchmarkScaleDecisionsByKnown measures one message while other destinations are known, and the
// memory for each of these.
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

// BenchmarkScaleDecisionsByCalled measures one message where each goes to the next of the given
// number of destinations, all called before, and the memory that a called destination needs beyond
// one that is only known.
func BenchmarkScaleDecisionsByCalled(b *testing.B) {
	for _, n := range benchSizes(1, 100, 1_000, 10_000, 100_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _, _ := newScaleBench(b, n+1, 0)
			before := heapBytes()
			for i := range n {
				f.serveAt(b, 1+i)
			}
			f.now += 10 * time.Second // the windows of earlier calls are over
			f.step(Woken{})
			called := (heapBytes() - before) / float64(n)
			for i := 0; b.Loop(); i++ {
				f.serveAt(b, 1+i%n)
			}
			b.ReportMetric(called, "B/called")
		})
	}
}

// changedHost returns one listed endpoint with another rate.
func (f *stepBench) changedHost(i, endpoints int) Host {
	at := 2 + i%(endpoints-2)
	h := ready(fmt.Sprint("e", at), at/2, 0, at%2)
	h.Rate = 1e6 + float64(i%7)
	return h
}

// BenchmarkScaleChangeByKnown measures an update of one endpoint while the given number of
// destinations is known.
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

// BenchmarkScaleChangeByEndpoints measures an update of the given number of endpoints at once, of
// 10,000 destinations.
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

// BenchmarkScaleListByEndpoints measures a complete list of the given number of endpoints that
// changes nothing.
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

// TestScaleSetup checks that the benchmarks above set up what they say, at the smallest size of
// each.
func TestScaleSetup(t *testing.T) {
	f, _, _ := newScaleBench(t, 15, 100)
	f.serveNext(t)
	if f.chooser.pending != 100 {
		t.Errorf("%d messages pending, want 100", f.chooser.pending)
	}
	for i := range 100 {
		f.step(Withdrawn{fmt.Sprint("held", i)})
	}
	if f.chooser.pending != 0 {
		t.Errorf("%d messages pending after all are withdrawn, want none", f.chooser.pending)
	}
	f, _, _ = newScaleBench(t, 101, 0)
	for i := range 200 {
		f.serveAt(t, 1+i%100)
	}
	if n := len(f.chooser.hosts); n != 202 || f.chooser.pending != 0 {
		t.Errorf("%d endpoints known and %d messages pending, want 202 and none", n, f.chooser.pending)
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
			t.Errorf("%s was removed by a change of another", h.Addr)
		}
	}
}
