package replication

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"larchrouter/internal/journal"
	"larchrouter/internal/replication/state"
)

// startReplicas starts n replica servers, each in a folder of its own.
func startReplicas(b *testing.B, n int) (replicas []state.Replica) {
	for i := range n {
		dir := filepath.Join(b.TempDir(), fmt.Sprint("h", i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			b.Fatal(err)
		}
		_, replica := startReplica(b, dir, maxStoredCopies*(4<<20))
		replicas = append(replicas, replica)
	}
	return replicas
}

// BenchmarkTakeOver measures what a successor does between its assignment and its first own record: it collects promises of two
// replicas of three, reads the newest copy, and sends a whole copy to two of its replicas.
func BenchmarkTakeOver(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			replicas := startReplicas(b, 3)
			var records []journal.Record
			for i := range n {
				records = append(records, acceptedRecord(fmt.Sprint("m", i), 300))
			}
			for _, replica := range replicas {
				if err := post(b, replica, CopyPath, Batch{Group: 1, Epoch: 1, Writer: "w0", First: uint64(n + 1), Whole: true, Records: records}, &BatchResponse{}); err != nil {
					b.Fatal(err)
				}
			}
			epoch := uint64(1)
			for b.Loop() {
				epoch++
				writer := fmt.Sprint("w", epoch)
				found, err := FindNewestCopy(context.Background(), http.DefaultClient, PromiseRequest{Group: 1, Epoch: epoch, Writer: writer}, []state.ReplicaSet{{Copies: 2, Replicas: replicas}})
				if err != nil || found == nil || len(found.Records) != n {
					b.Fatalf("found %v, %v", found, err)
				}
				progress := make(chan struct{}, 16)
				stream := NewStream(1, writer, found.Next, http.DefaultClient, func(context.Context) ([]journal.Record, uint64, bool) {
					return append([]journal.Record(nil), found.Records...), found.Next, true
				},
					func() { progress <- struct{}{} }, func(*state.FencedError) {})
				stream.SetReplicas(epoch, 2, replicas)
				for !stream.Status().SetComplete {
					<-progress
				}
				stream.Close()
			}
		})
	}
}

// BenchmarkStream measures records that are committed at two replicas of three, with one message or many at a time.
func BenchmarkStream(b *testing.B) {
	for _, perBatch := range []int{1, 100} {
		b.Run(fmt.Sprint(perBatch), func(b *testing.B) {
			replicas := startReplicas(b, 3)
			progress := make(chan struct{}, 1)
			var stream *Stream
			stream = NewStream(1, "w", 1, http.DefaultClient, func(context.Context) ([]journal.Record, uint64, bool) { return nil, stream.Next(), true }, func() {
				select {
				case progress <- struct{}{}:
				default:
				}
			}, func(*state.FencedError) {})
			defer stream.Close()
			stream.SetReplicas(1, 2, replicas)
			for !stream.Status().SetComplete {
				<-progress
			}
			n := 0
			for b.Loop() {
				var records []journal.Record
				for range perBatch {
					n++
					id := fmt.Sprint("m", n)
					records = append(records, acceptedRecord(id, 300), journal.Record{Op: journal.OpTry, ID: id}, journal.Record{Op: journal.OpEnd, ID: id})
				}
				for next := stream.Append(true, records...); stream.Status().Committed < next; {
					<-progress
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*perBatch), "us/message")
		})
	}
}
