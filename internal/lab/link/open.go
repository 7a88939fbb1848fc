package link

import (
	"fmt"
	"net"
)

// Open is a front of a party of the lab at which all processes reach it: the link of a connection is found by the
// address that it comes from. As with every front that serves many, one of them that is cut off sees its connection
// come up and stay silent.
type Open struct {
	Addr  string
	net   *Net
	name  string
	who   func(ip string) string
	serve func(*Conn)
	tcp   *net.TCPListener
}

// ServeAll opens a front for all processes. Who names the process that sends from an address, or nobody ("") for a
// stranger, who is not let through; Peer tells serve whom it has to do with.
func (n *Net) ServeAll(name, addr string, who func(ip string) string, serve func(*Conn)) (*Open, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("front of %s: %w", name, err)
	}
	o := &Open{Addr: l.Addr().String(), net: n, name: name, who: who, serve: serve, tcp: l.(*net.TCPListener)}
	n.mu.Lock()
	n.fronts = append(n.fronts, o.tcp)
	n.mu.Unlock()
	go o.accept()
	return o, nil
}

func (o *Open) accept() {
	for {
		sock, err := o.net.accepted(o.tcp)
		if err != nil {
			return
		}
		from := o.who(sock.RemoteAddr().(*net.TCPAddr).IP.String())
		if from == "" {
			abort(sock)
			continue
		}
		l := o.net.Link(from, o.name)
		if l.there.now().Refused {
			abort(sock)
			continue
		}
		c := l.newConn(sock, nil, false)
		go c.carryIn(sock, c.in, c.leave)
		go c.carryOut(c.out, sock)
		go o.serve(c)
	}
}
