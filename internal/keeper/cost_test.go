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
	"larchrouter/internal/settings"
)

// counted is a connection that counts its bytes, both ways.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// crowd is members in this process, each with a session and what it holds as a relay has them, but for the loop.
type crowd struct {
	keepers []*Keeper
	client  *api.Client
	bytes   atomic.Int64
	heard   atomic.Int64
	stop    context.CancelFunc
	all     sync.WaitGroup
}

func newCrowd(b testing.TB, keepers, members int) *crowd {
	b.Helper()
	level := slog.SetLogLoggerLevel(slog.LevelError)
	old := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	c := &crowd{}
	free := func() string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	var peers []Peer
	for i := range keepers {
		peers = append(peers, Peer{fmt.Sprint("keeper/", i), free(), free()})
	}
	var addrs []string
	for _, p := range peers {
		conf := Default()
		conf.Name, conf.HTTP, conf.Raft, conf.Dir, conf.Peers = p.Name, p.HTTP, p.Raft, filepath.Join(b.TempDir(), "k"), peers
		k, err := New(conf)
		if err != nil {
			b.Fatal(err)
		}
		c.keepers, addrs = append(c.keepers, k), append(addrs, p.HTTP)
	}
	d := net.Dialer{}
	transport := func() *http.Transport {
		return &http.Transport{MaxConnsPerHost: 2, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return counted{conn, &c.bytes}, nil
		}}
	}
	c.client = &api.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Keepers: addrs}
	raw := doc(3)
	raw = raw[len(`{"settings":`) : len(raw)-1]
	set, err := settings.Parse(raw)
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	began := time.Now()
	for i := range members {
		k := fleet.Open(b.TempDir(), fmt.Sprint("instance-", i), fleet.File{Raw: raw, Settings: set})
		s := &fleet.Session{Client: &api.Client{HTTP: &http.Client{Transport: transport()}, Keepers: slices.Clone(addrs)}, Name: fmt.Sprint("relay/", i), Seed: uint64(i),
			Instance: k.Instance, FleetSize: func() int { return members }, Now: func() time.Duration { return time.Since(began) }}
		s.HandleAnswer = func(h fleet.Answer) ([]uint64, fleet.Reply, bool) {
			c.heard.Add(1)
			w, err := k.Receive(time.Since(began), h.RequestedAt, h.Standing)
			k.Refresh(time.Since(began))
			return k.KnownGenerations(), w, err == nil
		}
		c.all.Go(func() { s.Run(ctx) })
	}
	b.Cleanup(func() {
		stop()
		c.all.Wait()
		for _, k := range c.keepers {
			k.Close()
		}
		slog.SetDefault(old)
		slog.SetLogLoggerLevel(level)
	})
	c.until(b, func(st *api.Status) bool { return len(st.Members) == members && len(st.Pending) == 0 })
	return c
}

// until waits until the keeper that leads says that something holds.
func (c *crowd) until(b testing.TB, holds func(*api.Status) bool) {
	b.Helper()
	for end := time.Now().Add(2 * time.Minute); ; time.Sleep(2 * time.Millisecond) {
		for _, k := range c.keepers {
			if !k.leads() {
				continue
			}
			if st := k.status(); st.Leads && holds(&st) {
				return
			}
		}
		if time.Now().After(end) {
			b.Fatal("what was waited for does not come")
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

// BenchmarkChange is what a change of settings takes until all members act by it alone and have said so: keepers and
// members in this one process.
func BenchmarkChange(b *testing.B) {
	for _, n := range []struct{ keepers, members int }{{1, 300}, {3, 300}, {3, 2000}} {
		b.Run(fmt.Sprintf("keepers=%d/members=%d", n.keepers, n.members), func(b *testing.B) {
			c := newCrowd(b, n.keepers, n.members)
			base := uint64(0)
			bytes, cpu := c.bytes.Load(), processorTime(b)
			for b.Loop() {
				var made api.Made
				if err := c.client.Call(context.Background(), http.MethodPost, api.GenerationsPath, api.Proposal{Op: fmt.Sprint("op-", base), Base: base, Doc: doc(3 + int(base%3))}, &made); err != nil {
					b.Fatal(err)
				}
				base = made.Number
				c.until(b, func(st *api.Status) bool { return st.Force != nil && st.Force.Number == base && len(st.Pending) == 0 })
			}
			b.ReportMetric(float64(c.bytes.Load()-bytes)/float64(b.N)/float64(n.members), "B/member")
			b.ReportMetric((processorTime(b)-cpu).Seconds()*1000/float64(b.N), "cpu-ms/op")
		})
	}
}

// BenchmarkSessions is the steady cost of sessions, for ten seconds: keepers and members together.
func BenchmarkSessions(b *testing.B) {
	for _, n := range []struct{ keepers, members int }{{3, 300}, {3, 2000}} {
		b.Run(fmt.Sprintf("keepers=%d/members=%d", n.keepers, n.members), func(b *testing.B) {
			c := newCrowd(b, n.keepers, n.members)
			const span = 10 * time.Second
			for b.Loop() {
				bytes, cpu, heard := c.bytes.Load(), processorTime(b), c.heard.Load()
				time.Sleep(span)
				b.ReportMetric(float64(c.bytes.Load()-bytes)/span.Seconds()/float64(n.members), "B/s/member")
				b.ReportMetric(float64(c.heard.Load()-heard)/span.Seconds()/float64(n.members), "answers/s/member")
				b.ReportMetric((processorTime(b)-cpu).Seconds()/span.Seconds()*100, "cpu-%")
			}
		})
	}
}
