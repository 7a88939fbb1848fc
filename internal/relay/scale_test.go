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

// Slopes of the whole relay, for docs/CAPACITY.md: processor time is that of client, relay and endpoints together. The
// largest sizes are left out with -short.
//
//	go test -run '^$' -bench Scale -benchtime 0.3s -count 3 ./internal/relay

// sizes are those of a benchmark; the last ones are left out with -short.
func sizes(long int, all ...int) []int {
	if testing.Short() {
		return all[:len(all)-long]
	}
	return all
}

// roomy gives a relay room for what a benchmark brings.
func roomy(c *Config) { c.Sockets, c.Settings.MaxHeld = 16_000, 0 }

// BenchmarkScaleMessageByBody is the whole path on loopback, by the bytes of a message.
func BenchmarkScaleMessageByBody(b *testing.B) {
	for _, n := range []int{60, 600, 6_000, 60_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCostRig(b, n, roomy)
			measure(b, c, 1, c.serve)
		})
	}
}

// BenchmarkScaleMessageByClients is the whole path while so many other clients keep an idle connection.
func BenchmarkScaleMessageByClients(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 4_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCostRig(b, 200, roomy)
			before := heldBytes()
			defer c.crowd(n)()
			held := (heldBytes() - before) / float64(n)
			measure(b, c, 1, c.serve)
			b.ReportMetric(held, "B/client")
		})
	}
}

// spread is a relay with so many destinations of one endpoint each, and a client that hands in for one after the other.
type spread struct {
	*costRig
	destinations, next int
}

// smallHost answers each call at once, and takes little memory for a connection.
func smallHost(tb testing.TB) string {
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return bareHost(tb, func(conn net.Conn) {
		for in := bufio.NewReaderSize(conn, 1024); ; {
			if _, length, err := readHead(in); err != nil {
				return
			} else if _, err := in.Discard(length); err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	})
}

func newSpread(tb testing.TB, destinations int, change func(*Config)) *spread {
	var more []discovery.Server
	for i := 1; i < destinations; i++ {
		s := at(fmt.Sprint("s-", 1+i), smallHost(tb), "taller")
		s.Cell, s.Weight = 7+i, 1e6
		more = append(more, s)
	}
	return &spread{costRig: newCostRig(tb, 200, change, more...), destinations: destinations}
}

// each has a message for each destination be served, so that there is a connection to each.
func (s *spread) each() {
	for range s.destinations {
		s.serveNext()
	}
	s.settle()
}

// serveNext has a message for the next destination be taken on.
func (s *spread) serveNext() {
	cell := 7 + s.next%s.destinations
	s.next++
	s.n++
	s.buf = fmt.Appendf(s.buf[:0], "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: spread%08d\r\nX-Class: job-order\r\nX-Tenant: acme\r\n"+
		"X-Deadline-Ms: 15000\r\nIdempotency-Key: key%08d\r\nContent-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n%s", s.n, s.n, len(s.body), cell, s.body)
	if _, err := s.conn.Write(s.buf); err != nil {
		s.tb.Fatal(err)
	}
	if status, length, err := readHead(s.in); err != nil || status != "202" {
		s.tb.Fatalf("status %s, %v", status, err)
	} else if _, err := s.in.Discard(length); err != nil {
		s.tb.Fatal(err)
	}
	if s.n%64 == 0 {
		s.settle()
	}
}

// settled is how many descriptors there are once those of a relay before this one have been closed.
func settled(tb testing.TB) int {
	for n := descriptors(tb); ; {
		time.Sleep(200 * time.Millisecond)
		now := descriptors(tb)
		if now >= n {
			return now
		}
		n = now
	}
}

// BenchmarkScaleConnectionsByDestinations is what is kept after a call to each of so many destinations: descriptors of this
// process, in which the endpoints are too, and bytes; and processor time a message that goes to one after the other.
func BenchmarkScaleConnectionsByDestinations(b *testing.B) {
	for _, n := range sizes(1, 10, 100, 1_000, 3_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSpread(b, n, roomy)
			s.settle()
			fds, before := settled(b), heldBytes()
			s.each()
			held, kept := (heldBytes()-before)/float64(n), float64(descriptors(b)-fds)/2
			measure(b, s.costRig, 1, s.serveNext)
			b.ReportMetric(held, "B/destination")
			b.ReportMetric(kept, "connections")
		})
	}
}

// BenchmarkScaleListByKnown is what a whole list of so many endpoints takes when the relay first hears of it, on its loop, and
// what it keeps of each.
func BenchmarkScaleListByKnown(b *testing.B) {
	for _, n := range sizes(1, 200, 2_000, 20_000, 200_000, 760_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCostRig(b, 200, func(c *Config) { drains(c); roomy(c) })
			c.settle()
			var held float64
			var once time.Duration
			for b.Loop() {
				if once == 0 {
					held = holding(b, n, func() { // the list itself is dropped, but for its texts
						list, begun := longList(n), time.Now()
						c.listed(list)
						once = time.Since(begun)
					})
				}
			}
			b.ReportMetric(float64(once.Nanoseconds())/float64(n), "ns/endpoint")
			b.ReportMetric(held, "B/endpoint")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// listed has the loop take a list in, and waits until it has decided on it.
func (c *costRig) listed(l discovery.List) {
	done := make(chan struct{})
	c.r.post(func() { c.r.listed(l) })
	c.r.post(func() { close(done) })
	<-done
	done = make(chan struct{})
	c.r.post(func() { close(done) }) // the turn that the list came in is over
	<-done
}

// owing fills a folder with so many messages that a relay owes, which cannot go: their endpoint drains.
func owing(tb testing.TB, messages int) (conf Config) {
	tb.Helper()
	p := newPlatform(tb, at("s-1", "127.0.0.1:1", "taller"))
	conf, err := readTestConfig(tb, testConfig(tb, p), tb.TempDir())
	if err != nil {
		tb.Fatal(err)
	}
	drains(&conf)
	roomy(&conf)
	conf.DiskMB = 4096
	j, err := journal.Open(conf.State, 4e9)
	if err != nil {
		tb.Fatal(err)
	}
	defer j.Close()
	terms := &choice.Terms{Class: choice.Class{Name: "job-order", Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1,
		LateShare: 0.3, Effect: choice.Keyed, SameZone: true, Window: 15 * time.Second}, Attempts: 6}
	for i := 0; i < messages; {
		var recs []journal.Record
		for ; i < messages && len(recs) < 1000; i++ {
			recs = append(recs, journal.Record{Op: journal.OpAccepted, Entry: &journal.Entry{ID: fmt.Sprintf("9b1f03aa5c7e%08d", i), Class: "job-order",
				Dest: 7, Tenant: "acme", Key: fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5%08d", i), Due: time.Now().Add(time.Hour).UnixMilli(),
				Body: bytes.Repeat([]byte("x"), 200), Terms: terms}})
		}
		if err := j.Append(recs...); err != nil {
			tb.Fatal(err)
		}
	}
	return conf
}

// started runs a relay, and waits until its loop has decided on what it owes; it returns what is held then, and the end.
func started(tb testing.TB, conf Config) (held int, end func()) {
	tb.Helper()
	r, err := New(conf)
	if err != nil {
		tb.Fatal(err)
	}
	done, count := make(chan struct{}), make(chan int, 1)
	go func() { r.Serve(); close(done) }()
	for range 2 { // the second turn is after the one that took in what was owed
		r.post(func() { count <- len(r.held) })
		held = <-count
	}
	return held, func() { r.stop(); <-done }
}

// BenchmarkScaleStartByHeld is what a start of a relay takes that owes so many messages, until its loop has decided on them,
// and what it holds of each from then on.
func BenchmarkScaleStartByHeld(b *testing.B) {
	for _, n := range sizes(1, 100, 1_000, 10_000, 100_000) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			newCostRig(b, 200, nil).settle() // what a first relay of a process makes once
			conf := owing(b, n)
			file := int64(0)
			if info, err := os.Stat(filepath.Join(conf.State, "journal")); err == nil {
				file = info.Size()
			}
			var took, cpu time.Duration
			var held float64
			for b.Loop() {
				if took > 0 {
					continue
				}
				begun, used, before := time.Now(), processorTime(b), heldBytes()
				got, end := started(b, conf)
				took, cpu = time.Since(begun), processorTime(b)-used
				held = (heldBytes() - before) / float64(n)
				end()
				if got != n {
					b.Fatalf("%d messages held, want %d", got, n)
				}
			}
			b.ReportMetric(float64(took.Nanoseconds())/float64(n), "ns/held")
			b.ReportMetric(float64(cpu.Nanoseconds())/float64(n), "cpu-ns/held")
			b.ReportMetric(held, "B/held")
			b.ReportMetric(float64(file)/float64(n), "file-B/held")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// Guards the benchmarks above: each destination gets a connection of its own, a list is all taken in, and a start holds all
// that it owes.
func TestScaleSetUps(t *testing.T) {
	s := newSpread(t, 10, roomy)
	s.each()
	s.each()
	var open int
	done := make(chan struct{})
	s.r.post(func() { open = len(s.r.dests); close(done) })
	<-done
	if open != 10 {
		t.Errorf("%d destinations known, want 10", open)
	}
	s.listed(longList(200))
	done = make(chan struct{})
	s.r.post(func() { open = len(s.r.hosts); close(done) })
	<-done
	if open != 200 {
		t.Errorf("%d endpoints after a whole list of 200", open)
	}
	held, end := started(t, owing(t, 100))
	end()
	if held != 100 {
		t.Errorf("%d messages held after a start that owes 100", held)
	}
	one := newCostRig(t, 60, roomy)
	ends := one.crowd(10)
	one.serve()
	ends()
	one.settle()
	if _, err := net.Dial("tcp", one.r.Addr()); err != nil {
		t.Error(err)
	}
}
