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

// echo serves a link by sending back what comes.
func echo(c *Conn) {
	defer c.Close()
	io.Copy(c, c)
}

func serve(t *testing.T, party func(*Conn)) (*Net, *Link, string) {
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

// Guards against bytes that are lost, repeated, overtaken or made up, whatever is wrong with the link meanwhile:
// what arrives is what was sent, or a beginning of it where the connection was reset.
func TestBytesComeWholeInOrderOrNotAtAll(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 7))
		_, l, addr := serve(t, echo)
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
					Spread: time.Duration(r.IntN(3)) * time.Millisecond, LateClose: time.Duration(r.IntN(5)) * time.Millisecond}
				if r.IntN(3) == 0 {
					f.Rate = int64(1<<20 + r.IntN(64<<20))
				}
				if resets && r.IntN(4) == 0 {
					f.Reset, f.ResetAt = true, int64(r.IntN(len(sent)))
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
		r2 := rand.New(rand.NewPCG(seed, 8))
		go func() {
			for rest := sent; len(rest) > 0; {
				n, err := conn.Write(rest[:min(len(rest), 1+r2.IntN(40<<10))])
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
			t.Fatalf("seed %d: what came is not a beginning of what was sent", seed)
		}
		if !resets && (err != nil || len(got) != len(sent)) {
			t.Fatalf("seed %d: %d of %d bytes came: %v", seed, len(got), len(sent), err)
		}
	}
}

// Guards against a cut that tells the process of itself: open connections stay open and silent, new ones do not
// come up, and what was on its way comes once it is over.
func TestCut(t *testing.T) {
	_, l, addr := serve(t, echo)
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
			t.Fatalf("cut %d: a connection came up", i)
		}
		l.Set(nil, nil)
		conn.SetReadDeadline(time.Time{})
		if _, err := io.ReadFull(conn, one); err != nil || one[0] != byte(i) {
			t.Fatalf("cut %d: %v, %d after it", i, err, one[0])
		}
		dial(t, addr).Close()
	}
}

// Guards against refusals that look like silence, and resets that leave a connection behind.
func TestRefusedAndReset(t *testing.T) {
	n, l, addr := serve(t, echo)
	l.Set(&Faults{Refused: true}, nil)
	c, err := net.Dial("tcp4", addr)
	if err == nil {
		if _, err = io.ReadAll(c); err == nil {
			t.Error("a refused connection ended in order")
		}
	}
	if _, err := n.Dial(context.Background(), "relay/0", "endpoint/0", "", addr); err == nil {
		t.Error("a party of the lab connects through a link that refuses")
	}
	l.Set(&Faults{Reset: true, ResetAt: 3}, nil)
	conn := dial(t, addr)
	conn.Write([]byte("abcdef"))
	got, err := io.ReadAll(conn)
	if err == nil || len(got) > 3 {
		t.Errorf("%q came, then %v; want three bytes at most and a reset", got, err)
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

// Guards against a lab that takes a call for out that its relay gave up during a cut: the front knows.
func TestGoneIsKnownDuringACut(t *testing.T) {
	conns := make(chan *Conn, 1)
	n, l, addr := serve(t, func(c *Conn) { conns <- c })
	conn := dial(t, addr)
	c := <-conns
	l.Set(&Faults{Cut: true}, &Faults{Cut: true})
	before := n.Clock.Now()
	conn.Close()
	<-c.Gone()
	if c.GoneAt() < before {
		t.Error("gone before it was closed")
	}
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the other end hears %v through the cut", err)
	}
	l.Set(&Faults{HalfOpen: true}, nil)
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the other end hears %v through a link that is half open", err)
	}
	l.Set(nil, nil)
	c.SetReadDeadline(time.Time{})
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the other end hears %v, want EOF", err)
	}
}

// Guards against processes that reach each other past the link.
func TestForward(t *testing.T) {
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
