package discovery

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// silentDiscovery is a discovery whose first watch falls silent: it is neither answered nor ended.
type silentDiscovery struct {
	mu          sync.Mutex
	startedAt   time.Time
	watchStarts []time.Duration // since startedAt
}

func (d *silentDiscovery) RoundTrip(req *http.Request) (*http.Response, error) {
	d.mu.Lock()
	watch := strings.Contains(req.URL.RawQuery, "since=")
	if watch {
		d.watchStarts = append(d.watchStarts, time.Since(d.startedAt))
	}
	silent := watch && len(d.watchStarts) == 1
	d.mu.Unlock()
	if silent {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	body := "{\n  \"version\": 4,\n  \"full\": true,\n  \"servers\": [\n    {\"id\": \"s-1\", \"addr\": \"127.0.0.1:1\",\n     \"state\": \"leaving\"}\n  ]\n}\n"
	if !watch {
		body = strings.NewReplacer("leaving", "active", "4", "3").Replace(body)
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Request: req}, nil
}

// Guards against a relay that keeps waiting on a watch that has fallen silent. A change that it misses counts as notified 6 s
// later, or 2 s after the end of that watch's wait if that is later, so another call must have received it by then. The lists
// here are indented, which discovery may do.
func TestSilentWatchIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		discovery := &silentDiscovery{startedAt: time.Now()}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		platform := &Platform{Client: &http.Client{Transport: discovery}, Address: NewAddress("discovery:1"), Fleet: func() Fleet { return Fleet{3, 10 * time.Second} }}
		received := make(chan time.Duration, 1)
		go platform.Follow(ctx, func(l List) {
			if len(l.Servers) == 1 && l.Servers[0].State == "leaving" {
				select {
				case received <- time.Since(discovery.startedAt):
				default:
				}
			}
		})
		var receivedAt time.Duration
		select {
		case receivedAt = <-received:
		case <-time.After(time.Minute):
			t.Fatal("the change is never received")
		}
		discovery.mu.Lock()
		silentSince := discovery.watchStarts[0]
		discovery.mu.Unlock()
		if limit := max(6*time.Second, watchWait+2*time.Second); receivedAt > silentSince+limit {
			t.Errorf("a change made when the watch fell silent is received after %v, and counts as notified after %v", receivedAt-silentSince, limit)
		}
	})
}
