package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Benchmarks of how the cost of following the list grows with its size and the size of the fleet, for docs/CAPACITY.md:
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./internal/discovery

// listText returns a full list of so many endpoints, as discovery sends it.
func listText(tb testing.TB, endpoints int) string {
	list := List{Version: 7, Full: true, Servers: []Server{}}
	for i := range endpoints {
		list.Servers = append(list.Servers, Server{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.%d.%d.%d:8443", i>>16&255, i>>8&255, i&255), Zone: "taller",
			Kind: "customer-system", Cell: 100 + i/2, State: "active", Weight: 10})
	}
	data, err := json.Marshal(list)
	if err != nil {
		tb.Fatal(err)
	}
	return string(data)
}

// fixedBody is a transport that answers each call with a text.
type fixedBody string

func (b fixedBody) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(b))), Request: req}, nil
}

// BenchmarkScaleListByEndpoints measures what reading a full list costs per endpoint, without the network: time, bytes of the
// text and bytes allocated. The text may have at most 4 MiB (maxAnswerBytes), so the largest size is near the largest that is
// accepted.
func BenchmarkScaleListByEndpoints(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			body := listText(b, n)
			platform := &Platform{Client: &http.Client{Transport: fixedBody(body)}}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for b.Loop() {
				c := &call{fullList: true}
				if platform.fetch(context.Background(), context.Background(), "discovery", 1, c); c.err != nil || len(c.list.Servers) != n {
					b.Fatal(len(c.list.Servers), c.err)
				}
			}
			runtime.ReadMemStats(&after)
			endpointsRead := float64(b.N * n)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/endpointsRead, "ns/endpoint")
			b.ReportMetric(float64(len(body))/float64(n), "text-B/endpoint")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/endpointsRead, "alloc-B/endpoint")
		})
	}
}

// callRate returns how many calls a fleet makes per second while all are answered, as the mean over a number of drawn pauses.
func callRate(fleetSize, draws int) float64 {
	p := pacer{rand: rand.New(rand.NewPCG(1, uint64(fleetSize)))}
	var total time.Duration
	for range draws {
		total += p.pauseAfterAnswer(Fleet{Size: fleetSize, MaxPollInterval: 10 * time.Second}, 0, 0)
	}
	return float64(fleetSize) * float64(draws) / total.Seconds()
}

// BenchmarkScaleCallsByFleet reports how many calls for the list fleets of several sizes make with a MaxPollInterval of ten
// seconds. The rate is computed from the pauses that the pacer draws, not measured.
func BenchmarkScaleCallsByFleet(b *testing.B) {
	for _, n := range []int{20, 80, 300, 2_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				callRate(n, 100)
			}
			b.ReportMetric(callRate(n, 100_000), "calls/s")
			b.ReportMetric(callRate(n, 100_000)/float64(n), "calls/s/relay")
		})
	}
}

// Guards the benchmarks above against a setup that measures something else: the whole list is read, and the computed rate of calls
// is the fleet's.
func TestScaleBenchmarkSetup(t *testing.T) {
	platform := &Platform{Client: &http.Client{Transport: fixedBody(listText(t, 100))}}
	c := &call{fullList: true}
	platform.fetch(context.Background(), context.Background(), "discovery", 1, c)
	if c.err != nil || len(c.list.Servers) != 100 || c.list.Servers[99].Cell != 149 {
		t.Errorf("%d endpoints, error %v, want 100 endpoints of 50 destinations", len(c.list.Servers), c.err)
	}
	if rate := callRate(20, 10_000); rate < 9 || rate > 12 {
		t.Errorf("20 relays make %.1f calls a second, want about ten", rate)
	}
}
