package relay

import (
	"context"
	"testing"
	"time"

	"larchrouter/internal/discovery"
)

// noNews is a source that never tells anything.
type noNews struct{}

func (noNews) Follow(ctx context.Context, _ func(discovery.List)) { <-ctx.Done() }

// relayWithoutNews starts a relay that works by the list of its configuration, and hears nothing of discovery.
func relayWithoutNews(t *testing.T, servers ...discovery.Server) *Relay {
	t.Helper()
	p := newPlatform(t, servers...)
	conf, err := readTestConfig(t, testConfig(t, p), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	withAdminAddr(&conf)
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	r.list = noNews{}
	done := make(chan struct{})
	go func() { r.Serve(); close(done) }()
	t.Cleanup(func() { r.stop(); <-done })
	awaitMetrics(t, r, "svc.endpoints_known=1")
	return r
}

// expire has a relay's list run out at a time, and returns once its loop knows.
func expire(r *Relay, at time.Time) {
	r.leaseRenewed(discovery.Lease{Confirmed: time.Now(), Expires: at})
	done := make(chan struct{})
	r.post(func() { close(done) })
	<-done
}

// Guards against messages sent by a list that may lack what counts as told, and against ones that stay where they are once it
// is renewed; they are taken on all the while.
func TestNothingIsSentByAnOldList(t *testing.T) {
	calls := make(chan *seen, 10)
	r := relayWithoutNews(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	expire(r, time.Now().Add(-time.Hour))
	if status, _ := hand(t, r.Addr(), "m1", "payment"); status != 202 {
		t.Errorf("a message is answered %d while the list has expired, want 202", status)
	}
	awaitMetrics(t, r, "svc.list.expired=1", "svc.in_flight=1", "svc.attempts=0")
	select {
	case c := <-calls:
		t.Fatalf("%s was sent", c.id)
	case <-time.After(100 * time.Millisecond):
	}
	expire(r, time.Now().Add(time.Hour))
	wait(t, calls, "call").answer <- 200
	awaitMetrics(t, r, "svc.list.expired=0", "svc.in_flight=0", "svc.attempts=1")
}

// Guards against a lease that runs out unseen, for nothing else happens then.
func TestAListRunsOutByItself(t *testing.T) {
	calls := make(chan *seen, 10)
	r := relayWithoutNews(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	expire(r, time.Now().Add(heldUp+100*time.Millisecond-r.set.Load().Rules.DrainGrace))
	awaitMetrics(t, r, "svc.list.expired=1")
}

// Seen: a process that had just started sent requests to endpoints that counted as told to drain, for it took the list that it
// was started with as just heard of. What the process before it was told, or should have been, binds it too.
func TestARestartKeepsTheLease(t *testing.T) {
	for name, test := range map[string]struct {
		before  discovery.Lease
		expired bool
	}{
		"run out":        {discovery.Lease{Confirmed: time.Now().Add(-8 * time.Second), Expires: time.Now().Add(-2 * time.Second), Failures: 2, Version: 1}, true},
		"running":        {discovery.Lease{Confirmed: time.Now(), Expires: time.Now().Add(time.Hour), Version: 1}, false},
		"a newer list's": {discovery.Lease{Confirmed: time.Now().Add(-5 * time.Second), Expires: time.Now().Add(time.Hour), Version: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *seen, 10)
			p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
			p.refuse = true
			dir := t.TempDir()
			(&Relay{conf: Config{StateDir: dir}}).keepLease(test.before)
			r := startRelay(t, p, func(c *Config) { withAdminAddr(c); c.StateDir = dir; c.InitialList.Version = 1 })
			hand(t, r.Addr(), "m1", "payment")
			if !test.expired {
				wait(t, calls, "call").answer <- 200
				return
			}
			awaitMetrics(t, r, "svc.list.expired=1", "svc.attempts=0")
			p.mu.Lock()
			p.refuse = false
			p.mu.Unlock()
			wait(t, calls, "call").answer <- 200
			awaitMetrics(t, r, "svc.list.expired=0", "svc.attempts=1")
		})
	}
}
