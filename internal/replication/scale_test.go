package replication

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

	"larchrouter/internal/journal"
	"larchrouter/internal/replication/state"
)

// Slopes of the copies, for docs/CAPACITY.md: what a message of 300 bytes takes on its way to holders, what a whole copy does
// that is made again, and what an heir does before it goes on.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./internal/estate

// meter is a client that counts the bytes of its connections, both ways.
type meter struct{ bytes atomic.Int64 }

type metered struct {
	net.Conn
	meter *meter
}

func (c metered) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c metered) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
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
type benchmarkGroup struct {
	tb       testing.TB
	replicas []state.Replica
	meter    meter
	client   *http.Client
	progress chan struct{}
}

func newBenchmarkGroup(tb testing.TB, maxCopyBytes int64) *benchmarkGroup {
	g := &benchmarkGroup{tb: tb, progress: make(chan struct{}, 1)}
	for i := range 3 {
		dir := filepath.Join(tb.TempDir(), fmt.Sprint("h", i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			tb.Fatal(err)
		}
		_, replica := startReplica(tb, dir, maxStoredCopies*maxCopyBytes)
		g.replicas = append(g.replicas, replica)
	}
	g.client = g.meter.client()
	tb.Cleanup(g.client.CloseIdleConnections)
	return g
}

// stream begins a writer's stream whose whole copy is what is given, and waits until enough holders have it.
func (g *benchmarkGroup) startStream(epoch, next uint64, wholeCopy []journal.Record) *Stream {
	var s *Stream
	s = NewStream(1, fmt.Sprint("w", epoch), next, g.client, func(context.Context) ([]journal.Record, uint64, bool) {
		return append([]journal.Record(nil), wholeCopy...), s.Next(), true // what passes leaves nothing behind
	}, func() {
		select {
		case g.progress <- struct{}{}:
		default:
		}
	}, func(*state.FencedError) {})
	s.SetReplicas(epoch, 2, g.replicas)
	for !s.Status().SetComplete {
		<-g.progress
	}
	return s
}

// end waits until all holders have what the stream has, and ends it: none writes to its folder any more.
func (g *benchmarkGroup) closeStream(stream *Stream) {
	behind := func() bool {
		stream.mu.Lock()
		defer stream.mu.Unlock()
		return slices.ContainsFunc(stream.progress.Followers, func(f *state.Follower) bool { return !f.HasCopy || f.Acked < stream.progress.Next })
	}
	for behind() {
		time.Sleep(time.Millisecond)
	}
	stream.Close()
}

// messages are records of so many messages that are held.
func pendingRecords(n int) (records []journal.Record) {
	for i := range n {
		records = append(records, acceptedRecord(fmt.Sprintf("m%08d", i), 300))
	}
	return records
}

// pass has so many messages come together, be tried and end, and waits until all of that counts.
func (g *benchmarkGroup) commitMessages(stream *Stream, from, n int) {
	var records []journal.Record
	for i := range n {
		id := fmt.Sprintf("p%08d", from+i)
		records = append(records, acceptedRecord(id, 300), journal.Record{Op: journal.OpTry, ID: id}, journal.Record{Op: journal.OpEnd, ID: id})
	}
	for next := stream.Append(true, records...); stream.Status().Committed < next; {
		<-g.progress
	}
}

// BenchmarkScaleCopyByTogether is what a message takes on its way to three holders, and its bytes, with so many at a time.
func BenchmarkScaleCopyByTogether(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			group := newBenchmarkGroup(b, 16<<20)
			stream := group.startStream(1, 1, nil)
			defer group.closeStream(stream)
			before, committed := group.meter.bytes.Load(), 0
			for b.Loop() {
				group.commitMessages(stream, committed, n)
				committed += n
			}
			b.ReportMetric(float64(group.meter.bytes.Load()-before)/float64(committed), "B/msg")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(committed), "ns/msg")
		})
	}
}

// BenchmarkScaleTakeUpByHeld is what an heir does between its naming and its first own record: promises of two holders of
// three, the newest copy, and the whole to two of its holders. The bytes are both ways, and those of the third too.
func BenchmarkScaleTakeUpByHeld(b *testing.B) {
	for _, n := range []int{100, 1_000, 4_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			group := newBenchmarkGroup(b, 32<<20)
			records := pendingRecords(n)
			group.closeStream(group.startStream(1, uint64(n+1), records))
			epoch, before := uint64(1), group.meter.bytes.Load()
			for b.Loop() {
				epoch++
				stream := group.takeOver(epoch, n)
				b.StopTimer()
				group.closeStream(stream)
				b.StartTimer()
			}
			b.ReportMetric(float64(group.meter.bytes.Load()-before)/float64(b.N)/float64(n), "B/held")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/held")
		})
	}
}

func (g *benchmarkGroup) takeOver(epoch uint64, n int) *Stream {
	g.tb.Helper()
	found, err := FindNewestCopy(context.Background(), g.client, PromiseRequest{Group: 1, Epoch: epoch, Writer: fmt.Sprint("w", epoch)}, []state.ReplicaSet{{Copies: 2, Replicas: g.replicas}})
	if err != nil || found == nil || len(found.Records) != n {
		g.tb.Fatalf("found %v, %v", found, err)
	}
	return g.startStream(epoch, found.Next, found.Records)
}

// Guards the benchmarks above: what is copied counts, an heir finds all of it, and the bytes are counted.
func TestScaleSetUps(t *testing.T) {
	group := newBenchmarkGroup(t, 4<<20)
	stream := group.startStream(1, 101, pendingRecords(100))
	before := group.meter.bytes.Load()
	if before < 2*100*400 {
		t.Errorf("%d bytes for two whole copies of 100 messages, want 80,000 at least", before)
	}
	group.commitMessages(stream, 0, 10)
	group.closeStream(stream)
	if n := group.meter.bytes.Load() - before; n < 2*10*400 {
		t.Errorf("%d bytes for 10 messages to two holders, want 8,000 at least", n)
	}
	group.closeStream(group.takeOver(2, 100)) // those that have ended are not found again
}
