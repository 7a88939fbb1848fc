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

// What a message costs on the whole path, from the client's connection to its end in the journal, with
// stand-ins that allocate next to nothing: what is counted is the relay's.

// readHead reads a head as far as its empty line, and returns its first line's second word and the length
// of the body that follows.
func readHead(in *bufio.Reader) (word string, length int, err error) {
	for first := true; ; first = false {
		line, err := in.ReadSlice('\n')
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

// leanHost answers each call at once: 200, and ok for each message of one with several.
func leanHost(tb testing.TB) string {
	return bareHost(tb, func(conn net.Conn) {
		in := bufio.NewReaderSize(conn, 64<<10)
		single := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		for {
			path, length, err := readHead(in)
			if err != nil {
				return
			}
			answer := single
			if path == "/receive-many" {
				body := make([]byte, length)
				if _, err := io.ReadFull(in, body); err != nil {
					return
				}
				var ends strings.Builder
				for line := range strings.Lines(string(body)) {
					if id, _, ok := strings.Cut(line, " "); ok {
						ends.WriteString(id + " ok\r\n")
					}
				}
				answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", ends.Len(), ends.String())
			} else if _, err := in.Discard(length); err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	})
}

// costRig is a relay with room for whatever a benchmark brings, and one client on a kept connection.
type costRig struct {
	tb   testing.TB
	r    *Relay
	conn net.Conn
	in   *bufio.Reader
	body []byte
	held int // messages that stay
	buf  []byte
	n    int
}

func newCostRig(tb testing.TB, bodySize int, change func(*Config), more ...discovery.Server) *costRig {
	tb.Helper()
	log := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	tb.Cleanup(func() { slog.SetDefault(log) })
	p := newPlatform(tb, append(more, at("s-1", leanHost(tb), "taller"))...)
	r := startRelay(tb, p, func(c *Config) {
		c.DiskMB, c.Settings.MaxHeld = 4096, 0 // no compaction comes between
		if change != nil {
			change(c)
		}
	})
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return &costRig{tb: tb, r: r, conn: conn, in: bufio.NewReader(conn), body: bytes.Repeat([]byte("x"), bodySize)}
}

// hand posts one message and returns the status of its answer.
func (c *costRig) hand() string {
	c.n++
	c.buf = fmt.Appendf(c.buf[:0], "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: 9b1f03aa5c7e%08d\r\nX-Class: job-order\r\n"+
		"X-Tenant: acme\r\nX-Deadline-Ms: 15000\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5%08d\r\nContent-Length: %d\r\n"+
		"X-Addressing: dest=7\r\n\r\n%s", c.n, c.n, len(c.body), c.body)
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

// settle waits until the relay holds no more than it did at first.
func (c *costRig) settle() {
	held := make(chan int, 1)
	for {
		c.r.post(func() { held <- len(c.r.held) })
		if <-held <= c.held {
			return
		}
		time.Sleep(200 * time.Microsecond)
	}
}

// serve has one message served. Messages follow each other while earlier ones are out, as they do in service;
// looking whether all have ended costs too, and is done seldom.
func (c *costRig) serve() {
	if status := c.hand(); status != "202" {
		c.tb.Fatalf("status %s, want 202", status)
	}
	if c.n%64 == 0 {
		c.settle()
	}
}

// journalSize is what the journal has grown to.
func (c *costRig) journalSize() int64 {
	size := make(chan int64, 1)
	c.r.post(func() { size <- c.r.journal.Size() })
	return <-size
}

// together has several messages come in one turn of the loop, so that they share a call.
func (c *costRig) together(n int) {
	c.r.post(func() {
		for range n {
			c.n++
			e := &journal.Entry{ID: fmt.Sprint("together-", c.n), Class: "job-order", Key: fmt.Sprint("key-", c.n), Dest: 7,
				Due: time.Now().Add(15 * time.Second).UnixMilli(), Body: c.body}
			c.r.take(&intake{entry: e, due: c.r.now() + 15*time.Second, ctx: context.Background(), reply: make(chan answer, 1)})
		}
	})
	c.settle()
}

// processorTime is what this process has used.
func processorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure runs a benchmark's loop, and reports processor time and bytes of the journal for each message.
func measure(b *testing.B, c *costRig, messages int, each func()) {
	for range 50 { // connections and buffers are there
		each()
	}
	b.ReportAllocs()
	c.settle()
	before, journal := processorTime(b), c.journalSize()
	for b.Loop() {
		each()
	}
	c.settle()
	n := float64(b.N * messages)
	b.ReportMetric(float64(processorTime(b)-before)/n, "cpu-ns/msg")
	b.ReportMetric(float64(c.journalSize()-journal)/n, "journal-B/msg")
}

// BenchmarkMessage is the whole path on loopback: taken, recorded, sent, answered, ended.
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
		c := newCostRig(b, 200, func(c *Config) { c.Settings.MaxHeld = 1 })
		full := make(chan struct{})
		c.r.post(func() { c.r.held["one"] = &message{Entry: &journal.Entry{ID: "one"}}; close(full) })
		<-full
		c.held = 1
		measure(b, c, 1, func() {
			if status := c.hand(); status != "503" {
				b.Fatalf("status %s, want 503", status)
			}
		})
	})
	b.Run("batched=5", func(b *testing.B) {
		c := newCostRig(b, 200, func(c *Config) {
			c.Known.Servers[0].Kind = "marketplace"
		})
		measure(b, c, 5, func() { c.together(5) })
	})
}

// BenchmarkRestore is what a start takes to take up what the process before it held.
func BenchmarkRestore(b *testing.B) {
	dir := b.TempDir()
	j, err := journal.Open(dir, 64e6)
	if err != nil {
		b.Fatal(err)
	}
	terms := &choice.Terms{Class: choice.Class{Name: "job-order", Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1,
		LateShare: 0.3, Effect: choice.Keyed, SameZone: true, Window: 15 * time.Second}, Attempts: 6}
	for i := range 500 {
		e := &journal.Entry{ID: fmt.Sprintf("9b1f03aa5c7e%08d", i), Class: "job-order", Dest: 7, Tenant: "acme", Key: fmt.Sprintf("5c0f%08d", i),
			Due: time.Now().Add(time.Hour).UnixMilli(), Body: bytes.Repeat([]byte("x"), 200), Terms: terms}
		if err := j.Append(journal.Record{Op: journal.OpAccepted, Entry: e}, journal.Record{Op: journal.OpTry, ID: e.ID, At: 1, WaitMs: 2000}); err != nil {
			b.Fatal(err)
		}
	}
	j.Close()
	b.ReportAllocs()
	for b.Loop() {
		j, err := journal.Open(dir, 64e6)
		if err != nil || j.Len() != 500 {
			b.Fatal(j.Len(), err)
		}
		j.Close()
	}
}

// heldBytes is what is on the heap and on stacks once all garbage is gone.
func heldBytes() float64 {
	var m runtime.MemStats
	for range 3 { // pools are emptied by the second collection
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func descriptors(tb testing.TB) int {
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		tb.Fatal(err)
	}
	return len(names)
}

// holding reports what one of many things takes that a relay holds, in bytes.
func holding(tb testing.TB, n int, what func()) float64 {
	before := heldBytes()
	what()
	return (heldBytes() - before) / float64(n)
}

// open has the relay hold so many messages that wait, for their endpoint is not to be reached.
func (c *costRig) open(n int) {
	for range n {
		if status := c.hand(); status != "202" {
			c.tb.Fatalf("status %s, want 202", status)
		}
	}
}

func drains(c *Config) {
	c.Known.Servers[0].State = "leaving"
	c.Known.Full, c.Discovery = true, "127.0.0.1:1"
}

// crowd connects idle clients, each of which has handed in a message once.
func (c *costRig) crowd(n int) (end func()) {
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

// longList is a list of so many endpoints.
func longList(n int) discovery.List {
	l := discovery.List{Version: 9, Full: true}
	for i := range n {
		l.Servers = append(l.Servers, discovery.Server{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1024+i%60000), Zone: "taller",
			Kind: "customer-system", Cell: 100 + i/2, State: "active", Weight: 10})
	}
	return l
}

// BenchmarkHeld is what a relay holds for each open message, idle client and known endpoint. The stand-in's
// side of a client's connection is in the same process and counted with it.
func BenchmarkHeld(b *testing.B) {
	report := func(b *testing.B, n int, what func(c *costRig, n int) func()) {
		c := newCostRig(b, 200, drains)
		c.open(20)
		var end func()
		fds := descriptors(b)
		held := holding(b, n, func() { end = what(c, n) })
		fds = descriptors(b) - fds
		if end != nil {
			end()
		}
		for b.Loop() { // it is not the time that counts here
		}
		b.ReportMetric(held, "held-B")
		b.ReportMetric(float64(fds)/float64(n), "fds")
		b.ReportMetric(0, "ns/op")
	}
	b.Run("message", func(b *testing.B) {
		report(b, 500, func(c *costRig, n int) func() { c.open(n); return nil })
	})
	b.Run("client", func(b *testing.B) {
		report(b, 200, func(c *costRig, n int) func() { return c.crowd(n) })
	})
	b.Run("endpoint", func(b *testing.B) {
		report(b, 2000, func(c *costRig, n int) func() {
			l, done := longList(n), make(chan struct{})
			c.r.post(func() { c.r.listed(l) })
			c.r.post(func() { close(done) })
			<-done
			return nil
		})
	})
}

// Guards against a message that costs more allocations or bytes of the journal, or connections of its own. The
// bound on allocations is a third over the 142 that were counted: the race detector adds 25.
func TestCostOfAMessage(t *testing.T) {
	c := newCostRig(t, 200, nil)
	for range 128 { // connections and buffers are there
		c.serve()
	}
	journal := c.journalSize()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const messages = 512
	for range messages {
		c.serve()
	}
	c.settle()
	runtime.ReadMemStats(&after)
	if n := float64(after.Mallocs-before.Mallocs) / messages; n > 190 {
		t.Errorf("a message takes %.1f allocations, want 190 at most", n)
	}
	if n := float64(c.journalSize()-journal) / messages; n > 820 {
		t.Errorf("a message takes %.1f bytes of the journal, want 820 at most", n)
	}
	// Messages that are out together have a connection each, and how many are depends on the machine. One
	// after the other they share those there are: a call's connection is idle before its end is told.
	fds := descriptors(t)
	for range messages {
		c.serve()
		c.settle()
	}
	if n := descriptors(t) - fds; n > 0 {
		t.Errorf("%d messages, one after the other on one connection, leave %d more descriptors", messages, n)
	}
}

// Guards against a size that is not that of the frame: a body over 64 KiB would go out, or one too short.
func TestFrameSize(t *testing.T) {
	for _, m := range []*message{{Entry: &journal.Entry{ID: "a"}}, {Entry: &journal.Entry{ID: "abc", Key: "k", Body: []byte("hello")}},
		{Entry: &journal.Entry{ID: "a", Body: make([]byte, 10)}}, {Entry: &journal.Entry{ID: "a", Key: "key", Body: make([]byte, maxBody)}}} {
		want(t, "size", frameSize(m), len(appendFrame(nil, m)))
	}
}
