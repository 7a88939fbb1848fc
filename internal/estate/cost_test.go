package estate

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"larchrouter/internal/estate/state"
	"larchrouter/internal/journal"
)

// holders are so many that run, in folders of their own.
func holders(b *testing.B, n int) (all []state.Holder) {
	for i := range n {
		dir := filepath.Join(b.TempDir(), fmt.Sprint("h", i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			b.Fatal(err)
		}
		_, at := serving(b, dir, partsOf*(4<<20))
		all = append(all, at)
	}
	return all
}

// BenchmarkTakeOver is what an heir does between its naming and its first own record: promises of two holders of three, the
// newest copy, and the whole to two of its holders.
func BenchmarkTakeOver(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hs := holders(b, 3)
			var recs []journal.Record
			for i := range n {
				recs = append(recs, taken(fmt.Sprint("m", i), 300))
			}
			for _, h := range hs {
				if err := post(b, h, CopyPath, Batch{Estate: 1, Epoch: 1, Writer: "w0", First: uint64(n + 1), Whole: true, Records: recs}, &Taken{}); err != nil {
					b.Fatal(err)
				}
			}
			epoch := uint64(1)
			for b.Loop() {
				epoch++
				writer := fmt.Sprint("w", epoch)
				found, err := Find(context.Background(), http.DefaultClient, Promise{Estate: 1, Epoch: epoch, Writer: writer}, []state.Set{{Copies: 2, Holders: hs}})
				if err != nil || found == nil || len(found.Records) != n {
					b.Fatalf("found %v, %v", found, err)
				}
				news := make(chan struct{}, 16)
				s := NewStream(1, writer, found.Next, http.DefaultClient, func(context.Context) ([]journal.Record, uint64, bool) {
					return append([]journal.Record(nil), found.Records...), found.Next, true
				},
					func() { news <- struct{}{} }, func(*state.Sealed) {})
				s.Set(epoch, 2, hs)
				for !s.Standing().Filled {
					<-news
				}
				s.Close()
			}
		})
	}
}

// BenchmarkStream is records that count at two holders of three, one after the other and as many as come.
func BenchmarkStream(b *testing.B) {
	for _, together := range []int{1, 100} {
		b.Run(fmt.Sprint(together), func(b *testing.B) {
			hs := holders(b, 3)
			news := make(chan struct{}, 1)
			var s *Stream
			s = NewStream(1, "w", 1, http.DefaultClient, func(context.Context) ([]journal.Record, uint64, bool) { return nil, s.Next(), true }, func() {
				select {
				case news <- struct{}{}:
				default:
				}
			}, func(*state.Sealed) {})
			defer s.Close()
			s.Set(1, 2, hs)
			for !s.Standing().Filled {
				<-news
			}
			n := 0
			for b.Loop() {
				var recs []journal.Record
				for range together {
					n++
					id := fmt.Sprint("m", n)
					recs = append(recs, taken(id, 300), journal.Record{Op: journal.OpTry, ID: id}, journal.Record{Op: journal.OpEnd, ID: id})
				}
				for next := s.Append(true, recs...); s.Standing().Counted < next; {
					<-news
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*together), "us/message")
		})
	}
}
