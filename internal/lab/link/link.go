// Package link is the network between the parties of a run. Every connection between two of them goes through
// a link, which knows who is at either end and can be cut, refused, reset, delayed, narrowed, half open or
// closed late, each way by itself. Sockets of processes under test end at the link's front; parties that the
// lab emulates hold the other end in memory.
package link

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"larchrouter/internal/lab/history"
)

// Link joins two parties.
type Link struct {
	From, To string // From opens the connections
	net      *Net
	there    way // what From sends
	back     way // what To sends

	mu     sync.Mutex
	front  *net.TCPListener // where From, a process, connects; nil where From is the lab's
	addr   *net.TCPAddr
	bars   map[string]bool // connections that fill the backlog while the link is cut, by their address
	mended sync.Cond
	on     map[string][2]*Faults
	shut   bool // nobody listens at the front
	parked bool // accepts nothing until the link is mended
	conns  map[*Conn]struct{}
	serve  func(*Conn)
	to     string // To's address, if it is a process
	over   bool
}

// Net is all links of a run.
type Net struct {
	Clock *history.Clock
	mu    sync.Mutex
	links map[[2]string]*Link
	// fronts serve more than one link.
	fronts []*net.TCPListener
	diag   diag
	// trouble is why the network itself did not do as it should, the first time; nil for never.
	trouble error
}

// Trouble tells why the network itself failed the parties, if it did: what they then saw is not to be blamed on them.
func (n *Net) Trouble() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.trouble
}

// failed notes a failure of the lab's own sockets. Refusals and resets are none.
func (n *Net) failed(err error) {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.trouble == nil {
				n.trouble = err
			}
		}
	}
}

// accepted takes the next connection of a front. A machine that has no more descriptors is none that stopped
// listening: it goes on once it can, and the run is known to show nothing.
func (n *Net) accepted(front *net.TCPListener) (*net.TCPConn, error) {
	for {
		sock, err := front.AcceptTCP()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return sock, err
		}
		n.failed(err)
		time.Sleep(10 * time.Millisecond)
	}
}

// NewNet returns a network without links.
func NewNet(clock *history.Clock) *Net {
	return &Net{Clock: clock, links: map[[2]string]*Link{}}
}

// Link is the link between two parties, of which the first opens the connections.
func (n *Net) Link(from, to string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[[2]string{from, to}]
	if l == nil {
		l = &Link{From: from, To: to, net: n, conns: map[*Conn]struct{}{}}
		l.mended.L = &l.mu
		l.there.queues, l.back.queues = map[*queue]struct{}{}, map[*queue]struct{}{}
		n.links[[2]string{from, to}] = l
	}
	return l
}

// Links has all links between two parties of which the first satisfies a and the second b.
func (n *Net) Links(a, b func(party string) bool) []*Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*Link
	for _, l := range n.links {
		if a(l.From) && b(l.To) {
			found = append(found, l)
		}
	}
	return found
}

// Close ends all links.
func (n *Net) Close() {
	n.mu.Lock()
	for _, f := range n.fronts {
		f.Close()
	}
	n.mu.Unlock()
	for _, l := range n.Links(func(string) bool { return true }, func(string) bool { return true }) {
		l.close()
	}
	n.diag.close()
}

// Dial opens a connection from a party of the lab, at an address of its own, to a process.
func (n *Net) Dial(ctx context.Context, from, to, source, addr string) (*Conn, error) {
	l := n.Link(from, to)
	for l.cut() { // the machine's packets go nowhere
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("link from %s to %s: %w", from, to, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	if l.there.now().Refused {
		return nil, fmt.Errorf("link from %s to %s: %w", from, to, syscall.ECONNREFUSED)
	}
	d := net.Dialer{}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	sock, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		n.failed(err)
		return nil, err
	}
	c := l.newConn(sock.(*net.TCPConn), nil, true)
	go c.carryIn(c.sock, c.in, c.leave)
	go c.carryOut(c.out, c.sock)
	return c, nil
}

// Reset ends all connections of the link at once, as a process's death does.
func (l *Link) Reset() {
	l.mu.Lock()
	all := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range all {
		c.breakOff()
	}
}

func (l *Link) close() {
	l.mu.Lock()
	l.over = true
	if l.front != nil {
		l.front.Close()
	}
	l.mended.Broadcast()
	l.mu.Unlock()
	l.Reset()
}
