package discovery

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failingDiscovery is a discovery whose calls fail in one way for some time. The list has version 5 until that time ends, and
// version 6 from then on.
type failingDiscovery struct {
	mu            sync.Mutex
	startedAt     time.Time
	failFrom      time.Duration // calls fail from this time after startedAt on
	failUntil     time.Duration
	fail          func(*http.Request) (*http.Response, error)
	rand          *rand.Rand
	callsBySecond map[int]int // by the second after startedAt
}

// response returns an answer with a status and a body.
func response(req *http.Request, status int, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(body), Header: http.Header{}, Request: req}
}

// listJSON returns a full list of one endpoint, with the given version.
func listJSON(version int) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"active"}]}`, version)
}

func (d *failingDiscovery) RoundTrip(req *http.Request) (*http.Response, error) {
	elapsed := time.Since(d.startedAt)
	d.mu.Lock()
	d.callsBySecond[int(elapsed/time.Second)]++
	answerTime := time.Duration(d.rand.Float64() * float64(maxAnswerTime-100*time.Millisecond))
	d.mu.Unlock()
	if elapsed >= d.failFrom && elapsed < d.failUntil {
		return d.fail(req)
	}
	version := 5
	if elapsed >= d.failUntil {
		version = 6
	}
	if req.URL.Query().Get("since") == fmt.Sprint(version) { // a watch, which fails when calls begin to fail
		answerTime = max(0, min(watchWait, d.failFrom-elapsed))
		if elapsed >= d.failUntil {
			answerTime = watchWait
		}
		time.Sleep(answerTime)
		if elapsed = time.Since(d.startedAt); elapsed >= d.failFrom && elapsed < d.failUntil {
			return d.fail(req)
		}
		return response(req, 200, strings.NewReader(fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, version))), nil
	}
	select {
	case <-time.After(answerTime):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	return response(req, 200, strings.NewReader(listJSON(version))), nil
}

// trickleBody is a body of which one byte arrives every 100 ms, without end.
type trickleBody struct {
	ctx  context.Context
	text string
}

func (b *trickleBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(100 * time.Millisecond):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	if b.text == "" {
		p[0] = ' '
		return 1, nil
	}
	p[0], b.text = b.text[0], b.text[1:]
	return 1, nil
}

// stalledBody is a body of which the first half arrives, and then nothing.
type stalledBody struct {
	ctx       context.Context
	firstHalf io.Reader
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if n, err := b.firstHalf.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// failures are the ways in which a call to discovery can fail.
var failures = map[string]func(*http.Request) (*http.Response, error){
	"reset":              func(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF },
	"connection refused": func(*http.Request) (*http.Response, error) { return nil, syscall.ECONNREFUSED },
	"status 503": func(req *http.Request) (*http.Response, error) {
		return response(req, 503, strings.NewReader("")), nil
	},
	"status 503 after 2 s": func(req *http.Request) (*http.Response, error) {
		select {
		case <-time.After(2 * time.Second):
			return response(req, 503, strings.NewReader("")), nil
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
	},
	"silent": func(req *http.Request) (*http.Response, error) {
		<-req.Context().Done()
		return nil, req.Context().Err()
	},
	"half of a list": func(req *http.Request) (*http.Response, error) {
		return response(req, 200, &stalledBody{req.Context(), strings.NewReader(listJSON(6)[:40])}), nil
	},
	"trickles": func(req *http.Request) (*http.Response, error) {
		return response(req, 200, &trickleBody{req.Context(), strings.Repeat(" ", 1000)}), nil
	},
	"garbled": func(req *http.Request) (*http.Response, error) {
		return response(req, 200, strings.NewReader(`{"version":6,"full":true,"servers":[{"id":`)), nil
	},
	"older": func(req *http.Request) (*http.Response, error) {
		return response(req, 200, strings.NewReader(listJSON(4))), nil
	},
}

// maybeCongestion reports whether a relay of a fleet may take a failure for congestion, so that the fleet has to call less.
func maybeCongestion(fleetSize int, failure string) bool {
	return polls(fleetSize) && failure != "older" && failure != "connection refused"
}

// failureMetWithin returns the time from the first failure until the last relay of a fleet has met one. In a fleet that polls, that
// takes up to the interval between a relay's calls.
func failureMetWithin(fleetSize int) time.Duration {
	if polls(fleetSize) {
		return 11 * time.Second
	}
	return 0
}

// receivedWithin returns how soon a change has to be received once discovery can be reached: within the longest pause between
// calls and the time of an answer.
func receivedWithin(fleetSize int, failure string) time.Duration {
	if maybeCongestion(fleetSize, failure) {
		return 5*12*time.Second/4 + maxAnswerTime
	}
	return NotifiedAfter
}

// maxMeanCallsPerSecond returns how many calls a fleet may make in the mean while all fail: one by each relay in 3.6 s, or in 5 s
// where the failure may be congestion.
func maxMeanCallsPerSecond(fleetSize int, failure string) float64 {
	if maybeCongestion(fleetSize, failure) {
		return float64(fleetSize)/5 + 1
	}
	return float64(fleetSize)/3.6 + 1
}

// Guards against a change that any relay receives late after failed calls, and against retries that overload discovery. While
// calls fail, at most a third of a large fleet calls in any second, and in the mean a fifth, or little over a quarter if the
// failure cannot be congestion. A small fleet makes at most twenty calls a second for each relay.
// TestListIsNotUsedAfterNotification shows that no relay acts on an outdated list meanwhile.
func TestChangesAreReceivedInTime(t *testing.T) {
	for name, fail := range failures {
		for _, fleetSize := range []int{1, 2, 12, 13, 20, 30, 300} {
			t.Run(fmt.Sprint(name, " ", fleetSize), func(t *testing.T) {
				latest, mostCalls, meanCalls := time.Duration(0), 0, 0.0
				for draw := range uint64(3) {
					synctest.Test(t, func(t *testing.T) {
						random := rand.New(rand.NewPCG(draw, uint64(fleetSize)))
						discovery := &failingDiscovery{startedAt: time.Now(), fail: fail, rand: random, callsBySecond: map[int]int{}}
						discovery.failFrom = time.Duration((10 + 5*random.Float64()) * float64(time.Second))
						discovery.failUntil = discovery.failFrom + failureMetWithin(fleetSize) + time.Duration((6+15*random.Float64())*float64(time.Second))
						ctx, cancel := context.WithTimeout(context.Background(), discovery.failUntil+30*time.Second)
						defer cancel()
						var followers sync.WaitGroup
						receivedAt := make([]time.Duration, fleetSize)
						for i := range fleetSize {
							platform := &Platform{Client: &http.Client{Transport: discovery}, Address: NewAddress("discovery:1"), Seed: draw<<32 + uint64(i), HasList: true, Version: 5,
								Fleet: func() Fleet { return Fleet{fleetSize, 10 * time.Second} }}
							followers.Go(func() {
								platform.Follow(ctx, func(l List) {
									if l.Version == 6 && receivedAt[i] == 0 {
										receivedAt[i] = time.Since(discovery.startedAt)
									}
								})
							})
						}
						followers.Wait()
						for i, at := range receivedAt {
							if at == 0 {
								t.Fatalf("relay %d never receives the change", i)
							}
							latest = max(latest, at-discovery.failUntil)
						}
						from, to := int((discovery.failFrom+failureMetWithin(fleetSize))/time.Second)+6, int(discovery.failUntil/time.Second)
						calls := 0
						for second := from; second < to; second++ {
							mostCalls = max(mostCalls, discovery.callsBySecond[second])
							calls += discovery.callsBySecond[second]
						}
						if to > from+4 {
							meanCalls = max(meanCalls, float64(calls)/float64(to-from))
						}
					})
				}
				t.Logf("change received at the latest %v after discovery is back; calls a second: at most %d, mean %.1f", latest.Round(10*time.Millisecond), mostCalls, meanCalls)
				if limit := receivedWithin(fleetSize, name); latest > limit {
					t.Errorf("the change is received %v after discovery could be reached, want at most %v", latest, limit)
				}
				if limit := max(20*float64(min(fleetSize, 12)), float64(fleetSize)/3); float64(mostCalls) > limit+5 {
					t.Errorf("%d calls in a second, want at most about %.0f", mostCalls, limit)
				}
				if limit := maxMeanCallsPerSecond(fleetSize, name); polls(fleetSize) && name != "older" && meanCalls > limit {
					t.Errorf("%.1f calls a second in the mean, want at most %.1f", meanCalls, limit)
				}
			})
		}
	}
}
