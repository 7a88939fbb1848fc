package journal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"larchrouter/choice"
)

// Slopes of the journal, for docs/CAPACITY.md. The largest sizes are left out with -short.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./internal/journal

// sizes are those of a benchmark; the last ones are left out with -short.
func benchmarkSizes(long int, all ...int) []int {
	if testing.Short() {
		return all[:len(all)-long]
	}
	return all
}

// entry is a message of 200 bytes with the terms that a relay records.
func entryWithTerms(id string) Record {
	return Record{Op: OpAccepted, Entry: &Entry{ID: id, Class: "job-order", Dest: 7, Tenant: "acme", Key: "5c0f6e1a2b3d4c59a8b7c6d5" + id,
		Due: time.Now().Add(time.Hour).UnixMilli(), Body: bytes.Repeat([]byte("x"), 200),
		Terms: &choice.Terms{Class: choice.Class{Name: "job-order", Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1,
			LateShare: 0.3, Effect: choice.Keyed, SameZone: true, Window: 15 * time.Second}, Attempts: 6}}}
}

// filled is a journal with room for so many bytes that holds so many messages.
func openFilled(tb testing.TB, dir string, budget int64, messages int) *Journal {
	tb.Helper()
	j, err := Open(dir, budget)
	if err != nil {
		tb.Fatal(err)
	}
	for i := 0; i < messages; {
		var recs []Record
		for ; i < messages && len(recs) < 1000; i++ {
			recs = append(recs, entryWithTerms(fmt.Sprintf("held%08d", i)))
		}
		if err := j.Append(recs...); err != nil {
			tb.Fatal(i, err)
		}
	}
	return j
}

// pass has one message be taken on, tried and ended, and returns the bytes written for it, and those written again by
// compactions on the way.
func passMessage(tb testing.TB, j *Journal, n int) (written, again int64) {
	id := fmt.Sprintf("pass%08d", n)
	for _, r := range []Record{entryWithTerms(id), {Op: OpTry, ID: id, At: 1, WaitMs: 2000}, {Op: OpEnd, ID: id}} {
		size := int64(len(appendFrame(nil, r)))
		before := j.fileBytes
		if err := j.Append(r); err != nil {
			tb.Fatal(err)
		}
		if written += size; j.fileBytes != before+size {
			again += j.fileBytes - size
		}
	}
	return written, again
}

// BenchmarkScaleBytesByHeld is what a message writes that passes while so many others are held, in a journal with room for
// 16 MB: its own records, and what compactions write again.
func BenchmarkScaleBytesByHeld(b *testing.B) {
	const budget = 16e6
	for _, n := range []int{60, 600, 3_000, 6_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			j := openFilled(b, b.TempDir(), budget, n)
			defer j.Close()
			var written, again int64
			i := 0
			one := func() {
				w, a := passMessage(b, j, i)
				written, again = written+w, again+a
				i++
			}
			for again == 0 { // to the first compaction
				one()
			}
			written, again, i = 0, 0, 0
			for again == 0 { // and to the next: what lies between is what each of them is for
				one()
			}
			own, rewritten := float64(written)/float64(i), float64(again)/float64(i)
			for b.Loop() {
				one()
			}
			b.ReportMetric(own, "B/msg")
			b.ReportMetric(rewritten, "again-B/msg")
		})
	}
}

// BenchmarkScaleStartByHeld is what a start takes with so many messages held: time, what is allocated on the way, and what
// stays. The file is in the machine's cache.
func BenchmarkScaleStartByHeld(b *testing.B) {
	for _, n := range benchmarkSizes(1, 1_000, 10_000, 50_000, 200_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			openFilled(b, dir, 4e9, n).Close()
			info, err := os.Stat(filepath.Join(dir, "journal"))
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			j, err := Open(dir, 4e9)
			if err != nil || j.Len() != n {
				b.Fatal(j.Len(), err)
			}
			runtime.ReadMemStats(&after)
			allocated := after.TotalAlloc - before.TotalAlloc
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			j.Close()
			for b.Loop() {
				j, err := Open(dir, 4e9)
				if err != nil || j.Len() != n {
					b.Fatal(j.Len(), err)
				}
				j.Close()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/held")
			b.ReportMetric(float64(info.Size())/float64(n), "file-B/held")
			b.ReportMetric(held/float64(n), "B/held")
			b.ReportMetric(float64(allocated)/float64(n), "alloc-B/held")
		})
	}
}

// BenchmarkScaleCompactByHeld is how long the loop stands still while a journal of so many messages is written anew.
func BenchmarkScaleCompactByHeld(b *testing.B) {
	for _, n := range benchmarkSizes(1, 1_000, 10_000, 50_000, 200_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			j := openFilled(b, b.TempDir(), 4e9, n)
			defer j.Close()
			for b.Loop() {
				if err := j.Compact(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/held")
		})
	}
}

// Guards the benchmarks above: what passes leaves what is held, compactions come and are counted, and a start finds all.
func TestScaleBenchmarkSetup(t *testing.T) {
	dir := t.TempDir()
	j := openFilled(t, dir, 1e6, 100)
	var written, again int64
	n := 0
	for again == 0 {
		w, a := passMessage(t, j, n)
		written, again = written+w, again+a
		n++
	}
	if j.Len() != 100 || n < 500 || written < 700*int64(n) || again < 100*500 || again > 100*1000 {
		t.Errorf("%d messages held, want 100; %d passed with %d bytes, and %d were written again", j.Len(), n, written, again)
	}
	if err := j.Compact(); err != nil || j.Len() != 100 {
		t.Errorf("%d messages held after it was written anew, %v", j.Len(), err)
	}
	j.Close()
	if j = openFilled(t, dir, 1e6, 0); j.Len() != 100 {
		t.Errorf("%d messages after a start, want 100", j.Len())
	}
	j.Close()
}
