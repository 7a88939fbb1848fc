package link

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/lab/history"
)

// Guards against a shared front that mixes up its links: a fault of one caller's link must not affect another caller.
func TestPartyFrontKeepsLinksApart(t *testing.T) {
	network := NewNet(history.NewClock())
	defer network.Close()
	callers := map[string]string{"127.7.0.1": "relay/0", "127.7.0.2": "relay/1"}
	o, err := network.ServeParty("endpoint/0", "127.7.1.1:0", func(ip string) string { return callers[ip] }, func(c *Conn) {
		if line, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			fmt.Fprintf(c, "%s says %s", c.Peer(), line)
		}
		c.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	request := func(from string, timeout time.Duration) (string, error) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		c, err := d.Dial("tcp4", o.Addr)
		if err != nil {
			return "", err
		}
		defer c.Close()
		fmt.Fprintf(c, "hello\n")
		c.SetReadDeadline(time.Now().Add(timeout))
		return bufio.NewReader(c).ReadString('\n')
	}
	const long, short = 30 * time.Second, 100 * time.Millisecond
	expectReply := func(when, from string, want string) {
		t.Helper()
		timeout := long
		if want == "silence" {
			timeout = short
		}
		got, err := request(from, timeout)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			got = "silence"
		} else if err != nil {
			got = "reset"
		}
		if got != want {
			t.Errorf("%s: %s received %q (%v), want %q", when, from, got, err, want)
		}
	}
	expectReply("no faults", "127.7.0.1", "relay/0 says hello\n")
	expectReply("no faults", "127.7.0.2", "relay/1 says hello\n")
	expectReply("a stranger", "127.7.0.3", "reset")
	network.Link("relay/0", "endpoint/0").Set(&Faults{Cut: true}, &Faults{Cut: true})
	expectReply("cut", "127.7.0.1", "silence")
	expectReply("another is cut", "127.7.0.2", "relay/1 says hello\n")
	network.Link("relay/0", "endpoint/0").Set(&Faults{Refused: true}, nil)
	expectReply("refused", "127.7.0.1", "reset")
	expectReply("another is refused", "127.7.0.2", "relay/1 says hello\n")
	network.Link("relay/0", "endpoint/0").Set(nil, nil)
	expectReply("mended", "127.7.0.1", "relay/0 says hello\n")
}

// Guards against relays that are blamed when the lab runs out of descriptors: its fronts must continue once there are
// some, and the network must report the failure.
func TestFrontRecoversFromDescriptorExhaustion(t *testing.T) {
	network := NewNet(history.NewClock())
	defer network.Close()
	served := make(chan struct{}, 16)
	addr, err := network.Serve("relay/0", "endpoint/0", "127.7.2.1:0", func(c *Conn) { served <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)
	low := before
	low.Cur = 0 // a limit of 0 allows no new descriptor
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	<-served
	second, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(second)
	if err := network.Failure(); err != nil {
		t.Fatalf("failure reported before there is one: %v", err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(addr)
	if err := syscall.Connect(second, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
	for network.Failure() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	<-served
}
