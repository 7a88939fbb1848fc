package link

import (
	"fmt"
	"net"
	"syscall"
)

// Serve opens the front of the link at addr and has an emulated party handle each connection that the process from opens.
// It returns the address that it listens on.
func (n *Net) Serve(from, to, addr string, handle func(*Conn)) (string, error) {
	l := n.Link(from, to)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handle = handle
	return l.listen(addr)
}

// Forward opens the front of the link at addr and forwards each connection to the process that listens at target.
// It returns the address that it listens on.
func (n *Net) Forward(from, to, addr, target string) (string, error) {
	l := n.Link(from, to)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targetAddr = target
	return l.listen(addr)
}

// listen opens the front's listener and starts accepting. The caller holds the lock.
func (l *Link) listen(addr string) (string, error) {
	front, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("link from %s to %s: %w", l.From, l.To, err)
	}
	l.listener = front.(*net.TCPListener)
	l.addr = front.Addr().(*net.TCPAddr)
	go l.accept(l.listener)
	return l.addr.String(), nil
}

func (l *Link) accept(listener *net.TCPListener) {
	for {
		sock, err := l.net.acceptNext(listener)
		if err != nil {
			return
		}
		l.mu.Lock()
		isFiller := l.fillers[sock.RemoteAddr().String()]
		l.mu.Unlock()
		switch {
		case isFiller:
			sock.Close()
		default:
			go l.handleConn(sock)
		}
		l.mu.Lock()
		for l.cut() && !l.closed { // accept nothing, so that connection requests stay unanswered
			l.acceptPaused = true
			l.repaired.Wait()
		}
		l.acceptPaused = false
		l.mu.Unlock()
	}
}

// cut reports whether no connection can be established because a direction is cut.
func (l *Link) cut() bool { return l.forward.current().Cut || l.reverse.current().Cut }

// handleConn serves a connection that was accepted at the front.
func (l *Link) handleConn(sock *net.TCPConn) {
	if l.handle == nil {
		var d net.Dialer
		back, err := d.Dial("tcp4", l.targetAddr)
		if err != nil {
			l.net.noteFailure(err)
			abort(sock)
			return
		}
		l.proxy(sock, back.(*net.TCPConn))
		return
	}
	c := l.newConn(sock, nil, false)
	go c.readSocket(sock, c.fromPeer, c.markPeerClosed)
	go c.writeSocket(c.toPeer, sock)
	l.handle(c)
}

// proxy transports the bytes that two processes send each other.
func (l *Link) proxy(front, back *net.TCPConn) {
	c := l.newConn(front, back, false)
	go c.readSocket(front, c.fromPeer, c.markPeerClosed)
	go c.writeSocket(c.toPeer, front)
	go c.readSocket(back, c.toPeer, nil)
	go c.writeSocket(c.fromPeer, back)
}

// setBacklog sets how many connections may wait at a listener to be accepted.
func setBacklog(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
