package main

import (
	"net"
	"sync/atomic"
	"time"
)

// cutProxy passes connections on to an address until it is cut. From then on it passes nothing on and says nothing, on
// connections from one IP address or, if none is given, on all. What began during a cut is reset after it.
type cutProxy struct {
	addr string
	from string
	cut  atomic.Bool
}

func (r *rig) newCutProxy(to, from string) *cutProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &cutProxy{addr: listener.Addr().String(), from: from}
	r.closers = append(r.closers, func() { listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(near, to)
		}
	}()
	return p
}

// serve passes one connection on.
func (p *cutProxy) serve(near net.Conn, to string) {
	concerned := p.from == "" || near.RemoteAddr().(*net.TCPAddr).IP.String() == p.from
	awaitLink := func() {
		for concerned && p.cut.Load() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if concerned && p.cut.Load() {
		awaitLink()
		near.(*net.TCPConn).SetLinger(0)
		near.Close()
		return
	}
	far, err := net.Dial("tcp", to)
	if err != nil {
		near.Close()
		return
	}
	pass := func(from, to net.Conn) {
		defer to.Close()
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			awaitLink()
			if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}
	go pass(near, far)
	pass(far, near)
}
