package link

import (
	"fmt"
	"net"
	"syscall"
)

// Serve opens a front for a process at an address of the link's own, and has a party of the lab serve what
// comes. It returns the address.
func (n *Net) Serve(from, to, addr string, serve func(*Conn)) (string, error) {
	l := n.Link(from, to)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serve = serve
	return l.listen(addr)
}

// Forward opens a front for a process that leads to another process.
func (n *Net) Forward(from, to, addr, target string) (string, error) {
	l := n.Link(from, to)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = target
	return l.listen(addr)
}

// listen opens the front. The lock is held.
func (l *Link) listen(addr string) (string, error) {
	front, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", fmt.Errorf("link from %s to %s: %w", l.From, l.To, err)
	}
	l.front = front.(*net.TCPListener)
	l.addr = front.Addr().(*net.TCPAddr)
	go l.accept(l.front)
	return l.addr.String(), nil
}

func (l *Link) accept(front *net.TCPListener) {
	for {
		sock, err := l.net.accepted(front)
		if err != nil {
			return
		}
		l.mu.Lock()
		bar := l.bars[sock.RemoteAddr().String()]
		l.mu.Unlock()
		switch {
		case bar:
			sock.Close()
		default:
			go l.join(sock)
		}
		l.mu.Lock()
		for l.cut() && !l.over { // what asks for a connection now waits in vain
			l.parked = true
			l.mended.Wait()
		}
		l.parked = false
		l.mu.Unlock()
	}
}

// cut tells whether a connection cannot come up.
func (l *Link) cut() bool { return l.there.now().Cut || l.back.now().Cut }

// join carries a connection that came in at the front.
func (l *Link) join(sock *net.TCPConn) {
	if l.serve == nil {
		var d net.Dialer
		back, err := d.Dial("tcp4", l.to)
		if err != nil {
			l.net.failed(err)
			abort(sock)
			return
		}
		l.carry(sock, back.(*net.TCPConn))
		return
	}
	c := l.newConn(sock, nil, false)
	go c.carryIn(sock, c.in, c.leave)
	go c.carryOut(c.out, sock)
	l.serve(c)
}

// carry carries what two processes send each other.
func (l *Link) carry(front, back *net.TCPConn) {
	c := l.newConn(front, back, false)
	go c.carryIn(front, c.in, c.leave)
	go c.carryOut(c.out, front)
	go c.carryIn(back, c.out, nil)
	go c.carryOut(c.in, back)
}

// backlog sets how many connections wait at a listener.
func backlog(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
