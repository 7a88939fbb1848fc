package relay

import (
	"context"
	"testing"
	"time"

	"larchrouter/internal/discovery"
)

// silentSource is a source that never sends a list.
type silentSource struct{}

func (silentSource) Follow(ctx context.Context, _ func(discovery.List)) { <-ctx.Done() }

// startRelayWithoutDiscovery starts a relay that uses the list of its configuration, and receives nothing from
// discovery.
func startRelayWithoutDiscovery(t *testing.T, servers ...discovery.Server) *Relay {
	t.Helper()
	platform := newFakePlatform(t, servers...)
	config, err := readTestConfig(t, testConfig(t, platform), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	withAdminAddr(&config)
	relay, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	relay.listSource = silentSource{}
	done := make(chan struct{})
	go func() { relay.Serve(); close(done) }()
	t.Cleanup(func() { relay.stop(); <-done })
	awaitMetrics(t, relay, "svc.endpoints_known=1")
	return relay
}

// setLeaseExpiry sets the expiry of the lease of a relay's list, and returns once the relay's loop has applied it.
func setLeaseExpiry(relay *Relay, expiresAt time.Time) {
	relay.leaseRenewed(discovery.Lease{Confirmed: time.Now(), Expires: expiresAt})
	done := make(chan struct{})
	relay.post(func() { close(done) })
	<-done
}

// Guards against messages sent by a list that may lack binding changes, and against messages that are not sent once the
// lease is renewed. Messages are accepted all the while.
func TestNothingIsSentWithExpiredList(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelayWithoutDiscovery(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	setLeaseExpiry(relay, time.Now().Add(-time.Hour))
	if status, _ := postMessage(t, relay.Addr(), "m1", "payment"); status != 202 {
		t.Errorf("status %d for a message while the list has expired, want 202", status)
	}
	awaitMetrics(t, relay, "svc.list.expired=1", "svc.in_flight=1", "svc.attempts=0")
	select {
	case c := <-calls:
		t.Fatalf("%s was sent", c.id)
	case <-time.After(100 * time.Millisecond):
	}
	setLeaseExpiry(relay, time.Now().Add(time.Hour))
	receive(t, calls, "call").answer <- 200
	awaitMetrics(t, relay, "svc.list.expired=0", "svc.in_flight=0", "svc.attempts=1")
}

// Guards against a lease whose expiry goes unnoticed because no other event occurs.
func TestListExpiresWithoutOtherEvents(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	r := startRelayWithoutDiscovery(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	setLeaseExpiry(r, time.Now().Add(maxWriteDelay+100*time.Millisecond-r.settings.Load().Rules.DrainGrace))
	awaitMetrics(t, r, "svc.list.expired=1")
}

// Guards against a process that takes the list it was started with as just received: it sent requests to endpoints that
// were already due to drain. What the previous process received, or should have received, is binding for the next one,
// too.
func TestRestartKeepsListLease(t *testing.T) {
	for name, test := range map[string]struct {
		before  discovery.Lease
		expired bool
	}{
		"expired lease":         {discovery.Lease{Confirmed: time.Now().Add(-8 * time.Second), Expires: time.Now().Add(-2 * time.Second), Failures: 2, Version: 1}, true},
		"running":               {discovery.Lease{Confirmed: time.Now(), Expires: time.Now().Add(time.Hour), Version: 1}, false},
		"lease of a newer list": {discovery.Lease{Confirmed: time.Now().Add(-5 * time.Second), Expires: time.Now().Add(time.Hour), Version: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *receivedCall, 10)
			platform := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
			platform.refuseLists = true
			dir := t.TempDir()
			(&Relay{config: Config{StateDir: dir}}).storeLease(test.before)
			relay := startRelay(t, platform, func(c *Config) { withAdminAddr(c); c.StateDir = dir; c.InitialList.Version = 1 })
			postMessage(t, relay.Addr(), "m1", "payment")
			if !test.expired {
				receive(t, calls, "call").answer <- 200
				return
			}
			awaitMetrics(t, relay, "svc.list.expired=1", "svc.attempts=0")
			platform.mu.Lock()
			platform.refuseLists = false
			platform.mu.Unlock()
			receive(t, calls, "call").answer <- 200
			awaitMetrics(t, relay, "svc.list.expired=0", "svc.attempts=1")
		})
	}
}
