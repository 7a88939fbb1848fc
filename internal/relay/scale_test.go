package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
)

// These benchmarks measure how the cost of the whole relay grows, for docs/CAPACITY.md. Processor time is that of
// client, relay and endpoints together. The largest sizes are skipped with -short.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./internal/relay

// benchSizes returns the sizes of a benchmark. The last ones, as many as largest says, are left out with -short.
func benchSizes(largest int, all ...int) []int {
	if testing.Short() {
		return all[:len(all)-largest]
	}
	return all
}

// unlimited raises the limits of a relay above the load of a benchmark.
func unlimited(c *Config) { c.Sockets, c.Settings.MaxPending = 16_000, 0 }

// BenchmarkScaleMessageByBody measures the whole path of a message on loopback, by the size of its body in bytes.
func BenchmarkScaleMessageByBody(b *testing.B) {
	for _, n := range []int{60, 600, 6_000, 60_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCostRig(b, n, unlimited)
			measure(b, c, 1, c.serve)
		})
	}
}

// BenchmarkScaleMessageByClients measures the whole path of a message while a number of other clients have an idle
// connection.
func BenchmarkScaleMessageByClients(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 4_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rig := newCostRig(b, 200, unlimited)
			before := retainedBytes()
			defer rig.connectClients(n)()
			retained := (retainedBytes() - before) / float64(n)
			measure(b, rig, 1, rig.serve)
			b.ReportMetric(retained, "B/client")
		})
	}
}

// spreadRig is a relay with a number of destinations of one endpoint each, and a client that sends to them in turn.
type spreadRig struct {
	*costRig
	destinations, next int
}

// newSmallHost starts a host that answers each call at once, and uses little memory for a connection.
func newSmallHost(tb testing.TB) string {
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return newRawHost(tb, func(conn net.Conn) {
		for reader := bufio.NewReaderSize(conn, 1024); ; {
			if _, length, err := readHead(reader); err != nil {
				return
			} else if _, err := reader.Discard(length); err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	})
}

func newSpread(tb testing.TB, destinations int, change func(*Config)) *spreadRig {
	var more []discovery.Server
	for i := 1; i < destinations; i++ {
		s := testEndpoint(fmt.Sprint("s-", 1+i), newSmallHost(tb), "taller")
		s.Cell, s.Weight = 7+i, 1e6
		more = append(more, s)
	}
	return &spreadRig{costRig: newCostRig(tb, 200, change, more...), destinations: destinations}
}

// serveEach has one message served for each destination, so that there is a connection to each.
func (s *spreadRig) serveEach() {
	for range s.destinations {
		s.serveNext()
	}
	s.settle()
}

// serveNext posts a message for the next destination, and checks that it is accepted.
func (s *spreadRig) serveNext() {
	cell := 7 + s.next%s.destinations
	s.next++
	s.sent++
	s.buf = fmt.Appendf(s.buf[:0], "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: spread%08d\r\nX-Class: job-order\r\nX-Tenant: acme\r\n"+
		"X-Deadline-Ms: 15000\r\nIdempotency-Key: key%08d\r\nContent-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n%s", s.sent, s.sent, len(s.body), cell, s.body)
	if _, err := s.conn.Write(s.buf); err != nil {
		s.tb.Fatal(err)
	}
	if status, length, err := readHead(s.in); err != nil || status != "202" {
		s.tb.Fatalf("status %s, %v", status, err)
	} else if _, err := s.in.Discard(length); err != nil {
		s.tb.Fatal(err)
	}
	if s.sent%64 == 0 {
		s.settle()
	}
}

// settledDescriptors returns the number of open descriptors once those of an earlier relay have been closed.
func settledDescriptors(tb testing.TB) int {
	for n := countDescriptors(tb); ; {
		time.Sleep(200 * time.Millisecond)
		now := countDescriptors(tb)
		if now >= n {
			return now
		}
		n = now
	}
}

// BenchmarkScaleConnectionsByDestinations measures what remains after a call to each of a number of destinations:
// descriptors and bytes of this process, which also contains the endpoints. It also measures the processor time of a
// message if messages go to the destinations in turn.
func BenchmarkScaleConnectionsByDestinations(b *testing.B) {
	for _, n := range benchSizes(1, 10, 100, 1_000, 3_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			spread := newSpread(b, n, unlimited)
			spread.settle()
			fds, before := settledDescriptors(b), retainedBytes()
			spread.serveEach()
			retained, connections := (retainedBytes()-before)/float64(n), float64(countDescriptors(b)-fds)/2
			measure(b, spread.costRig, 1, spread.serveNext)
			b.ReportMetric(retained, "B/destination")
			b.ReportMetric(connections, "connections")
		})
	}
}

// BenchmarkScaleListByKnown measures how long the loop takes to apply the first full list of a number of endpoints, and
// the memory that is retained for each.
func BenchmarkScaleListByKnown(b *testing.B) {
	for _, n := range benchSizes(1, 200, 2_000, 20_000, 200_000, 760_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCostRig(b, 200, func(c *Config) { drainingEndpoint(c); unlimited(c) })
			c.settle()
			var retained float64
			var elapsed time.Duration
			for b.Loop() {
				if elapsed == 0 {
					retained = retainedPer(b, n, func() { // only the strings of the list itself are retained
						list, startedAt := longList(n), time.Now()
						c.applyList(list)
						elapsed = time.Since(startedAt)
					})
				}
			}
			b.ReportMetric(float64(elapsed.Nanoseconds())/float64(n), "ns/endpoint")
			b.ReportMetric(retained, "B/endpoint")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// applyList has the loop apply a list, and waits until the Chooser has processed it.
func (c *costRig) applyList(list discovery.List) {
	done := make(chan struct{})
	c.r.post(func() { c.r.applyList(list) })
	c.r.post(func() { close(done) })
	<-done
	done = make(chan struct{})
	c.r.post(func() { close(done) }) // the turn that applied the list has ended
	<-done
}

// configWithPending returns the configuration of a relay whose state directory holds a number of pending messages. They
// cannot be sent, since their endpoint drains.
func configWithPending(tb testing.TB, messages int) (config Config) {
	tb.Helper()
	platform := newFakePlatform(tb, testEndpoint("s-1", "127.0.0.1:1", "taller"))
	config, err := readTestConfig(tb, testConfig(tb, platform), tb.TempDir())
	if err != nil {
		tb.Fatal(err)
	}
	drainingEndpoint(&config)
	unlimited(&config)
	config.DiskMB = 4096
	records, err := journal.Open(config.StateDir, 4e9)
	if err != nil {
		tb.Fatal(err)
	}
	defer records.Close()
	terms := &choice.Terms{Class: choice.Class{Name: "job-order", Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1,
		LateShare: 0.3, Effect: choice.Keyed, SameZone: true, Window: 15 * time.Second}, Attempts: 6}
	for i := 0; i < messages; {
		var recs []journal.Record
		for ; i < messages && len(recs) < 1000; i++ {
			recs = append(recs, journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: fmt.Sprintf("9b1f03aa5c7e%08d", i), Class: "job-order",
				Dest: 7, Tenant: "acme", Key: fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5%08d", i), Due: time.Now().Add(time.Hour).UnixMilli(),
				Body: bytes.Repeat([]byte("x"), 200), Terms: terms}})
		}
		if err := records.Append(recs...); err != nil {
			tb.Fatal(err)
		}
	}
	return config
}

// startWithPending runs a relay, and waits until its loop has processed the pending messages. It returns their number
// and a function that stops the relay.
func startWithPending(tb testing.TB, config Config) (pending int, end func()) {
	tb.Helper()
	relay, err := New(config)
	if err != nil {
		tb.Fatal(err)
	}
	done, count := make(chan struct{}), make(chan int, 1)
	go func() { relay.Serve(); close(done) }()
	for range 2 { // the second turn comes after the one that restored the pending messages
		relay.post(func() { count <- len(relay.pending) })
		pending = <-count
	}
	return pending, func() { relay.stop(); <-done }
}

// BenchmarkScaleStartByHeld measures the start of a relay with a number of pending messages, until its loop has
// processed them, and the memory that it retains for each from then on.
func BenchmarkScaleStartByHeld(b *testing.B) {
	for _, n := range benchSizes(1, 100, 1_000, 10_000, 100_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			newCostRig(b, 200, nil).settle() // creates what the first relay of a process allocates once
			config := configWithPending(b, n)
			file := int64(0)
			if info, err := os.Stat(filepath.Join(config.StateDir, "journal")); err == nil {
				file = info.Size()
			}
			var elapsed, cpu time.Duration
			var perMessage float64
			for b.Loop() {
				if elapsed > 0 {
					continue
				}
				startedAt, used, before := time.Now(), processorTime(b), retainedBytes()
				got, end := startWithPending(b, config)
				elapsed, cpu = time.Since(startedAt), processorTime(b)-used
				perMessage = (retainedBytes() - before) / float64(n)
				end()
				if got != n {
					b.Fatalf("%d pending messages, want %d", got, n)
				}
			}
			b.ReportMetric(float64(elapsed.Nanoseconds())/float64(n), "ns/held")
			b.ReportMetric(float64(cpu.Nanoseconds())/float64(n), "cpu-ns/held")
			b.ReportMetric(perMessage, "B/held")
			b.ReportMetric(float64(file)/float64(n), "file-B/held")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// Guards the set-up of the benchmarks above: each destination gets a connection of its own, a full list is applied
// completely, and a start restores all pending messages.
func TestScaleBenchmarkSetups(t *testing.T) {
	spread := newSpread(t, 10, unlimited)
	spread.serveEach()
	spread.serveEach()
	var known int
	done := make(chan struct{})
	spread.r.post(func() { known = len(spread.r.destWaits); close(done) })
	<-done
	if known != 10 {
		t.Errorf("%d destinations known, want 10", known)
	}
	spread.applyList(longList(200))
	done = make(chan struct{})
	spread.r.post(func() { known = len(spread.r.hosts); close(done) })
	<-done
	if known != 200 {
		t.Errorf("%d endpoints after a full list of 200", known)
	}
	pending, end := startWithPending(t, configWithPending(t, 100))
	end()
	if pending != 100 {
		t.Errorf("%d pending messages after a start with 100", pending)
	}
	one := newCostRig(t, 60, unlimited)
	ends := one.connectClients(10)
	one.serve()
	ends()
	one.settle()
	if _, err := net.Dial("tcp", one.r.Addr()); err != nil {
		t.Error(err)
	}
}
