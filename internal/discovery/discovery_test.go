package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a malformed list that removes all endpoints, or has messages sent to an endpoint without an address.
func TestMalformedListIsRejected(t *testing.T) {
	entry := `{"id":"s-1","addr":"127.0.0.1:1","kind":"m","cell":3,"state":"active"}`
	for body, valid := range map[string]bool{
		`{"version":2,"full":true,"servers":[` + entry + `]}`:                                         true,
		`{"version":2,"full":true,"servers":[]}`:                                                      true,
		`{"version":2,"full":false}`:                                                                  true,
		`{"version":2,"full":false,"servers":[{"id":"s-1","state":"left"}]}`:                          true,
		`{"version":2,"full":true}`:                                                                   false,
		`{"version":2,"full":true,"servers":[` + entry:                                                false,
		`{"version":2,"full":false,"servers":[` + strings.Replace(entry, "s-1", "", 1) + `]}`:         false,
		`{"version":2,"full":false,"servers":[` + strings.Replace(entry, "127.0.0.1:1", "", 1) + `]}`: false,
		`{"version":2,"full":false,"servers":[` + strings.Replace(entry, "active", "odd", 1) + `]}`:   false,
		`nothing`: false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
		platform := &Platform{Client: http.DefaultClient}
		c := &call{fullList: true}
		platform.fetch(context.Background(), context.Background(), server.Listener.Addr().String(), 1, c)
		server.Close()
		if (c.err == nil) != valid {
			t.Errorf("%s: error is %v", body, c.err)
		}
	}
}

// fixedAnswer is a discovery that gives the same answer to each call, at once.
type fixedAnswer struct {
	body   string
	calls  int
	cancel func() // called at the 1000th call, to end a test that would not end by itself
}

func (a *fixedAnswer) RoundTrip(*http.Request) (*http.Response, error) {
	if a.calls++; a.calls >= 1000 {
		a.cancel()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(a.body))}, nil
}

// Guards against a relay that uses up its core with calls to a discovery that answers watches without waiting for a change.
func TestImmediateWatchAnswersArePaced(t *testing.T) {
	for _, body := range []string{`{"version":1,"servers":[]}`, `{"version":0,"servers":[]}`} {
		synctest.Test(t, func(t *testing.T) {
			transport := &fixedAnswer{body: body}
			platform := &Platform{Client: &http.Client{Transport: transport}, Address: NewAddress("discovery:1"), Fleet: func() Fleet { return Fleet{Size: 2} }, Version: 1}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			transport.cancel = cancel
			platform.Follow(ctx, func(List) {})
			if limit := int(2*time.Second/minPause) + 1; transport.calls > limit {
				t.Errorf("%s: %d calls in a second, want at most %d", body, transport.calls, limit)
			}
		})
	}
}

// countingDiscovery is a discovery that counts the calls of a fleet by the second.
type countingDiscovery struct {
	mu            sync.Mutex
	startedAt     time.Time
	body          string // of each answer; if empty, each call is answered with status 503
	callsBySecond map[int]int
	watches       int // calls for changes
}

func (d *countingDiscovery) RoundTrip(req *http.Request) (*http.Response, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callsBySecond[int(time.Since(d.startedAt)/time.Second)]++
	if req.URL.Query().Has("since") {
		d.watches++
	}
	status := http.StatusOK
	if d.body == "" {
		status = http.StatusServiceUnavailable
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(d.body))}, nil
}

// followAll runs the followers of a fleet that start together against one discovery for a duration. It returns how many lists
// all of them applied.
func followAll(discovery *countingDiscovery, fleetSize int, duration time.Duration) (applied int) {
	discovery.startedAt, discovery.callsBySecond = time.Now(), map[int]int{}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var relays sync.WaitGroup
	for i := range fleetSize {
		platform := &Platform{Client: &http.Client{Transport: discovery}, Address: NewAddress("discovery:1"), Seed: uint64(i), HasList: true,
			Fleet: func() Fleet { return Fleet{fleetSize, 10 * time.Second} }}
		relays.Go(func() {
			lists := 0
			platform.Follow(ctx, func(List) { lists++ })
			discovery.mu.Lock()
			defer discovery.mu.Unlock()
			applied += lists
		})
	}
	relays.Wait()
	return applied
}

// Guards against a fleet that starts together and calls in step, and against retries that keep discovery overloaded. While calls
// are answered, a large fleet must not call more often than a small one. While none is, a quarter of the fleet may call each
// second in the mean, which is what receiving a change within NotifiedAfter takes.
func TestFleetSpreadsItsCalls(t *testing.T) {
	for name, body := range map[string]string{"overbooked": "", "well": `{"version":3,"full":true,"servers":[]}`} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				discovery := &countingDiscovery{body: body}
				applied := followAll(discovery, 80, 30*time.Second)
				limit, total := 25, 0
				if body == "" {
					limit = 80 * 2 / 5
				}
				for second, n := range discovery.callsBySecond {
					if total += n; n > limit {
						t.Errorf("%d calls in second %d, want at most %d", n, second, limit)
					}
				}
				if total > 30*80/4+80 {
					t.Errorf("%d calls in 30 seconds, want at most %d", total, 30*80/4+80)
				}
				for second := range 27 {
					if discovery.callsBySecond[second]+discovery.callsBySecond[second+1]+discovery.callsBySecond[second+2] == 0 {
						t.Errorf("no calls in the three seconds from second %d on: no relay receives a change", second)
					}
				}
				if discovery.watches > 0 {
					t.Errorf("%d watches, which so large a fleet cannot renew in time", discovery.watches)
				}
				if body != "" && applied != 80 {
					t.Errorf("the same list was applied %d times by 80 relays, want once by each", applied)
				}
			})
		})
	}
}

// Guards against a small fleet that receives changes late: it has to watch, and to renew each watch at once.
func TestSmallFleetRenewsWatchesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		discovery := &countingDiscovery{body: `{"version":3,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"active"}]}`}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		discovery.startedAt, discovery.callsBySecond = time.Now(), map[int]int{}
		platform := &Platform{Client: &http.Client{Transport: discovery}, Address: NewAddress("discovery:1"), Fleet: func() Fleet { return Fleet{2, 10 * time.Second} }}
		lists := make(chan List)
		go platform.Follow(ctx, func(l List) {
			select {
			case lists <- l:
			case <-ctx.Done():
			}
		})
		for range 100 { // the clock of synctest advances only if the follower pauses
			<-lists
		}
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		if elapsed := time.Since(discovery.startedAt); elapsed > 100*time.Millisecond || discovery.watches < 99 {
			t.Errorf("100 changes took %v and %d watches, want each watch renewed at once", elapsed, discovery.watches)
		}
	})
}
