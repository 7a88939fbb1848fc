package estate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/estate/state"
	"larchrouter/internal/journal"
)

// Slopes of the copies, for docs/CAPACITY.md: what a message of 300 bytes takes on its way to holders, what a whole copy does
// that is made again, and what an heir does before it goes on.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./internal/estate

// meter is a client that counts the bytes of its connections, both ways.
type meter struct{ bytes atomic.Int64 }

type metered struct {
	net.Conn
	m *meter
}

func (c metered) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (c metered) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (m *meter) client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return metered{conn, m}, nil
	}}}
}

// copying is one estate with two copies at three holders, each with room for so many bytes.
type copying struct {
	tb   testing.TB
	hs   []state.Holder
	m    meter
	http *http.Client
	news chan struct{}
}

func newCopying(tb testing.TB, room int64) *copying {
	c := &copying{tb: tb, news: make(chan struct{}, 1)}
	for i := range 3 {
		dir := filepath.Join(tb.TempDir(), fmt.Sprint("h", i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			tb.Fatal(err)
		}
		_, at := serving(tb, dir, partsOf*room)
		c.hs = append(c.hs, at)
	}
	c.http = c.m.client()
	tb.Cleanup(c.http.CloseIdleConnections)
	return c
}

// stream begins a writer's stream whose whole copy is what is given, and waits until enough holders have it.
func (c *copying) stream(epoch, next uint64, whole []journal.Record) *Stream {
	var s *Stream
	s = NewStream(1, fmt.Sprint("w", epoch), next, c.http, func(context.Context) ([]journal.Record, uint64, bool) {
		return append([]journal.Record(nil), whole...), s.Next(), true // what passes leaves nothing behind
	}, func() {
		select {
		case c.news <- struct{}{}:
		default:
		}
	}, func(*state.Sealed) {})
	s.Set(epoch, 2, c.hs)
	for !s.Standing().Filled {
		<-c.news
	}
	return s
}

// end waits until all holders have what the stream has, and ends it: none writes to its folder any more.
func (c *copying) end(s *Stream) {
	behind := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return slices.ContainsFunc(s.w.Followers, func(f *state.Follower) bool { return !f.Whole || f.Acked < s.w.Next })
	}
	for behind() {
		time.Sleep(time.Millisecond)
	}
	s.Close()
}

// messages are records of so many messages that are held.
func messages(n int) (recs []journal.Record) {
	for i := range n {
		recs = append(recs, taken(fmt.Sprintf("m%08d", i), 300))
	}
	return recs
}

// pass has so many messages come together, be tried and end, and waits until all of that counts.
func (c *copying) pass(s *Stream, from, n int) {
	var recs []journal.Record
	for i := range n {
		id := fmt.Sprintf("p%08d", from+i)
		recs = append(recs, taken(id, 300), journal.Record{Op: journal.OpTry, ID: id}, journal.Record{Op: journal.OpEnd, ID: id})
	}
	for next := s.Append(true, recs...); s.Standing().Counted < next; {
		<-c.news
	}
}

// BenchmarkScaleCopyByTogether is what a message takes on its way to three holders, and its bytes, with so many at a time.
func BenchmarkScaleCopyByTogether(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCopying(b, 16<<20)
			s := c.stream(1, 1, nil)
			defer c.end(s)
			before, passed := c.m.bytes.Load(), 0
			for b.Loop() {
				c.pass(s, passed, n)
				passed += n
			}
			b.ReportMetric(float64(c.m.bytes.Load()-before)/float64(passed), "B/msg")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(passed), "ns/msg")
		})
	}
}

// BenchmarkScaleTakeUpByHeld is what an heir does between its naming and its first own record: promises of two holders of
// three, the newest copy, and the whole to two of its holders. The bytes are both ways, and those of the third too.
func BenchmarkScaleTakeUpByHeld(b *testing.B) {
	for _, n := range []int{100, 1_000, 4_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCopying(b, 32<<20)
			recs := messages(n)
			c.end(c.stream(1, uint64(n+1), recs))
			epoch, before := uint64(1), c.m.bytes.Load()
			for b.Loop() {
				epoch++
				s := c.takeUp(epoch, n)
				b.StopTimer()
				c.end(s)
				b.StartTimer()
			}
			b.ReportMetric(float64(c.m.bytes.Load()-before)/float64(b.N)/float64(n), "B/held")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/held")
		})
	}
}

func (c *copying) takeUp(epoch uint64, n int) *Stream {
	c.tb.Helper()
	found, err := Find(context.Background(), c.http, Promise{Estate: 1, Epoch: epoch, Writer: fmt.Sprint("w", epoch)}, []state.Set{{Copies: 2, Holders: c.hs}})
	if err != nil || found == nil || len(found.Records) != n {
		c.tb.Fatalf("found %v, %v", found, err)
	}
	return c.stream(epoch, found.Next, found.Records)
}

// Guards the benchmarks above: what is copied counts, an heir finds all of it, and the bytes are counted.
func TestScaleSetUps(t *testing.T) {
	c := newCopying(t, 4<<20)
	s := c.stream(1, 101, messages(100))
	before := c.m.bytes.Load()
	if before < 2*100*400 {
		t.Errorf("%d bytes for two whole copies of 100 messages, want 80,000 at least", before)
	}
	c.pass(s, 0, 10)
	c.end(s)
	if n := c.m.bytes.Load() - before; n < 2*10*400 {
		t.Errorf("%d bytes for 10 messages to two holders, want 8,000 at least", n)
	}
	c.end(c.takeUp(2, 100)) // those that have ended are not found again
}
