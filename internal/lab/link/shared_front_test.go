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

// testParty is a process behind a shared front: it listens at its own address and sends from there.
type testParty struct {
	front *SharedFront
	udp   *net.UDPConn
	tcp   net.Listener
	got   chan string
}

func newTestParties(t *testing.T, n int) (*Net, []*testParty) {
	t.Helper()
	network := NewNet(history.NewClock())
	t.Cleanup(network.Close)
	var mu sync.Mutex
	frontByIP := map[string]*SharedFront{}
	var list []*testParty
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
		p := &testParty{udp: u, tcp: l, got: make(chan string, 4096)}
		p.front, err = network.ShareProcess(fmt.Sprintf("relay/%d", i), "127.8.0.1", l.Addr().String(), func(ip string) *SharedFront {
			mu.Lock()
			defer mu.Unlock()
			return frontByIP[ip]
		})
		if err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		frontByIP[ip] = p.front
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
	return network, list
}

func (p *testParty) send(t *testing.T, to *testParty, text string) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp4", to.front.Addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.udp.WriteToUDP([]byte(text), at); err != nil {
		t.Fatal(err)
	}
}

// silenceWait is how long a test waits to see that nothing arrives. If it is too short, a faulty link may pass, but a
// correct one never fails.
const silenceWait = 50 * time.Millisecond

// Guards against datagrams that bypass the link's faults, or whose sender cannot be answered through the link.
func TestDatagramsGoThroughTheLink(t *testing.T) {
	network, p := newTestParties(t, 3)
	expectReceived := func(at *testParty, want string) {
		t.Helper()
		select {
		case got := <-at.got:
			if got != want {
				t.Fatalf("received %q, want %q", got, want)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%q was not received", want)
		}
	}
	expectNothing := func(at *testParty) {
		t.Helper()
		select {
		case got := <-at.got:
			t.Fatalf("%q was received through a faulty link", got)
		case <-time.After(silenceWait):
		}
	}
	p[0].send(t, p[1], "a")
	expectReceived(p[1], "a from "+p[0].front.Addr)
	p[1].send(t, p[0], "b")
	expectReceived(p[0], "b from "+p[1].front.Addr)
	network.Link("relay/0", "relay/1").Set(&Faults{Cut: true}, nil)
	p[0].send(t, p[1], "c")
	expectNothing(p[1])
	p[1].send(t, p[0], "one way only")
	expectReceived(p[0], "one way only from "+p[1].front.Addr)
	p[2].send(t, p[1], "others are not cut")
	expectReceived(p[1], "others are not cut from "+p[2].front.Addr)
	network.Link("relay/0", "relay/1").Set(&Faults{LossShare: 1}, nil)
	p[0].send(t, p[1], "d")
	expectNothing(p[1])
	network.Link("relay/0", "relay/1").Set(&Faults{Delay: time.Millisecond, Jitter: time.Millisecond, BytesPerSecond: 1 << 20}, nil)
	p[0].send(t, p[1], "late")
	expectReceived(p[1], "late from "+p[0].front.Addr)
	stranger, err := net.Dial("udp4", p[1].front.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("e"))
	expectNothing(p[1])
}

// Guards against connections for which the link, or the called process, identifies the wrong caller.
func TestSharedFrontIdentifiesCallers(t *testing.T) {
	network, p := newTestParties(t, 2)
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
		if err == nil && len(got) == 0 { // the reset was reported to the write
			err = io.ErrUnexpectedEOF
		}
		return string(got), err
	}
	if got, err := call(); err != nil || got != "you are 127.9.0.1. hello" {
		t.Fatalf("%q, %v", got, err)
	}
	network.Link("relay/0", "relay/1").Set(&Faults{Refused: true}, nil)
	if got, err := call(); err == nil {
		t.Errorf("%q was received through a link that refuses connections", got)
	}
	network.Link("relay/0", "relay/1").Set(nil, nil)
	if _, err := call(); err != nil {
		t.Error(err)
	}
	stranger, err := net.Dial("tcp4", p[1].front.Addr)
	if err != nil { // it was reset while it was established
		return
	}
	defer stranger.Close()
	if got, _ := io.ReadAll(stranger); len(got) > 0 {
		t.Errorf("an unknown caller received %q", got)
	}
}
