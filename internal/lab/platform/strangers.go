package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/lab/history"
)

// Strangers emulates peers that connect to relays but are not clients: they send something other than a message, a part of one,
// or nothing. The relay must answer each with an error or close the connection within a time limit. They connect directly, not
// through a link of package link, so their connections have no network faults.
type Strangers struct {
	Env
	Relays *RelayPool
	Source string // source address of their connections; empty for any
}

// Limits of a stranger's connection. The timeouts are those of the relay's response, from the connection on; the second one is
// for a stranger that sends floodBytes bytes.
const (
	responseTimeout      = 3 * time.Second
	floodResponseTimeout = 6 * time.Second
	extraWait            = 500 * time.Millisecond // time that the stranger waits beyond the timeout
	floodBytes           = 8 << 20
)

// behaviour is what a stranger sends: pieces, with an interval between them.
type behaviour struct {
	name     string
	pieces   func(r *rand.Rand, valid []byte) [][]byte
	interval time.Duration
	flood    bool
}

func fixedText(text string) func(*rand.Rand, []byte) [][]byte {
	return func(*rand.Rand, []byte) [][]byte { return [][]byte{[]byte(text)} }
}

// replaceInValid returns a valid request with the first occurrence of a text replaced.
func replaceInValid(old, with string) func(*rand.Rand, []byte) [][]byte {
	return func(_ *rand.Rand, valid []byte) [][]byte {
		return [][]byte{bytes.Replace(valid, []byte(old), []byte(with), 1)}
	}
}

// behaviours lists what strangers send, in turn. None of it may be a valid request, which would be a message.
var behaviours = []behaviour{
	{name: "nothing", pieces: func(*rand.Rand, []byte) [][]byte { return nil }},
	{name: "noise", pieces: func(r *rand.Rand, _ []byte) [][]byte {
		junk := make([]byte, 1+r.IntN(2000))
		for i := range junk {
			junk[i] = byte(r.Uint32())
		}
		return [][]byte{junk}
	}},
	{name: "a request that is cut", pieces: func(r *rand.Rand, valid []byte) [][]byte { return [][]byte{valid[:1+r.IntN(len(valid)-1)]} }},
	{name: "a request byte by byte", interval: 150 * time.Millisecond, pieces: func(_ *rand.Rand, valid []byte) [][]byte {
		var all [][]byte
		for i := range 30 {
			all = append(all, valid[i:i+1])
		}
		return all
	}},
	{name: "headers without end", interval: 20 * time.Millisecond, pieces: func(*rand.Rand, []byte) [][]byte {
		all := [][]byte{[]byte("POST /api HTTP/1.1\r\n")}
		for i := range 200 {
			all = append(all, fmt.Appendf(nil, "X-More-%d: %s\r\n", i, strings.Repeat("x", 1000)))
		}
		return all
	}},
	{name: "a body of 8 MB", flood: true, pieces: func(_ *rand.Rand, valid []byte) [][]byte {
		head, _, _ := bytes.Cut(valid, []byte("Content-Length"))
		all := [][]byte{fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, floodBytes)}
		for range floodBytes >> 16 {
			all = append(all, make([]byte, 1<<16))
		}
		return all
	}},
	{name: "a length that is no number", pieces: replaceInValid("Content-Length: ", "Content-Length: x")},
	{name: "a length below 0", pieces: replaceInValid("Content-Length: ", "Content-Length: -")},
	{name: "two lengths", pieces: replaceInValid("Content-Length: ", "Content-Length: 1\r\nContent-Length: ")},
	{name: "a length and chunks", pieces: replaceInValid("Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: ")},
	{name: "no destination", pieces: replaceInValid("X-Addressing: dest=", "X-Addressing: ")},
	{name: "a destination that is no number", pieces: replaceInValid("dest=", "dest=x")},
	{name: "an unknown class", pieces: replaceInValid("X-Class: ", "X-Class: no-")},
	{name: "no id", pieces: replaceInValid("X-Request-Id", "X-Other-Id")},
	{name: "no deadline", pieces: replaceInValid("X-Deadline-Ms", "X-Other-Ms")},
	{name: "a deadline below 0", pieces: replaceInValid("X-Deadline-Ms: ", "X-Deadline-Ms: -")},
	{name: "another path", pieces: replaceInValid("/api", "/apj")},
	{name: "another protocol", pieces: fixedText("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")},
	{name: "a greeting of TLS", pieces: fixedText("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03")},
	{name: "a line without end", pieces: func(*rand.Rand, []byte) [][]byte { return [][]byte{bytes.Repeat([]byte("a"), 1<<20)} }},
}

// Connect connects strangers at the scenario's rate until the context ends, and returns once all have disconnected.
func (s *Strangers) Connect(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.Scenario.Seed, 0x5e))
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; s.Scenario.Load.Strangers > 0; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(r.ExpFloat64() / s.Scenario.Load.Strangers * float64(time.Second))):
		}
		m := behaviours[i%len(behaviours)]
		pieces := m.pieces(r, s.validRequest(r, fmt.Sprintf("s%09x%08x", i, uint32(s.Scenario.Seed))))
		if relay, addr := s.Relays.next(); relay != "" {
			open.Go(func() { s.runOne(m, pieces, relay, addr) })
		}
	}
}

// validRequest returns a request with a message, which strangers send in a form that is not valid.
func (s *Strangers) validRequest(r *rand.Rand, id string) []byte {
	return fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\n"+
		"X-Deadline-Ms: 900\r\nIdempotency-Key: %016x%016x\r\nX-Addressing: dest=0\r\nContent-Length: 5\r\n\r\nhello",
		id, s.Draw.Classes[0].Name, s.Draw.Tenants[0].Name, r.Uint64(), r.Uint64())
}

// runOne connects one stranger, sends its pieces, and records how the relay responded.
func (s *Strangers) runOne(m behaviour, pieces [][]byte, relay, addr string) {
	d := net.Dialer{Timeout: time.Second}
	if s.Source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.Source)}
	}
	conn, err := d.Dial("tcp4", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	e := history.Event{Kind: history.Stranger, Relay: relay, BegunAt: s.Clock.Now(), Detail: m.name, LeftMs: responseTimeout.Milliseconds(), State: "waits"}
	if m.flood {
		e.LeftMs = floodResponseTimeout.Milliseconds()
	}
	end := time.Now().Add(time.Duration(e.LeftMs)*time.Millisecond + extraWait)
	conn.SetDeadline(end)
	var writer sync.WaitGroup
	stop := make(chan struct{})
	writer.Go(func() {
		for _, p := range pieces {
			if _, err := conn.Write(p); err != nil {
				return // an answer, if there is one, remains to be read
			}
			select {
			case <-stop:
				return
			case <-time.After(m.interval):
			}
		}
	})
	line := make([]byte, 0, 64)
	buf := make([]byte, 1024)
	for {
		n, err := conn.Read(buf)
		if line = append(line, buf[:min(n, cap(line)-len(line))]...); len(line) >= len("HTTP/1.1 400") {
			if _, err := fmt.Sscanf(string(line), "HTTP/1.%d %d", new(int), &e.Status); err == nil {
				e.State = "answered"
			}
			break
		}
		if err != nil {
			if time.Now().Before(end) || err == io.EOF {
				e.State = "closed"
			}
			break
		}
	}
	e.At = s.Clock.Now()
	close(stop)
	conn.Close()
	writer.Wait()
	s.Record(e)
}
