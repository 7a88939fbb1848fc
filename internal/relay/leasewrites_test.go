package relay

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/discovery"
)

// These tests cover a fault in which single requests were sent to a draining endpoint 1.1 to 1.4 s after the drain was
// binding, where 1 s is allowed, although the lease of the list was in effect. The requests came about the time of the
// process's next call for the list.
//
// Lease and endpoint were checked when a request got its connection, and the request was written some time later: a
// change in between did not stop it. A fixed pause before each call for the list did not help if the process was
// delayed for longer than that. Conversely, a renewed lease took effect at once, but its list only when the loop had
// applied it.
//
// With a log line at each write, requests were seen up to 0.4 ms after the end of their lease. The tests delay the
// process at the two places between check and write, and while a list is about to be applied.

// stalledConn calls functions that may block before and after a connection is used.
type stalledConn struct {
	net.Conn
	beforeDeadline, beforeWrite func() // called before SetWriteDeadline and Write
	afterWrite                  func() // called once a write has returned
}

func (c *stalledConn) SetWriteDeadline(t time.Time) error {
	c.beforeDeadline()
	return c.Conn.SetWriteDeadline(t)
}

func (c *stalledConn) Write(p []byte) (int, error) {
	c.beforeWrite()
	defer c.afterWrite()
	return c.Conn.Write(p)
}

// startRelayWithDialer starts a relay with one endpoint, and wraps each connection to it by a function. The channel
// receives the first bytes that the endpoint reads from each connection: a part of a request, or nothing if the
// connection closes.
func startRelayWithDialer(t *testing.T, wrap func(net.Conn) net.Conn) (relay *Relay, addr string, read chan string) {
	read = make(chan string, 10)
	addr = newRawHost(t, func(conn net.Conn) {
		first := make([]byte, 4)
		n, _ := io.ReadFull(conn, first)
		read <- string(first[:n])
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	relay = startRelayWithoutDiscovery(t, testEndpoint("s-1", addr, "taller"))
	set := relay.settings.Load()
	relay.hostTransport.Store(newHostTransport(&set.Settings, 4, func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}))
	setLeaseExpiry(relay, time.Now().Add(time.Hour))
	return relay, addr, read
}

// Guards against a request that is written after the lease has ended, wherever the process is delayed since the check.
// Once leaseRenewed has returned, and the next call for the list may go out, no request may start.
func TestNoRequestStartsAfterLeaseEnd(t *testing.T) {
	nothing := func() {}
	for _, place := range []string{"before the write", "at the write"} {
		t.Run(place, func(t *testing.T) {
			reached, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			stall := func() {
				once.Do(func() {
					close(reached)
					<-release
				})
			}
			written := make(chan time.Time, 10)
			relay, _, _ := startRelayWithDialer(t, func(conn net.Conn) net.Conn {
				stalled := &stalledConn{Conn: conn, beforeDeadline: nothing, beforeWrite: nothing, afterWrite: func() { written <- time.Now() }}
				if place == "before the write" {
					stalled.beforeDeadline = stall
				} else {
					stalled.beforeWrite = stall
				}
				return stalled
			})
			postMessage(t, relay.Addr(), "m1", "payment")
			select {
			case <-reached:
			case <-time.After(5 * time.Second):
				t.Fatal("no request reached the pause")
			}
			ended := make(chan time.Time)
			go func() {
				relay.leaseRenewed(discovery.Lease{Confirmed: time.Now(), Expires: time.Now().Add(-time.Hour)})
				ended <- time.Now()
			}()
			var end time.Time
			select {
			case end = <-ended:
			case <-time.After(50 * time.Millisecond): // it waits for the request that is about to be written
			}
			close(release)
			if end.IsZero() {
				end = <-ended
			}
			select {
			case at := <-written:
				if at.After(end) {
					t.Errorf("a request was written %v after the lease had ended", at.Sub(end))
				}
			case <-time.After(200 * time.Millisecond):
			}
		})
	}
}

// Guards against a renewed lease that takes effect before its list: a call that has waited for its connection since the
// previous lease may be sent under neither of them.
func TestRenewedLeaseTakesEffectWithItsList(t *testing.T) {
	dialed, connect := make(chan struct{}, 10), make(chan struct{})
	relay, addr, read := startRelayWithDialer(t, func(conn net.Conn) net.Conn {
		dialed <- struct{}{}
		<-connect
		return conn
	})
	postMessage(t, relay.Addr(), "m1", "payment")
	receive(t, dialed, "connection")
	setLeaseExpiry(relay, time.Now().Add(-time.Hour))
	apply := make(chan struct{})
	relay.post(func() { <-apply }) // the loop is blocked
	drains := testEndpoint("s-1", addr, "taller")
	drains.State = "leaving"
	relay.post(func() { relay.applyList(discovery.List{Version: 2, Full: true, Servers: []discovery.Server{drains}}) })
	relay.leaseRenewed(discovery.Lease{Confirmed: time.Now(), Expires: time.Now().Add(time.Hour), Version: 2})
	close(connect)
	if first := receive(t, read, "end of the connection"); first != "" {
		t.Errorf("the endpoint drains by the list of the lease, and received %q", first)
	}
	close(apply)
}

// Guards against a process that takes its list for current because the previous process's lease was lost: that lease
// may have been about to end.
func TestLostLeaseCountsAsExpired(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	for name, damage := range map[string]func(path string) error{
		"gone":    os.Remove,
		"damaged": func(path string) error { return os.WriteFile(path, []byte(`{"confirmed":17`), 0o644) },
	} {
		t.Run(name, func(t *testing.T) {
			platform := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
			dir := t.TempDir()
			config, err := readTestConfig(t, testConfig(t, platform), dir)
			if err != nil {
				t.Fatal(err)
			}
			before, err := New(config)
			if err != nil {
				t.Fatal(err)
			}
			stop := serveUntilStopped(t, before)
			postMessage(t, before.Addr(), "m1", "payment")
			receive(t, calls, "call").answer <- 200
			awaitFile(t, filepath.Join(dir, leaseFile)) // a call may go out before the lease is stored
			stop()
			platform.mu.Lock()
			platform.refuseLists = true
			platform.mu.Unlock()
			if err := damage(filepath.Join(dir, leaseFile)); err != nil {
				t.Fatal(err)
			}
			relay := startRelay(t, platform, func(c *Config) { withAdminAddr(c); c.StateDir = dir })
			postMessage(t, relay.Addr(), "m2", "payment")
			select {
			case c := <-calls:
				t.Fatalf("%s was sent", c.id)
			case <-time.After(300 * time.Millisecond):
			}
			awaitMetrics(t, relay, "svc.list.expired=1", "svc.attempts=0")
		})
	}
}

// awaitFile waits until a file exists.
func awaitFile(t *testing.T, path string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return
		}
	}
	t.Fatalf("%s does not exist after 30 s", path)
}
