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

// These benchmarks measure how costs grow with the number of members and the size of the document, for docs/CAPACITY.md:
// three keepers on loopback and members without a relay loop, all in this process. The largest sizes are left out with
// -short.
//
//	go test -run '^$' -bench Scale -benchtime 1x -count 3 ./internal/keeper

// memberCounts returns the sizes of a benchmark. The last ones, as many as largest says, are left out with -short.
func memberCounts(largest int, counts ...int) []int {
	if testing.Short() {
		return counts[:len(counts)-largest]
	}
	return counts
}

// memoryInUse returns the bytes in use on the heap and on stacks after garbage collection.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// paddedDocument returns a valid document of about the given number of bytes. It has an additional class with a long name.
func paddedDocument(attempts, bytes int) json.RawMessage {
	document := string(testDocument(attempts))
	const extraClass = `,{"name":"%s","aim":1,"give-up":4,"effect":"idempotent","group":"all","late-share":0,"stream":false,"worth":1}`
	if padding := bytes - len(document) - len(extraClass); padding > 0 {
		document = strings.Replace(document, `}],`, `}`+fmt.Sprintf(extraClass, strings.Repeat("x", padding))+`],`, 1)
	}
	return json.RawMessage(document)
}

// changeSettings changes the members' settings, waits until all members act by them alone and have confirmed that, and
// returns the number of the generation.
func (p *memberPool) changeSettings(tb testing.TB, base uint64, doc json.RawMessage) uint64 {
	tb.Helper()
	var made api.ChangeResponse
	if err := p.client.Call(context.Background(), http.MethodPost, api.GenerationsPath, api.Proposal{OperationID: fmt.Sprint("op-", base), Base: base, Doc: doc}, &made); err != nil {
		tb.Fatal(err)
	}
	p.awaitStatus(tb, func(st *api.Status) bool {
		return st.Effective != nil && st.Effective.Number == made.Number && len(st.Pending) == 0
	})
	return made.Number
}

// reportChanges runs changes and reports the average cost of one.
func (p *memberPool) reportChanges(b *testing.B, members, docBytes int) {
	base := uint64(0)
	bytes, cpu := p.bytes.Load(), processorTime(b)
	for b.Loop() {
		base = p.changeSettings(b, base, paddedDocument(3+int(base%3), docBytes))
	}
	n := float64(b.N * members)
	b.ReportMetric(float64(p.bytes.Load()-bytes)/n, "B/member")
	b.ReportMetric(float64((processorTime(b)-cpu).Nanoseconds())/n, "cpu-ns/member")
	b.ReportMetric(60*float64(b.N)/b.Elapsed().Seconds(), "changes/min")
}

// BenchmarkScaleChangeByMembers measures the cost of a change of settings until all members act by it, and the number of
// consecutive changes per minute, by the number of members.
func BenchmarkScaleChangeByMembers(b *testing.B) {
	for _, n := range memberCounts(1, 20, 60, 200, 2_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) { newMemberPool(b, 3, n).reportChanges(b, n, 0) })
	}
}

// BenchmarkScaleChangeByDocument measures the same by the size of the document in bytes, with 100 members.
func BenchmarkScaleChangeByDocument(b *testing.B) {
	for _, n := range []int{400, 4_000, 16_000, 40_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { newMemberPool(b, 3, 100).reportChanges(b, 100, n) })
	}
}

// BenchmarkScaleSessionsByMembers measures the cost of steady sessions, per second and member: bytes, answers, processor
// time and memory of keepers and members together.
func BenchmarkScaleSessionsByMembers(b *testing.B) {
	for _, n := range memberCounts(1, 20, 60, 200, 2_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := memoryInUse()
			pool := newMemberPool(b, 3, n)
			pool.changeSettings(b, 0, testDocument(4)) // all members have a document
			bytesPerMember := (memoryInUse() - before) / float64(n)
			const span = 3 * time.Second
			bytes, cpu, answers := pool.bytes.Load(), processorTime(b), pool.answers.Load()
			for b.Loop() {
				time.Sleep(span)
			}
			per := span.Seconds() * float64(b.N*n)
			b.ReportMetric(float64(pool.bytes.Load()-bytes)/per, "B/s/member")
			b.ReportMetric(float64(pool.answers.Load()-answers)/per, "answers/s/member")
			b.ReportMetric(float64((processorTime(b)-cpu).Nanoseconds())/per, "cpu-ns/s/member")
			b.ReportMetric(bytesPerMember, "B/member")
		})
	}
}

// openBareSessions begins sessions with a keeper over bare connections, which need almost no memory on the member's side.
// Each has a call that waits. The function that it returns closes the connections.
func openBareSessions(tb testing.TB, k *Keeper, members int) (end func()) {
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

// BenchmarkScaleKeeperByMembers measures the memory that one keeper needs for each member with a waiting call: its session,
// its entry in the state, and its connection.
func BenchmarkScaleKeeperByMembers(b *testing.B) {
	for _, n := range memberCounts(1, 20, 200, 1_000, 4_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool := newMemberPool(b, 1, 0)
			before := memoryInUse()
			end := openBareSessions(b, pool.keepers[0], n)
			pool.awaitStatus(b, func(st *api.Status) bool { return len(st.Members) == n })
			bytesPerMember := (memoryInUse() - before) / float64(n)
			for b.Loop() { // only memory is measured
			}
			end()
			b.ReportMetric(bytesPerMember, "B/member")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// Guards against benchmarks that measure something else: members must receive the change, a document must have the size
// asked for, and each waiting call must belong to a member.
func TestScaleBenchmarkSetup(t *testing.T) {
	pool := newMemberPool(t, 1, 5)
	before := pool.bytes.Load()
	base := pool.changeSettings(t, 0, paddedDocument(4, 4_000))
	if n := pool.bytes.Load() - before; base == 0 || n < 5*4_000 {
		t.Errorf("generation %d with %d bytes, want 20,000 at least", base, n)
	}
	if n := len(paddedDocument(4, 4_000)); n < 3_900 || n > 4_100 {
		t.Errorf("a document of %d bytes, want about 4,000", n)
	}
	single := newMemberPool(t, 1, 0)
	defer openBareSessions(t, single.keepers[0], 20)()
	single.awaitStatus(t, func(st *api.Status) bool { return len(st.Members) == 20 })
}
