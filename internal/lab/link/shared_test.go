package link

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// party is a process as a shared front sees it: it listens at an address of its own and sends from there.
type party struct {
	front *Shared
	udp   *net.UDPConn
	tcp   net.Listener
	got   chan string
}

func parties(t *testing.T, n int) (*Net, []*party) {
	t.Helper()
	all := NewNet(history.NewClock())
	t.Cleanup(all.Close)
	var mu sync.Mutex
	by := map[string]*Shared{}
	var list []*party
	for i := range n {
		ip := fmt.Sprintf("127.9.0.%d", 1+i)
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: l.Addr().(*net.TCPAddr).Port})
		if err != nil {
			t.Fatal(err)
		}
		p := &party{udp: u, tcp: l, got: make(chan string, 4096)}
		p.front, err = all.Share(fmt.Sprintf("relay/%d", i), "127.8.0.1", l.Addr().String(), func(ip string) *Shared {
			mu.Lock()
			defer mu.Unlock()
			return by[ip]
		})
		if err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		by[ip] = p.front
		mu.Unlock()
		t.Cleanup(func() { p.front.Close(); u.Close(); l.Close() })
		go func() {
			buf := make([]byte, 2048)
			for {
				n, addr, err := u.ReadFromUDP(buf)
				if err != nil {
					return
				}
				p.got <- fmt.Sprintf("%s from %s", buf[:n], addr)
			}
		}()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					fmt.Fprintf(c, "you are %s. ", c.RemoteAddr().(*net.TCPAddr).IP)
					io.Copy(c, c)
					c.Close()
				}()
			}
		}()
		list = append(list, p)
	}
	return all, list
}

func (p *party) send(t *testing.T, to *party, text string) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp4", to.front.Addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.udp.WriteToUDP([]byte(text), at); err != nil {
		t.Fatal(err)
	}
}

// quiet is how long a test waits for what must not come. Too short a time can only let a fault pass, never fail
// a sound link.
const quiet = 50 * time.Millisecond

// Guards against datagrams that come past the link, or whose sender cannot be answered through it.
func TestDatagrams(t *testing.T) {
	all, p := parties(t, 3)
	hears := func(at *party, want string) {
		t.Helper()
		select {
		case got := <-at.got:
			if got != want {
				t.Fatalf("%q came, want %q", got, want)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%q did not come", want)
		}
	}
	silent := func(at *party) {
		t.Helper()
		select {
		case got := <-at.got:
			t.Fatalf("%q came through", got)
		case <-time.After(quiet):
		}
	}
	p[0].send(t, p[1], "a")
	hears(p[1], "a from "+p[0].front.Addr)
	p[1].send(t, p[0], "b")
	hears(p[0], "b from "+p[1].front.Addr)
	all.Link("relay/0", "relay/1").Set(&Faults{Cut: true}, nil)
	p[0].send(t, p[1], "c")
	silent(p[1])
	p[1].send(t, p[0], "one way only")
	hears(p[0], "one way only from "+p[1].front.Addr)
	p[2].send(t, p[1], "others are not cut")
	hears(p[1], "others are not cut from "+p[2].front.Addr)
	all.Link("relay/0", "relay/1").Set(&Faults{Loss: 1}, nil)
	p[0].send(t, p[1], "d")
	silent(p[1])
	all.Link("relay/0", "relay/1").Set(&Faults{Delay: time.Millisecond, Spread: time.Millisecond, Rate: 1 << 20}, nil)
	p[0].send(t, p[1], "late")
	hears(p[1], "late from "+p[0].front.Addr)
	stranger, err := net.Dial("udp4", p[1].front.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("e"))
	silent(p[1])
}

// Guards against connections whose caller the link, or the process called, takes for somebody else.
func TestSharedConnections(t *testing.T) {
	all, p := parties(t, 2)
	call := func() (string, error) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.9.0.1")}, Timeout: 30 * time.Second}
		c, err := d.Dial("tcp4", p[1].front.Addr)
		if err != nil {
			return "", err
		}
		defer c.Close()
		fmt.Fprint(c, "hello")
		c.(*net.TCPConn).CloseWrite()
		got, err := io.ReadAll(c)
		if err == nil && len(got) == 0 { // the write was told of the reset
			err = io.ErrUnexpectedEOF
		}
		return string(got), err
	}
	if got, err := call(); err != nil || got != "you are 127.9.0.1. hello" {
		t.Fatalf("%q, %v", got, err)
	}
	all.Link("relay/0", "relay/1").Set(&Faults{Refused: true}, nil)
	if got, err := call(); err == nil {
		t.Errorf("%q came through a link that refuses", got)
	}
	all.Link("relay/0", "relay/1").Set(nil, nil)
	if _, err := call(); err != nil {
		t.Error(err)
	}
	stranger, err := net.Dial("tcp4", p[1].front.Addr)
	if err != nil { // it was reset as it came up
		return
	}
	defer stranger.Close()
	if got, _ := io.ReadAll(stranger); len(got) > 0 {
		t.Errorf("a stranger is told %q", got)
	}
}
