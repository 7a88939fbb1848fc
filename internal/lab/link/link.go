// Package link is the network between the parties of a run. Every connection between two parties goes through
// a link, which knows both of them and can inject faults into each direction separately: cut, refused, reset,
// delayed, limited in rate, half open or closed late. A link's front is the listener or socket at which the
// connections of a process under test end; emulated parties hold the other end in memory.
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

// Link connects two parties.
type Link struct {
	From, To string // names of the parties; From opens the connections
	net      *Net
	forward  direction // from From to To
	reverse  direction // from To to From

	mu             sync.Mutex
	listener       *net.TCPListener // where From, a process, connects; nil if From is emulated
	addr           *net.TCPAddr
	fillers        map[string]bool // connections that fill the backlog while the link is cut, by local address
	repaired       sync.Cond
	faults         map[string][2]*Faults
	listenerClosed bool // connections are refused
	acceptPaused   bool // accept waits until the link is repaired
	conns          map[*Conn]struct{}
	handle         func(*Conn)
	targetAddr     string // To's address, if it is a process
	closed         bool
}

// Net contains all links of a run.
type Net struct {
	Clock *history.Clock
	mu    sync.Mutex
	links map[[2]string]*Link
	// partyListeners are the listeners of all fronts of type PartyFront.
	partyListeners []*net.TCPListener
	diag           diag
	// failure is the first failure of the lab's own sockets; nil for none.
	failure error
}

// Failure returns the first failure of the lab's own sockets, or nil. After one, nothing that happens in the run can be blamed on
// the parties.
func (n *Net) Failure() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failure
}

// noteFailure records err if it is a failure of the lab's own sockets. Refusals and resets are not.
func (n *Net) noteFailure(err error) {
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.failure == nil {
				n.failure = err
			}
		}
	}
}

// acceptNext returns the next connection of a front. It retries until the listener is closed: if the lab runs out of
// descriptors, the failure is recorded, which makes the run void, and the front continues once there are some.
func (n *Net) acceptNext(listener *net.TCPListener) (*net.TCPConn, error) {
	for {
		sock, err := listener.AcceptTCP()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return sock, err
		}
		n.noteFailure(err)
		time.Sleep(10 * time.Millisecond)
	}
}

// NewNet returns a network without links that takes times from clock.
func NewNet(clock *history.Clock) *Net {
	return &Net{Clock: clock, links: map[[2]string]*Link{}}
}

// Link returns the link between two parties, of which from opens the connections, and creates it if needed.
func (n *Net) Link(from, to string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[[2]string{from, to}]
	if l == nil {
		l = &Link{From: from, To: to, net: n, conns: map[*Conn]struct{}{}}
		l.repaired.L = &l.mu
		l.forward.queues, l.reverse.queues = map[*queue]struct{}{}, map[*queue]struct{}{}
		n.links[[2]string{from, to}] = l
	}
	return l
}

// Links returns all links whose parties satisfy both functions, in no particular order.
func (n *Net) Links(fromMatches, toMatches func(party string) bool) []*Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*Link
	for _, l := range n.links {
		if fromMatches(l.From) && toMatches(l.To) {
			found = append(found, l)
		}
	}
	return found
}

// Close closes all fronts and resets all connections.
func (n *Net) Close() {
	n.mu.Lock()
	for _, f := range n.partyListeners {
		f.Close()
	}
	n.mu.Unlock()
	for _, l := range n.Links(func(string) bool { return true }, func(string) bool { return true }) {
		l.close()
	}
	n.diag.close()
}

// Dial opens a connection from an emulated party to the process at addr, from the IP address source, or from any if source is
// empty. While the link is cut, it waits until ctx ends.
func (n *Net) Dial(ctx context.Context, from, to, sourceIP, addr string) (*Conn, error) {
	l := n.Link(from, to)
	for l.cut() { // no packet reaches the other machine
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("link from %s to %s: %w", from, to, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	if l.forward.current().Refused {
		return nil, fmt.Errorf("link from %s to %s: %w", from, to, syscall.ECONNREFUSED)
	}
	d := net.Dialer{}
	if sourceIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceIP)}
	}
	sock, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		n.noteFailure(err)
		return nil, err
	}
	c := l.newConn(sock.(*net.TCPConn), nil, true)
	go c.readSocket(c.socket, c.fromPeer, c.markPeerClosed)
	go c.writeSocket(c.toPeer, c.socket)
	return c, nil
}

// Reset resets all connections of the link, as the death of a process does.
func (l *Link) Reset() {
	l.mu.Lock()
	all := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range all {
		c.breakConn()
	}
}

func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	if l.listener != nil {
		l.listener.Close()
	}
	l.repaired.Broadcast()
	l.mu.Unlock()
	l.Reset()
}
