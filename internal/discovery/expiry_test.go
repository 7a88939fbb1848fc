package discovery

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// listUse records until when a relay could act on a list without a change.
type listUse struct {
	mu             sync.Mutex
	expires        time.Time
	changeReceived bool
	lastUsable     time.Time // last time at which it could act on the list without the change
}

// observe updates lastUsable to the present time. The lock is held.
func (u *listUse) observe() {
	if now := time.Now(); !u.changeReceived && now.After(u.expires) {
		if u.expires.After(u.lastUsable) {
			u.lastUsable = u.expires
		}
	} else if !u.changeReceived {
		u.lastUsable = now
	}
}

// renew records another lease of the list.
func (u *listUse) renew(l Lease) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observe()
	u.expires = l.Expires
}

// receiveChange records that the relay has received the change.
func (u *listUse) receiveChange() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observe()
	u.changeReceived = true
}

// firstByteNotifier calls onFirstByte when the first byte has been read.
type firstByteNotifier struct {
	io.Reader
	onFirstByte func()
	once        sync.Once
}

func (n *firstByteNotifier) Read(p []byte) (int, error) {
	count, err := n.Reader.Read(p)
	if count > 0 {
		n.once.Do(n.onFirstByte)
	}
	return count, err
}

// Guards against requests to draining endpoints, which relays made because they acted on their list while their calls for a newer
// one failed, or because their last call had been answered and the next one was not. Here a change is made when calls begin to
// fail, in each way in which they can. No relay may act on the list without the change once it counts as notified: 6 s after
// the change, whenever the failing call is made, or when a part of an answer that has it is written.
func TestListIsNotUsedAfterNotification(t *testing.T) {
	for name, fail := range failures {
		// While connections are refused no change counts as notified, and an older history does not have the change.
		if name == "connection refused" || name == "older" {
			continue
		}
		for _, fleetSize := range []int{1, 2, 12, 13, 20, 30, 300} {
			t.Run(fmt.Sprint(name, " ", fleetSize), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					startedAt := time.Now()
					failFrom, failUntil := 12*time.Second, 40*time.Second
					relays := make([]listUse, fleetSize)
					firstBytes := make([]time.Time, fleetSize)
					ctx, cancel := context.WithTimeout(context.Background(), failUntil+time.Second)
					defer cancel()
					var followers sync.WaitGroup
					for i := range relays {
						use := &relays[i]
						discovery := &failingDiscovery{startedAt: startedAt, failFrom: failFrom, failUntil: failUntil, rand: newRand(uint64(i)), callsBySecond: map[int]int{}}
						discovery.fail = func(req *http.Request) (*http.Response, error) {
							resp, err := fail(req)
							if resp != nil && resp.StatusCode == http.StatusOK {
								resp.Body = io.NopCloser(&firstByteNotifier{Reader: resp.Body, onFirstByte: func() {
									if firstBytes[i].IsZero() {
										firstBytes[i] = time.Now()
									}
								}})
							}
							return resp, err
						}
						platform := &Platform{Client: &http.Client{Transport: discovery}, Address: NewAddress("discovery:1"), Seed: uint64(i), HasList: true, Version: 5, LeaseChanged: use.renew,
							Fleet: func() Fleet { return Fleet{fleetSize, 10 * time.Second} }}
						followers.Go(func() {
							platform.Follow(ctx, func(l List) {
								if l.Version == 6 {
									use.receiveChange()
								}
							})
						})
					}
					followers.Wait()
					for i := range relays {
						use := &relays[i]
						use.mu.Lock()
						use.observe()
						use.mu.Unlock()
						notifiedAt := startedAt.Add(failFrom + NotifiedAfter)
						if !firstBytes[i].IsZero() && firstBytes[i].Before(notifiedAt) {
							notifiedAt = firstBytes[i]
						}
						if use.lastUsable.After(notifiedAt) {
							t.Errorf("relay %d could act on its list until %v, and the change counted as notified at %v", i, use.lastUsable.Sub(startedAt), notifiedAt.Sub(startedAt))
						}
					}
				})
			})
		}
	}
}

// Guards against a lease that expires though discovery answers all calls at once: in fleets that watch, with and without changes,
// and in those that poll, with any MaxPollInterval.
func TestAnsweredCallsRenewLease(t *testing.T) {
	for _, fleetSize := range []int{1, 6, 12, 13, 30, 300} {
		for _, maxPollInterval := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute} {
			t.Run(fmt.Sprint(fleetSize, " ", maxPollInterval), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
					defer cancel()
					discovery := &changingDiscovery{startedAt: time.Now(), changeInterval: 2900 * time.Millisecond}
					last := Lease{Expires: time.Now().Add(time.Hour)}
					platform := &Platform{Client: &http.Client{Transport: discovery}, Address: NewAddress("discovery:1"), Seed: uint64(fleetSize), HasList: true, Version: 1,
						Fleet: func() Fleet { return Fleet{fleetSize, maxPollInterval} },
						LeaseChanged: func(l Lease) {
							if now := time.Now(); now.After(last.Expires.Add(sendGrace)) {
								t.Errorf("the lease had expired %v ago after %v", now.Sub(last.Expires), now.Sub(discovery.startedAt))
							}
							last = l
						}}
					platform.Follow(ctx, func(List) {})
				})
			})
		}
	}
}

// Guards against a relay that goes on acting on its list when the renewal of its watch is refused: a change right after the last
// answer counts as notified at once.
func TestRefusedWatchRenewalEndsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		refusals := 0
		transport := transportFunc(func(req *http.Request) (*http.Response, error) {
			switch elapsed := time.Since(startedAt); {
			case !req.URL.Query().Has("since"):
				return response(req, http.StatusOK, strings.NewReader(listJSON(2))), nil
			case elapsed < time.Second:
				time.Sleep(time.Second - elapsed)
				return response(req, http.StatusOK, strings.NewReader(`{"version":3,"full":false,"servers":[]}`)), nil
			case elapsed < 5*time.Second:
				refusals++
				return response(req, http.StatusServiceUnavailable, strings.NewReader("")), nil
			}
			time.Sleep(watchWait)
			return response(req, http.StatusOK, strings.NewReader(`{"version":3,"full":false,"servers":[]}`)), nil
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var refused, answered Lease
		platform := &Platform{Client: &http.Client{Transport: transport}, Address: NewAddress("discovery:1"), Fleet: func() Fleet { return Fleet{3, 10 * time.Second} },
			LeaseChanged: func(l Lease) {
				if answered = l; l.Failures == 1 {
					refused = l
				}
			}}
		platform.Follow(ctx, func(List) {})
		if at := refused.Expires.Sub(startedAt); refusals == 0 || at > time.Second {
			t.Errorf("after a refused renewal at 1 s the list could be acted on until %v", at)
		}
		if at := answered.Expires.Sub(startedAt); at < 10*time.Second {
			t.Errorf("after further answers the list can be acted on until %v", at)
		}
	})
}

// transportFunc is a function as an http.RoundTripper.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// sendGrace is for how long after the end of a lease a relay may still send, less an allowance for its delays.
const sendGrace = 800 * time.Millisecond

// changingDiscovery is a discovery whose list changes at each changeInterval, and which answers at once.
type changingDiscovery struct {
	startedAt      time.Time
	changeInterval time.Duration
}

func (d *changingDiscovery) RoundTrip(req *http.Request) (*http.Response, error) {
	version := 2 + int(time.Since(d.startedAt)/d.changeInterval)
	if req.URL.Query().Get("since") == fmt.Sprint(version) {
		nextChange := d.startedAt.Add(time.Duration(version-1) * d.changeInterval)
		select {
		case <-time.After(min(watchWait, time.Until(nextChange))):
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
		if time.Now().Before(nextChange) {
			return response(req, http.StatusOK, strings.NewReader(fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, version))), nil
		}
		version++
	}
	return response(req, http.StatusOK, strings.NewReader(listJSON(version))), nil
}

// newRand returns a source of random numbers that is the same for the same seed.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }
