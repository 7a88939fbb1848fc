package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
)

// These tests and benchmarks measure the cost of a message on the whole path, from the client's connection to the end
// of the message in the journal. Client and endpoints are minimal and allocate next to nothing, so that the relay's
// cost is measured.

// readHead reads the header of a request or an answer up to its empty line, and returns the second word of its first
// line and the length of the body that follows.
func readHead(reader *bufio.Reader) (word string, length int, err error) {
	for first := true; ; first = false {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return word, length, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0:
			return word, length, nil
		case first:
			if parts := bytes.SplitN(line, []byte(" "), 3); len(parts) > 1 {
				word = string(parts[1])
			}
		case len(line) > 16 && bytes.EqualFold(line[:16], []byte("Content-Length: ")):
			length, _ = strconv.Atoi(string(line[16:]))
		}
	}
}

// newLeanHost starts a host that answers each call at once: with 200, and with ok for each message of a call with
// several.
func newLeanHost(tb testing.TB) string {
	return newRawHost(tb, func(conn net.Conn) {
		reader := bufio.NewReaderSize(conn, 64<<10)
		single := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		for {
			path, length, err := readHead(reader)
			if err != nil {
				return
			}
			answer := single
			if path == "/receive-many" {
				body := make([]byte, length)
				if _, err := io.ReadFull(reader, body); err != nil {
					return
				}
				var ends strings.Builder
				for line := range strings.Lines(string(body)) {
					if id, _, ok := strings.Cut(line, " "); ok {
						ends.WriteString(id + " ok\r\n")
					}
				}
				answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", ends.Len(), ends.String())
			} else if _, err := reader.Discard(length); err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	})
}

// costRig is a relay whose limits exceed the load of a benchmark, and one client on a persistent connection.
type costRig struct {
	tb              testing.TB
	r               *Relay
	conn            net.Conn
	in              *bufio.Reader
	body            []byte
	pendingBaseline int // messages that stay pending
	buf             []byte
	sent            int
}

func newCostRig(tb testing.TB, bodySize int, change func(*Config), more ...discovery.Server) *costRig {
	tb.Helper()
	log := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	tb.Cleanup(func() { slog.SetDefault(log) })
	platform := newFakePlatform(tb, append(more, testEndpoint("s-1", newLeanHost(tb), "taller"))...)
	relay := startRelay(tb, platform, func(config *Config) {
		config.DiskMB, config.Settings.MaxPending = 4096, 0 // no compaction happens during a benchmark
		if change != nil {
			change(config)
		}
	})
	conn, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return &costRig{tb: tb, r: relay, conn: conn, in: bufio.NewReader(conn), body: bytes.Repeat([]byte("x"), bodySize)}
}

// post posts one message, and returns the status of its answer.
func (c *costRig) post() string {
	c.sent++
	c.buf = fmt.Appendf(c.buf[:0], "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: 9b1f03aa5c7e%08d\r\nX-Class: job-order\r\n"+
		"X-Tenant: acme\r\nX-Deadline-Ms: 15000\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5%08d\r\nContent-Length: %d\r\n"+
		"X-Addressing: dest=7\r\n\r\n%s", c.sent, c.sent, len(c.body), c.body)
	if _, err := c.conn.Write(c.buf); err != nil {
		c.tb.Fatal(err)
	}
	status, length, err := readHead(c.in)
	if err != nil {
		c.tb.Fatal(err)
	}
	if _, err := c.in.Discard(length); err != nil {
		c.tb.Fatal(err)
	}
	return status
}

// settle waits until the relay has no more pending messages than at first.
func (c *costRig) settle() {
	pending := make(chan int, 1)
	for {
		c.r.post(func() { pending <- len(c.r.pending) })
		if <-pending <= c.pendingBaseline {
			return
		}
		time.Sleep(200 * time.Microsecond)
	}
}

// serve has one message served. Further messages are sent while earlier ones are in flight, as in production. Checking
// whether all have ended takes time as well, and is done only once in 64 messages.
func (c *costRig) serve() {
	if status := c.post(); status != "202" {
		c.tb.Fatalf("status %s, want 202", status)
	}
	if c.sent%64 == 0 {
		c.settle()
	}
}

// journalSize returns the current size of the journal in bytes.
func (c *costRig) journalSize() int64 {
	size := make(chan int64, 1)
	c.r.post(func() { size <- c.r.journal.Size() })
	return <-size
}

// serveTogether has several messages arrive in one turn of the loop, so that they share a call.
func (c *costRig) serveTogether(n int) {
	c.r.post(func() {
		for range n {
			c.sent++
			e := &journal.Entry{ID: fmt.Sprint("together-", c.sent), Class: "job-order", Key: fmt.Sprint("key-", c.sent), Dest: 7,
				Due: time.Now().Add(15 * time.Second).UnixMilli(), Body: c.body}
			c.r.submit(&apiRequest{entry: e, due: c.r.now() + 15*time.Second, ctx: context.Background(), reply: make(chan apiResponse, 1)})
		}
	})
	c.settle()
}

// processorTime returns the processor time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure runs a benchmark's loop, and reports the processor time and the bytes of the journal for each message.
func measure(b *testing.B, rig *costRig, messages int, serve func()) {
	for range 50 { // creates connections and buffers
		serve()
	}
	b.ReportAllocs()
	rig.settle()
	before, journal := processorTime(b), rig.journalSize()
	for b.Loop() {
		serve()
	}
	rig.settle()
	n := float64(b.N * messages)
	b.ReportMetric(float64(processorTime(b)-before)/n, "cpu-ns/msg")
	b.ReportMetric(float64(rig.journalSize()-journal)/n, "journal-B/msg")
}

// BenchmarkMessage measures the whole path on loopback: a message is accepted, recorded, sent, answered and ended.
func BenchmarkMessage(b *testing.B) {
	for _, size := range []int{200, 64 << 10} {
		b.Run(fmt.Sprint("body=", size), func(b *testing.B) {
			c := newCostRig(b, size, nil)
			measure(b, c, 1, c.serve)
		})
	}
	b.Run("endpoints=1000", func(b *testing.B) {
		c := newCostRig(b, 200, nil, longList(1000).Servers...)
		measure(b, c, 1, c.serve)
	})
	b.Run("refused", func(b *testing.B) {
		c := newCostRig(b, 200, func(c *Config) { c.Settings.MaxPending = 1 })
		full := make(chan struct{})
		c.r.post(func() { c.r.pending["one"] = &message{Entry: &journal.Entry{ID: "one"}}; close(full) })
		<-full
		c.pendingBaseline = 1
		measure(b, c, 1, func() {
			if status := c.post(); status != "503" {
				b.Fatalf("status %s, want 503", status)
			}
		})
	})
	b.Run("batched=5", func(b *testing.B) {
		c := newCostRig(b, 200, func(c *Config) {
			c.InitialList.Servers[0].Kind = "marketplace"
		})
		measure(b, c, 5, func() { c.serveTogether(5) })
	})
}

// BenchmarkRestore measures how long a start takes to open the journal of the previous process with 500 pending
// messages.
func BenchmarkRestore(b *testing.B) {
	dir := b.TempDir()
	records, err := journal.Open(dir, 64e6)
	if err != nil {
		b.Fatal(err)
	}
	terms := &choice.Terms{Class: choice.Class{Name: "job-order", Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1,
		LateShare: 0.3, Effect: choice.Keyed, SameZone: true, Window: 15 * time.Second}, Attempts: 6}
	for i := range 500 {
		entry := &journal.Entry{ID: fmt.Sprintf("9b1f03aa5c7e%08d", i), Class: "job-order", Dest: 7, Tenant: "acme", Key: fmt.Sprintf("5c0f%08d", i),
			Due: time.Now().Add(time.Hour).UnixMilli(), Body: bytes.Repeat([]byte("x"), 200), Terms: terms}
		if err := records.Append(journal.Record{Op: journal.OpAccepted, Entry: entry}, journal.Record{Op: journal.OpTry, ID: entry.ID, At: 1, WaitMs: 2000}); err != nil {
			b.Fatal(err)
		}
	}
	records.Close()
	b.ReportAllocs()
	for b.Loop() {
		records, err := journal.Open(dir, 64e6)
		if err != nil || records.Len() != 500 {
			b.Fatal(records.Len(), err)
		}
		records.Close()
	}
}

// retainedBytes returns the bytes in use on the heap and on stacks after garbage collection.
func retainedBytes() float64 {
	var stats runtime.MemStats
	for range 3 { // the second collection empties pools
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func countDescriptors(tb testing.TB) int {
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		tb.Fatal(err)
	}
	return len(names)
}

// retainedPer runs a function that creates n objects, and returns the bytes that are retained for each of them.
func retainedPer(tb testing.TB, n int, create func()) float64 {
	before := retainedBytes()
	create()
	return (retainedBytes() - before) / float64(n)
}

// addPending posts n messages that stay pending because their endpoint cannot be used.
func (c *costRig) addPending(n int) {
	for range n {
		if status := c.post(); status != "202" {
			c.tb.Fatalf("status %s, want 202", status)
		}
	}
}

func drainingEndpoint(c *Config) {
	c.InitialList.Servers[0].State = "leaving"
	c.InitialList.Full, c.Discovery = true, "127.0.0.1:1"
}

// connectClients connects n idle clients, each of which has made one request. The returned function disconnects them.
func (c *costRig) connectClients(n int) (end func()) {
	var conns []net.Conn
	for range n {
		conn, err := net.Dial("tcp", c.r.Addr())
		if err != nil {
			c.tb.Fatal(err)
		}
		conns = append(conns, conn)
		fmt.Fprintf(conn, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		in := bufio.NewReader(conn)
		if status, _, err := readHead(in); err != nil || status != "200" {
			c.tb.Fatal(status, err)
		}
	}
	return func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// longList returns a list of n endpoints.
func longList(n int) discovery.List {
	list := discovery.List{Version: 9, Full: true}
	for i := range n {
		list.Servers = append(list.Servers, discovery.Server{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1024+i%60000), Zone: "taller",
			Kind: "customer-system", Cell: 100 + i/2, State: "active", Weight: 10})
	}
	return list
}

// BenchmarkHeld measures what a relay retains for each pending message, idle client and known endpoint. The client's
// side of a connection is in the same process and is counted, too.
func BenchmarkHeld(b *testing.B) {
	report := func(b *testing.B, n int, create func(rig *costRig, n int) func()) {
		rig := newCostRig(b, 200, drainingEndpoint)
		rig.addPending(20)
		var end func()
		fds := countDescriptors(b)
		retained := retainedPer(b, n, func() { end = create(rig, n) })
		fds = countDescriptors(b) - fds
		if end != nil {
			end()
		}
		for b.Loop() { // the time is of no interest here
		}
		b.ReportMetric(retained, "held-B")
		b.ReportMetric(float64(fds)/float64(n), "fds")
		b.ReportMetric(0, "ns/op")
	}
	b.Run("message", func(b *testing.B) {
		report(b, 500, func(rig *costRig, n int) func() { rig.addPending(n); return nil })
	})
	b.Run("client", func(b *testing.B) {
		report(b, 200, func(rig *costRig, n int) func() { return rig.connectClients(n) })
	})
	b.Run("endpoint", func(b *testing.B) {
		report(b, 2000, func(rig *costRig, n int) func() {
			list, done := longList(n), make(chan struct{})
			rig.r.post(func() { rig.r.applyList(list) })
			rig.r.post(func() { close(done) })
			<-done
			return nil
		})
	})
}

// Guards against a message that costs more allocations, more bytes of the journal, or connections of its own. The limit
// on allocations is a third above the 142 that were counted; the race detector adds 25.
func TestCostOfAMessage(t *testing.T) {
	rig := newCostRig(t, 200, nil)
	for range 128 { // creates connections and buffers
		rig.serve()
	}
	journal := rig.journalSize()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const messages = 512
	for range messages {
		rig.serve()
	}
	rig.settle()
	runtime.ReadMemStats(&after)
	if n := float64(after.Mallocs-before.Mallocs) / messages; n > 190 {
		t.Errorf("a message takes %.1f allocations, want 190 at most", n)
	}
	if n := float64(rig.journalSize()-journal) / messages; n > 820 {
		t.Errorf("a message takes %.1f bytes of the journal, want 820 at most", n)
	}
	// Messages in flight at the same time have a connection each, and their number depends on the machine. Messages
	// sent one after the other share the existing connections: a call's connection is idle before the result of the
	// call is reported.
	fds := countDescriptors(t)
	for range messages {
		rig.serve()
		rig.settle()
	}
	if n := countDescriptors(t) - fds; n > 0 {
		t.Errorf("%d messages, one after the other on one connection, leave %d more descriptors", messages, n)
	}
}

// Guards against a size that differs from that of the frame: a body over 64 KiB would be sent, or one too short.
func TestFrameSize(t *testing.T) {
	for _, m := range []*message{{Entry: &journal.Entry{ID: "a"}}, {Entry: &journal.Entry{ID: "abc", Key: "k", Body: []byte("hello")}},
		{Entry: &journal.Entry{ID: "a", Body: make([]byte, 10)}}, {Entry: &journal.Entry{ID: "a", Key: "key", Body: make([]byte, maxBodyBytes)}}} {
		want(t, "size", frameSize(m), len(appendFrame(nil, m)))
	}
}
