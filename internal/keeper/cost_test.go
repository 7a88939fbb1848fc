package keeper

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/fleet"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/loopback"
	"larchrouter/internal/settings"
)

// countingConn is a connection that counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// memberPool has keepers and members in this process. Each member has a session and the fleet state of a relay, but no
// relay loop.
type memberPool struct {
	keepers    []*Keeper
	client     *api.Client
	bytes      atomic.Int64
	answers    atomic.Int64
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

func newMemberPool(b testing.TB, keepers, members int) *memberPool {
	b.Helper()
	previousLevel := slog.SetLogLoggerLevel(slog.LevelError)
	previousLogger := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	pool := &memberPool{}
	var peers []Peer
	for i := range keepers {
		peers = append(peers, Peer{fmt.Sprint("keeper/", i), loopback.FreeAddress(b), loopback.FreeAddress(b)})
	}
	var addrs []string
	for _, p := range peers {
		conf := Default()
		conf.Name, conf.HTTP, conf.Raft, conf.Dir, conf.Peers = p.Name, p.HTTP, p.Raft, filepath.Join(b.TempDir(), "k"), peers
		k, err := New(conf)
		if err != nil {
			b.Fatal(err)
		}
		pool.keepers, addrs = append(pool.keepers, k), append(addrs, p.HTTP)
	}
	dialer := net.Dialer{}
	transport := func() *http.Transport {
		return &http.Transport{MaxConnsPerHost: 2, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, &pool.bytes}, nil
		}}
	}
	pool.client = &api.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Keepers: addrs}
	raw := testDocument(3)
	raw = raw[len(`{"settings":`) : len(raw)-1]
	parsed, err := settings.Parse(raw)
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	pool.stop = stop
	began := time.Now()
	for i := range members {
		k := fleet.Open(b.TempDir(), fmt.Sprint("instance-", i), fleet.File{Raw: raw, Settings: parsed})
		session := &fleet.Session{Client: &api.Client{HTTP: &http.Client{Transport: transport()}, Keepers: slices.Clone(addrs)}, Name: fmt.Sprint("relay/", i), Seed: uint64(i),
			Instance: k.Instance, FleetSize: func() int { return members }, Now: func() time.Duration { return time.Since(began) }}
		session.HandleAnswer = func(h fleet.Answer) ([]uint64, fleet.Reply, bool) {
			pool.answers.Add(1)
			w, err := k.Receive(time.Since(began), h.RequestedAt, h.Response)
			k.Refresh(time.Since(began))
			return k.KnownGenerations(), w, err == nil
		}
		pool.goroutines.Go(func() { session.Run(ctx) })
	}
	b.Cleanup(func() {
		stop()
		pool.goroutines.Wait()
		for _, k := range pool.keepers {
			k.Close()
		}
		slog.SetDefault(previousLogger)
		slog.SetLogLoggerLevel(previousLevel)
	})
	pool.awaitStatus(b, func(st *api.Status) bool { return len(st.Members) == members && len(st.Pending) == 0 })
	return pool
}

// awaitStatus waits until a condition holds for the leader's status.
func (p *memberPool) awaitStatus(b testing.TB, holds func(*api.Status) bool) {
	b.Helper()
	for deadline := time.Now().Add(2 * time.Minute); ; time.Sleep(2 * time.Millisecond) {
		for _, k := range p.keepers {
			if !k.isLeader() {
				continue
			}
			if status := k.status(); status.IsLeader && holds(&status) {
				return
			}
		}
		if time.Now().After(deadline) {
			b.Fatal("the condition on the status did not become true within 2 minutes")
		}
	}
}

func processorTime(b testing.TB) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkChange measures a change of settings until all members act by it alone and have confirmed that, with keepers
// and members in this process.
func BenchmarkChange(b *testing.B) {
	for _, n := range []struct{ keepers, members int }{{1, 300}, {3, 300}, {3, 2000}} {
		b.Run(fmt.Sprintf("keepers=%d/members=%d", n.keepers, n.members), func(b *testing.B) {
			pool := newMemberPool(b, n.keepers, n.members)
			base := uint64(0)
			bytes, cpu := pool.bytes.Load(), processorTime(b)
			for b.Loop() {
				var made api.ChangeResponse
				if err := pool.client.Call(context.Background(), http.MethodPost, api.GenerationsPath, api.Proposal{OperationID: fmt.Sprint("op-", base), Base: base, Doc: testDocument(3 + int(base%3))}, &made); err != nil {
					b.Fatal(err)
				}
				base = made.Number
				pool.awaitStatus(b, func(st *api.Status) bool {
					return st.Effective != nil && st.Effective.Number == base && len(st.Pending) == 0
				})
			}
			b.ReportMetric(float64(pool.bytes.Load()-bytes)/float64(b.N)/float64(n.members), "B/member")
			b.ReportMetric((processorTime(b)-cpu).Seconds()*1000/float64(b.N), "cpu-ms/op")
		})
	}
}

// BenchmarkSessions measures the steady cost of sessions over ten seconds, for keepers and members together.
func BenchmarkSessions(b *testing.B) {
	for _, n := range []struct{ keepers, members int }{{3, 300}, {3, 2000}} {
		b.Run(fmt.Sprintf("keepers=%d/members=%d", n.keepers, n.members), func(b *testing.B) {
			pool := newMemberPool(b, n.keepers, n.members)
			const span = 10 * time.Second
			for b.Loop() {
				bytes, cpu, answers := pool.bytes.Load(), processorTime(b), pool.answers.Load()
				time.Sleep(span)
				b.ReportMetric(float64(pool.bytes.Load()-bytes)/span.Seconds()/float64(n.members), "B/s/member")
				b.ReportMetric(float64(pool.answers.Load()-answers)/span.Seconds()/float64(n.members), "answers/s/member")
				b.ReportMetric((processorTime(b)-cpu).Seconds()/span.Seconds()*100, "cpu-%")
			}
		})
	}
}
