package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/keeper/api"
)

// Slopes of keepers and their members, for docs/CAPACITY.md: three keepers on loopback, and members as relays have them but for
// the loop, all in this process. The largest sizes are left out with -short.
//
//	go test -run '^$' -bench Scale -benchtime 1x -count 3 ./internal/keeper

// sizes are those of a benchmark; the last ones are left out with -short.
func sizes(long int, all ...int) []int {
	if testing.Short() {
		return all[:len(all)-long]
	}
	return all
}

// memory is what is on the heap and on stacks once all garbage is gone.
func memory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// padded is a document of about so many bytes that can be taken up: it has a further class with a long name.
func padded(attempts, bytes int) json.RawMessage {
	d := string(doc(attempts))
	const more = `,{"name":"%s","aim":1,"give-up":4,"effect":"idempotent","group":"all","worth":1}`
	if n := bytes - len(d) - len(more); n > 0 {
		d = strings.Replace(d, `}],`, `}`+fmt.Sprintf(more, strings.Repeat("x", n))+`],`, 1)
	}
	return json.RawMessage(d)
}

// change has the crowd's settings be changed, and waits until all act by them alone and have said so.
func (c *crowd) change(tb testing.TB, base uint64, doc json.RawMessage) uint64 {
	tb.Helper()
	var made api.Made
	if err := c.client.Call(context.Background(), http.MethodPost, api.GenerationsPath, api.Proposal{Op: fmt.Sprint("op-", base), Base: base, Doc: doc}, &made); err != nil {
		tb.Fatal(err)
	}
	c.until(tb, func(st *api.Status) bool {
		return st.Force != nil && st.Force.Number == made.Number && len(st.Pending) == 0
	})
	return made.Number
}

// changes reports what a change takes, over a few of them.
func (c *crowd) changes(b *testing.B, members, docBytes int) {
	base := uint64(0)
	bytes, cpu := c.bytes.Load(), processorTime(b)
	for b.Loop() {
		base = c.change(b, base, padded(3+int(base%3), docBytes))
	}
	n := float64(b.N * members)
	b.ReportMetric(float64(c.bytes.Load()-bytes)/n, "B/member")
	b.ReportMetric(float64((processorTime(b)-cpu).Nanoseconds())/n, "cpu-ns/member")
	b.ReportMetric(60*float64(b.N)/b.Elapsed().Seconds(), "changes/min")
}

// BenchmarkScaleChangeByMembers is what a change of settings takes until so many members act by it, and how many a minute can
// follow each other.
func BenchmarkScaleChangeByMembers(b *testing.B) {
	for _, n := range sizes(1, 20, 60, 200, 2_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) { newCrowd(b, 3, n).changes(b, n, 0) })
	}
}

// BenchmarkScaleChangeByDocument is the same by the bytes of the document, with 100 members.
func BenchmarkScaleChangeByDocument(b *testing.B) {
	for _, n := range []int{400, 4_000, 16_000, 40_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { newCrowd(b, 3, 100).changes(b, 100, n) })
	}
}

// BenchmarkScaleSessionsByMembers is what sessions take that stay, in a second and for each member: bytes, answers, processor
// time and memory of keepers and member together.
func BenchmarkScaleSessionsByMembers(b *testing.B) {
	for _, n := range sizes(1, 20, 60, 200, 2_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := memory()
			c := newCrowd(b, 3, n)
			c.change(b, 0, doc(4)) // all have a document
			held := (memory() - before) / float64(n)
			const span = 3 * time.Second
			bytes, cpu, heard := c.bytes.Load(), processorTime(b), c.heard.Load()
			for b.Loop() {
				time.Sleep(span)
			}
			per := span.Seconds() * float64(b.N*n)
			b.ReportMetric(float64(c.bytes.Load()-bytes)/per, "B/s/member")
			b.ReportMetric(float64(c.heard.Load()-heard)/per, "answers/s/member")
			b.ReportMetric(float64((processorTime(b)-cpu).Nanoseconds())/per, "cpu-ns/s/member")
			b.ReportMetric(held, "B/member")
		})
	}
}

// bare begins so many sessions with a keeper by connections that take next to nothing on the member's side, each with a call
// that waits. It returns what ends them.
func bare(tb testing.TB, k *Keeper, members int) (end func()) {
	tb.Helper()
	var conns []net.Conn
	for i := range members {
		conn, err := net.Dial("tcp", k.Addr())
		if err != nil {
			tb.Fatal(err)
		}
		conns = append(conns, conn)
		body := fmt.Sprintf(`{"name":"relay/%d","instance":"instance-%d","turn":0,"wait_ms":4000}`, i, i)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: k\r\nContent-Length: %d\r\n\r\n%s", api.SessionPath, len(body), body)
	}
	return func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// BenchmarkScaleKeeperByMembers is what one keeper holds for each member whose call waits: its session, its place in the state, and
// its connection.
func BenchmarkScaleKeeperByMembers(b *testing.B) {
	for _, n := range sizes(1, 20, 200, 1_000, 4_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCrowd(b, 1, 0)
			before := memory()
			end := bare(b, c.keepers[0], n)
			c.until(b, func(st *api.Status) bool { return len(st.Members) == n })
			held := (memory() - before) / float64(n)
			for b.Loop() { // it is not the time that counts here
			}
			end()
			b.ReportMetric(held, "B/member")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// Guards the benchmarks above: members act by what was changed, a document's size is what is asked for, and each call that waits is
// a member's.
func TestScaleSetUps(t *testing.T) {
	c := newCrowd(t, 1, 5)
	before := c.bytes.Load()
	base := c.change(t, 0, padded(4, 4_000))
	if n := c.bytes.Load() - before; base == 0 || n < 5*4_000 {
		t.Errorf("generation %d with %d bytes, want 20,000 at least", base, n)
	}
	if n := len(padded(4, 4_000)); n < 3_900 || n > 4_100 {
		t.Errorf("a document of %d bytes, want about 4,000", n)
	}
	alone := newCrowd(t, 1, 0)
	defer bare(t, alone.keepers[0], 20)()
	alone.until(t, func(st *api.Status) bool { return len(st.Members) == 20 })
}
