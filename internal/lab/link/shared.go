package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Shared is a front that many processes use to reach one: keepers, and relays among each other, have one address
// that all are told. Each process sends from a loopback address of its own, by which the link is found; what it
// is sent comes from the front of whoever sent it, so that answers go through the link as well.
//
// A front that serves many cannot keep a connection of one of them from coming up. Under a cut it comes up and
// stays silent, as if the machine had gone right after.
type Shared struct {
	Addr   string // that others are told
	name   string
	net    *Net
	who    func(ip string) *Shared // the party that sends from an address
	target string
	tcp    *net.TCPListener
	udp    *net.UDPConn
	ip     string

	mu     sync.Mutex
	flying int
	over   bool
}

// flyingMost is how many datagrams a front holds that are under way; further ones are lost, as in a full queue.
const flyingMost = 1024

// Share opens a front for a process that listens at target, over TCP and UDP at one port of the same number.
// Who names the front of whoever sends from an address, or nil for a stranger, who is not let through.
func (n *Net) Share(name, ip, target string, who func(ip string) *Shared) (*Shared, error) {
	s := &Shared{name: name, net: n, who: who, target: target}
	var err error
	s.ip, _, err = net.SplitHostPort(target)
	if err != nil {
		return nil, fmt.Errorf("front of %s: %w", name, err)
	}
	for try := 0; ; try++ {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("front of %s: %w", name, err)
		}
		s.tcp = l.(*net.TCPListener)
		at := l.Addr().(*net.TCPAddr)
		s.udp, err = net.ListenUDP("udp4", &net.UDPAddr{IP: at.IP, Port: at.Port})
		if err == nil {
			s.Addr = at.String()
			break
		}
		l.Close()
		if try == 20 { // the port is free for one of the two only
			return nil, fmt.Errorf("front of %s: %w", name, err)
		}
	}
	go s.accept()
	go s.receive()
	return s, nil
}

// Close ends the front.
func (s *Shared) Close() {
	s.mu.Lock()
	s.over = true
	s.mu.Unlock()
	s.tcp.Close()
	s.udp.Close()
}

func (s *Shared) accept() {
	for {
		sock, err := s.net.accepted(s.tcp)
		if err != nil {
			return
		}
		from := s.who(sock.RemoteAddr().(*net.TCPAddr).IP.String())
		if from == nil {
			abort(sock)
			continue
		}
		l := s.net.Link(from.name, s.name)
		if l.there.now().Refused {
			abort(sock)
			continue
		}
		go s.join(l, from, sock)
	}
}

// join carries a connection to the process, which sees it come from the caller's address.
func (s *Shared) join(l *Link, from *Shared, sock *net.TCPConn) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from.ip)}, Timeout: 10 * time.Second}
	back, err := d.Dial("tcp4", s.target)
	if err != nil {
		s.net.failed(err)
		abort(sock)
		return
	}
	l.carry(sock, back.(*net.TCPConn))
}

// receive carries datagrams. Each is lost, late or cut off by itself; with a spread they overtake each other.
func (s *Shared) receive() {
	target, err := net.ResolveUDPAddr("udp4", s.target)
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := s.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		from := s.who(addr.IP.String())
		if from == nil {
			continue
		}
		f := s.net.Link(from.name, s.name).there.now()
		if f.Cut || f.Refused || f.Loss > 0 && rand.Float64() < f.Loss {
			continue
		}
		late := f.Delay + time.Duration(rand.Float64()*float64(f.Spread))
		if f.Rate > 0 {
			late += time.Duration(float64(n) / float64(f.Rate) * float64(time.Second))
		}
		if late == 0 {
			from.udp.WriteToUDP(buf[:n], target)
			continue
		}
		s.later(late, func(data []byte) { from.udp.WriteToUDP(data, target) }, buf[:n])
	}
}

func (s *Shared) later(late time.Duration, send func([]byte), data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flying >= flyingMost {
		return
	}
	s.flying++
	kept := append([]byte(nil), data...)
	time.AfterFunc(late, func() {
		s.mu.Lock()
		s.flying--
		over := s.over
		s.mu.Unlock()
		if !over {
			send(kept)
		}
	})
}
