package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// echo handles a connection by sending back what it receives.
func echo(c *Conn) {
	defer c.Close()
	io.Copy(c, c)
}

func serveLink(t *testing.T, party func(*Conn)) (*Net, *Link, string) {
	t.Helper()
	n := NewNet(history.NewClock())
	t.Cleanup(n.Close)
	addr, err := n.Serve("relay/0", "endpoint/0", "127.0.0.1:0", party)
	if err != nil {
		t.Fatal(err)
	}
	return n, n.Link("relay/0", "endpoint/0"), addr
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// Guards against bytes that are lost, repeated, reordered or invented while faults change at random: the received
// bytes must equal the sent ones, or be a prefix of them if the connection was reset.
func TestReceivedBytesArePrefixOfSentBytes(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 7))
		_, l, addr := serveLink(t, echo)
		conn := dial(t, addr)
		sent := make([]byte, 1+r.IntN(600<<10))
		for i := range sent {
			sent[i] = byte(r.Uint32())
		}
		resets := seed%3 == 2
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 12 {
				f := &Faults{Cut: r.IntN(3) == 0, Delay: time.Duration(r.IntN(3)) * time.Millisecond,
					Jitter: time.Duration(r.IntN(3)) * time.Millisecond, CloseDelay: time.Duration(r.IntN(5)) * time.Millisecond}
				if r.IntN(3) == 0 {
					f.BytesPerSecond = int64(1<<20 + r.IntN(64<<20))
				}
				if resets && r.IntN(4) == 0 {
					f.Reset, f.ResetAfterBytes = true, int64(r.IntN(len(sent)))
				}
				if r.IntN(2) == 0 {
					l.Set(f, nil)
				} else {
					l.Set(nil, f)
				}
				time.Sleep(time.Duration(r.IntN(4)) * time.Millisecond)
			}
			l.Set(nil, nil)
		}()
		chunkRand := rand.New(rand.NewPCG(seed, 8))
		go func() {
			for rest := sent; len(rest) > 0; {
				n, err := conn.Write(rest[:min(len(rest), 1+chunkRand.IntN(40<<10))])
				if err != nil {
					return
				}
				rest = rest[n:]
			}
			conn.CloseWrite()
		}()
		got, err := io.ReadAll(conn)
		<-done
		if !bytes.HasPrefix(sent, got) {
			t.Fatalf("seed %d: the received bytes are not a prefix of the sent ones", seed)
		}
		if !resets && (err != nil || len(got) != len(sent)) {
			t.Fatalf("seed %d: received %d of %d bytes: %v", seed, len(got), len(sent), err)
		}
	}
}

// Guards against a cut that a process can detect: open connections must stay open and silent, new ones must not be
// established, and bytes sent during the cut must arrive once it is over.
func TestCutLeavesConnectionsOpenAndSilent(t *testing.T) {
	_, l, addr := serveLink(t, echo)
	conn := dial(t, addr)
	conn.Write([]byte("a"))
	one := make([]byte, 1)
	if _, err := io.ReadFull(conn, one); err != nil {
		t.Fatal(err)
	}
	for i, f := range [][2]*Faults{{{Cut: true}, nil}, {nil, {Cut: true}}, {{Cut: true}, {Cut: true}}} {
		l.Set(f[0], f[1])
		if _, err := conn.Write([]byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
		conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
		if n, err := conn.Read(one); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("cut %d: read %d, %v; want silence", i, n, err)
		}
		d := net.Dialer{Timeout: 100 * time.Millisecond}
		if c, err := d.Dial("tcp4", addr); err == nil {
			c.Close()
			t.Fatalf("cut %d: a connection was established", i)
		}
		l.Set(nil, nil)
		conn.SetReadDeadline(time.Time{})
		if _, err := io.ReadFull(conn, one); err != nil || one[0] != byte(i) {
			t.Fatalf("cut %d: read %v, %d after it ended", i, err, one[0])
		}
		dial(t, addr).Close()
	}
}

// Guards against refusals that look like silence, and resets that leave a connection open.
func TestRefusedAndReset(t *testing.T) {
	n, l, addr := serveLink(t, echo)
	l.Set(&Faults{Refused: true}, nil)
	c, err := net.Dial("tcp4", addr)
	if err == nil {
		if _, err = io.ReadAll(c); err == nil {
			t.Error("a refused connection ended in order")
		}
	}
	if _, err := n.Dial(context.Background(), "relay/0", "endpoint/0", "", addr); err == nil {
		t.Error("an emulated party connected through a link that refuses connections")
	}
	l.Set(&Faults{Reset: true, ResetAfterBytes: 3}, nil)
	conn := dial(t, addr)
	conn.Write([]byte("abcdef"))
	got, err := io.ReadAll(conn)
	if err == nil || len(got) > 3 {
		t.Errorf("received %q, then %v; want at most three bytes and a reset", got, err)
	}
	l.Set(nil, nil)
	conn = dial(t, addr)
	conn.Write([]byte("x"))
	io.ReadFull(conn, make([]byte, 1))
	l.Reset()
	if _, err := io.ReadAll(conn); err == nil {
		t.Error("a connection of a process that died ended in order")
	}
}

// Guards against a lab that counts a call as in flight although its relay closed the connection during a cut: the front
// must know of the close even though the other end does not.
func TestPeerCloseIsKnownDuringCut(t *testing.T) {
	conns := make(chan *Conn, 1)
	n, l, addr := serveLink(t, func(c *Conn) { conns <- c })
	conn := dial(t, addr)
	c := <-conns
	l.Set(&Faults{Cut: true}, &Faults{Cut: true})
	before := n.Clock.Now()
	conn.Close()
	<-c.PeerClosed()
	if c.PeerClosedAt() < before {
		t.Error("the recorded time of the close is before the close")
	}
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the other end read %v through the cut", err)
	}
	l.Set(&Faults{HalfOpen: true}, nil)
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the other end read %v through a half-open link", err)
	}
	l.Set(nil, nil)
	c.SetReadDeadline(time.Time{})
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the other end read %v, want EOF", err)
	}
}

// Guards against a front that does not forward connections between two processes.
func TestForwardProxiesBetweenProcesses(t *testing.T) {
	back, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	go func() {
		for {
			c, err := back.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	n := NewNet(history.NewClock())
	defer n.Close()
	addr, err := n.Forward("relay/0", "keeper/0", "127.0.0.1:0", back.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := dial(t, addr)
	conn.Write([]byte("hello"))
	conn.CloseWrite()
	if got, err := io.ReadAll(conn); err != nil || string(got) != "hello" {
		t.Fatalf("%q, %v", got, err)
	}
}
