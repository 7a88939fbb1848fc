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

// Guards against a front for all whose links are mixed up: a fault of one caller's must not be another's.
func TestOneFrontForAll(t *testing.T) {
	all := NewNet(history.NewClock())
	defer all.Close()
	callers := map[string]string{"127.7.0.1": "relay/0", "127.7.0.2": "relay/1"}
	o, err := all.ServeAll("endpoint/0", "127.7.1.1:0", func(ip string) string { return callers[ip] }, func(c *Conn) {
		if line, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			fmt.Fprintf(c, "%s says %s", c.Peer(), line)
		}
		c.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	say := func(from string, patience time.Duration) (string, error) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		c, err := d.Dial("tcp4", o.Addr)
		if err != nil {
			return "", err
		}
		defer c.Close()
		fmt.Fprintf(c, "hello\n")
		c.SetReadDeadline(time.Now().Add(patience))
		return bufio.NewReader(c).ReadString('\n')
	}
	const long, short = 30 * time.Second, 100 * time.Millisecond
	heard := func(when, from string, want string) {
		t.Helper()
		patience := long
		if want == "silence" {
			patience = short
		}
		got, err := say(from, patience)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			got = "silence"
		} else if err != nil {
			got = "reset"
		}
		if got != want {
			t.Errorf("%s: %s hears %q (%v), want %q", when, from, got, err, want)
		}
	}
	heard("all sound", "127.7.0.1", "relay/0 says hello\n")
	heard("all sound", "127.7.0.2", "relay/1 says hello\n")
	heard("a stranger", "127.7.0.3", "reset")
	all.Link("relay/0", "endpoint/0").Set(&Faults{Cut: true}, &Faults{Cut: true})
	heard("cut", "127.7.0.1", "silence")
	heard("another is cut", "127.7.0.2", "relay/1 says hello\n")
	all.Link("relay/0", "endpoint/0").Set(&Faults{Refused: true}, nil)
	heard("refused", "127.7.0.1", "reset")
	heard("another is refused", "127.7.0.2", "relay/1 says hello\n")
	all.Link("relay/0", "endpoint/0").Set(nil, nil)
	heard("mended", "127.7.0.1", "relay/0 says hello\n")
}

// Guards against relays that are blamed for a lab without descriptors: its fronts go on once there are some, and the
// network says that it failed.
func TestWithoutDescriptors(t *testing.T) {
	all := NewNet(history.NewClock())
	defer all.Close()
	served := make(chan struct{}, 16)
	addr, err := all.Serve("relay/0", "endpoint/0", "127.7.2.1:0", func(c *Conn) { served <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)
	low := was
	low.Cur = 0 // of any number, none is below it: no descriptor can be opened
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
	if err := all.Trouble(); err != nil {
		t.Fatalf("trouble before there is any: %v", err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(addr)
	if err := syscall.Connect(second, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
	for all.Trouble() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	<-served
}
