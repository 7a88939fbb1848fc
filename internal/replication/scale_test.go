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

// Costs of replication per message, for docs/CAPACITY.md: for a message of 300 bytes on its way to replicas, for a whole copy that
// is sent again, and for what a successor does before it continues.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./internal/replication

// meter counts the bytes of the connections of its client, in both directions.
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

// benchmarkGroup is one group with two required copies at three replicas.
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

// startStream starts a writer's stream with the given whole copy, and waits until enough replicas have it.
func (g *benchmarkGroup) startStream(epoch, next uint64, wholeCopy []journal.Record) *Stream {
	var s *Stream
	s = NewStream(1, fmt.Sprint("w", epoch), next, g.client, func(context.Context) ([]journal.Record, uint64, bool) {
		return append([]journal.Record(nil), wholeCopy...), s.Next(), true // messages that were committed have ended, and are not part of it
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

// closeStream waits until all replicas have all records, so that none writes to its folder any more, and closes the stream.
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

// pendingRecords returns the records of n pending messages.
func pendingRecords(n int) (records []journal.Record) {
	for i := range n {
		records = append(records, acceptedRecord(fmt.Sprintf("m%08d", i), 300))
	}
	return records
}

// commitMessages appends the records of n messages that are accepted, tried and ended, and waits until they are committed.
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

// BenchmarkScaleCopyByTogether measures time and bytes per message on its way to three replicas, with so many at a time.
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

// BenchmarkScaleTakeUpByHeld measures what a successor does between its assignment and its first own record: it collects promises
// of two replicas of three, reads the newest copy, and sends a whole copy to two of its replicas. The bytes are those of
// both directions, and include those of the third replica.
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

// Guards the benchmarks above: copied records are committed, a successor finds all of them, and the bytes are counted.
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
		t.Errorf("%d bytes for 10 messages to two replicas, want 8,000 at least", n)
	}
	group.closeStream(group.takeOver(2, 100)) // ended messages are not found again
}
