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

// Slopes of the follower of the list, for docs/CAPACITY.md. The largest sizes are left out with -short.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./internal/discovery

// text is a whole list of so many endpoints, as discovery sends it.
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

// saying answers each call with a text.
type fixedBody string

func (b fixedBody) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(b))), Request: req}, nil
}

// BenchmarkScaleListByEndpoints is what a follower takes to read a whole list of so many endpoints, without the network: time,
// bytes of the text, and what is allocated. The text may have 4 MiB at the most, so the largest size is near the last that
// can be taken.
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

// rate is how many calls for the list a fleet of so many relays makes in a second, in the mean, while all are answered.
func callRate(fleetSize, draws int) float64 {
	p := pacer{rand: rand.New(rand.NewPCG(1, uint64(fleetSize)))}
	var total time.Duration
	for range draws {
		total += p.pauseAfterAnswer(Fleet{Size: fleetSize, MaxPollInterval: 10 * time.Second}, 0, 0)
	}
	return float64(fleetSize) * float64(draws) / total.Seconds()
}

// BenchmarkScaleCallsByFleet is how many calls for the list come to discovery from fleets of so many relays whose settings have
// each ask within ten seconds. It is counted, not measured: by the pauses that the follower draws.
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

// Guards the benchmarks above: a list is read whole, and a fleet's calls are counted as they come.
func TestScaleBenchmarkSetup(t *testing.T) {
	platform := &Platform{Client: &http.Client{Transport: fixedBody(listText(t, 100))}}
	c := &call{fullList: true}
	platform.fetch(context.Background(), context.Background(), "discovery", 1, c)
	if c.err != nil || len(c.list.Servers) != 100 || c.list.Servers[99].Cell != 149 {
		t.Errorf("%d endpoints, %v, want 100 of 50 destinations", len(c.list.Servers), c.err)
	}
	if rate := callRate(20, 10_000); rate < 9 || rate > 12 {
		t.Errorf("20 relays call %.1f times a second, want about ten", rate)
	}
}
