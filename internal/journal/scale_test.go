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

// benchmarkSizes returns the sizes of a benchmark, without the last ones with -short.
func benchmarkSizes(long int, all ...int) []int {
	if testing.Short() {
		return all[:len(all)-long]
	}
	return all
}

// entryWithTerms returns the record of an accepted message of 200 bytes, with terms as a relay records them.
func entryWithTerms(id string) Record {
	return Record{Op: OpAccepted, Entry: &Entry{ID: id, Class: "job-order", Dest: 7, Tenant: "acme", Key: "5c0f6e1a2b3d4c59a8b7c6d5" + id,
		Due: time.Now().Add(time.Hour).UnixMilli(), Body: bytes.Repeat([]byte("x"), 200),
		Terms: &choice.Terms{Class: choice.Class{Name: "job-order", Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1,
			LateShare: 0.3, Effect: choice.Keyed, SameZone: true, Window: 15 * time.Second}, Attempts: 6}}}
}

// openFilled returns a journal with that budget in bytes and that many pending messages.
func openFilled(tb testing.TB, dir string, budget int64, messages int) *Journal {
	tb.Helper()
	journal, err := Open(dir, budget)
	if err != nil {
		tb.Fatal(err)
	}
	for i := 0; i < messages; {
		var records []Record
		for ; i < messages && len(records) < 1000; i++ {
			records = append(records, entryWithTerms(fmt.Sprintf("held%08d", i)))
		}
		if err := journal.Append(records...); err != nil {
			tb.Fatal(i, err)
		}
	}
	return journal
}

// passMessage accepts, tries and ends one message. It returns the bytes written for it, and the bytes that compactions on
// the way wrote again.
func passMessage(tb testing.TB, j *Journal, n int) (written, rewritten int64) {
	id := fmt.Sprintf("pass%08d", n)
	for _, r := range []Record{entryWithTerms(id), {Op: OpTry, ID: id, At: 1, WaitMs: 2000}, {Op: OpEnd, ID: id}} {
		size := int64(len(appendFrame(nil, r)))
		before := j.fileBytes
		if err := j.Append(r); err != nil {
			tb.Fatal(err)
		}
		if written += size; j.fileBytes != before+size {
			rewritten += j.fileBytes - size
		}
	}
	return written, rewritten
}

// BenchmarkScaleBytesByHeld measures the bytes written for a message while others are pending, in a journal with a budget
// of 16 MB: its own records, and its share of what compactions write again.
func BenchmarkScaleBytesByHeld(b *testing.B) {
	const budget = 16e6
	for _, n := range []int{60, 600, 3_000, 6_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			j := openFilled(b, b.TempDir(), budget, n)
			defer j.Close()
			var written, rewritten int64
			i := 0
			passOne := func() {
				w, a := passMessage(b, j, i)
				written, rewritten = written+w, rewritten+a
				i++
			}
			for rewritten == 0 { // up to the first compaction
				passOne()
			}
			written, rewritten, i = 0, 0, 0
			for rewritten == 0 { // up to the next one, whose cost the messages in between share
				passOne()
			}
			ownPerMessage, rewrittenPerMessage := float64(written)/float64(i), float64(rewritten)/float64(i)
			for b.Loop() {
				passOne()
			}
			b.ReportMetric(ownPerMessage, "B/msg")
			b.ReportMetric(rewrittenPerMessage, "again-B/msg")
		})
	}
}

// BenchmarkScaleStartByHeld measures a start by the number of pending messages: its time, the bytes it allocates, and those
// that stay allocated. The file is in the page cache.
func BenchmarkScaleStartByHeld(b *testing.B) {
	for _, messages := range benchmarkSizes(1, 1_000, 10_000, 50_000, 200_000) {
		b.Run(fmt.Sprint(messages), func(b *testing.B) {
			dir := b.TempDir()
			openFilled(b, dir, 4e9, messages).Close()
			info, err := os.Stat(filepath.Join(dir, "journal"))
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			journal, err := Open(dir, 4e9)
			if err != nil || journal.Len() != messages {
				b.Fatal(journal.Len(), err)
			}
			runtime.ReadMemStats(&after)
			allocated := after.TotalAlloc - before.TotalAlloc
			runtime.GC()
			runtime.ReadMemStats(&after)
			retained := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			journal.Close()
			for b.Loop() {
				journal, err := Open(dir, 4e9)
				if err != nil || journal.Len() != messages {
					b.Fatal(journal.Len(), err)
				}
				journal.Close()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(messages), "ns/held")
			b.ReportMetric(float64(info.Size())/float64(messages), "file-B/held")
			b.ReportMetric(retained/float64(messages), "B/held")
			b.ReportMetric(float64(allocated)/float64(messages), "alloc-B/held")
		})
	}
}

// BenchmarkScaleCompactByHeld measures how long a compaction blocks the loop, by the number of pending messages.
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

// Guards the setup of the benchmarks above: passing messages leave the pending ones, compactions happen and are counted, and
// a start finds all messages.
func TestScaleBenchmarkSetup(t *testing.T) {
	dir := t.TempDir()
	journal := openFilled(t, dir, 1e6, 100)
	var written, rewritten int64
	passed := 0
	for rewritten == 0 {
		w, a := passMessage(t, journal, passed)
		written, rewritten = written+w, rewritten+a
		passed++
	}
	if journal.Len() != 100 || passed < 500 || written < 700*int64(passed) || rewritten < 100*500 || rewritten > 100*1000 {
		t.Errorf("%d messages pending, want 100; %d passed with %d bytes, and %d bytes were written again", journal.Len(), passed, written, rewritten)
	}
	if err := journal.Compact(); err != nil || journal.Len() != 100 {
		t.Errorf("%d messages pending after compaction, %v", journal.Len(), err)
	}
	journal.Close()
	if journal = openFilled(t, dir, 1e6, 0); journal.Len() != 100 {
		t.Errorf("%d messages after a start, want 100", journal.Len())
	}
	journal.Close()
}
