package link

import (
	"fmt"
	"net"
)

// PartyFront is the front of an emulated party at which all processes reach it. The link of a connection is found by the
// source IP address. As with every front that serves many processes, a process whose link is cut sees its connection
// established and then silent.
type PartyFront struct {
	Addr       string
	net        *Net
	name       string
	senderByIP func(ip string) string
	serve      func(*Conn)
	listener   *net.TCPListener
}

// ServeParty opens a front for the emulated party name at which all processes reach it. The function senderByIP returns
// the name of the process that sends from an address, or "" for an unknown one, whose connection is reset. The function serve
// handles each connection; Conn.Peer tells it the process.
func (n *Net) ServeParty(name, addr string, senderByIP func(ip string) string, serve func(*Conn)) (*PartyFront, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("front of %s: %w", name, err)
	}
	o := &PartyFront{Addr: l.Addr().String(), net: n, name: name, senderByIP: senderByIP, serve: serve, listener: l.(*net.TCPListener)}
	n.mu.Lock()
	n.partyListeners = append(n.partyListeners, o.listener)
	n.mu.Unlock()
	go o.accept()
	return o, nil
}

func (o *PartyFront) accept() {
	for {
		sock, err := o.net.acceptNext(o.listener)
		if err != nil {
			return
		}
		from := o.senderByIP(sock.RemoteAddr().(*net.TCPAddr).IP.String())
		if from == "" {
			abort(sock)
			continue
		}
		l := o.net.Link(from, o.name)
		if l.forward.current().Refused {
			abort(sock)
			continue
		}
		c := l.newConn(sock, nil, false)
		go c.readSocket(sock, c.fromPeer, c.markPeerClosed)
		go c.writeSocket(c.toPeer, sock)
		go o.serve(c)
	}
}
