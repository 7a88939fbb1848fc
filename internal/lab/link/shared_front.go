package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// SharedFront is a front at which many processes reach one process: keepers, and relays among each other, have a single
// advertised address. Each process sends from its own loopback address, by which the link is found. What a process receives
// comes from the sender's front, so that answers go through a link as well.
//
// A front that serves many processes cannot prevent one of them from establishing a connection. While its link is cut, the
// connection is established and stays silent, as if the machine had failed right after.
type SharedFront struct {
	Addr       string // advertised to the other processes
	name       string
	net        *Net
	senderByIP func(ip string) *SharedFront // the front of the process that sends from an IP address; nil for an unknown one
	targetAddr string
	tcp        *net.TCPListener
	udp        *net.UDPConn
	ip         string

	mu       sync.Mutex
	inFlight int
	closed   bool
}

// maxInFlight is how many delayed datagrams a front buffers at most; further ones are lost, as in a full queue.
const maxInFlight = 1024

// ShareProcess opens a front at ip for the process name, which listens at target. It serves TCP and UDP at the same port number.
// The function senderByIP returns the front of the process that sends from an address, or nil for an unknown one, which is not let
// through.
func (n *Net) ShareProcess(name, ip, target string, senderByIP func(ip string) *SharedFront) (*SharedFront, error) {
	s := &SharedFront{name: name, net: n, senderByIP: senderByIP, targetAddr: target}
	var err error
	s.ip, _, err = net.SplitHostPort(target)
	if err != nil {
		return nil, fmt.Errorf("front of %s: %w", name, err)
	}
	for attempt := 0; ; attempt++ {
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
		if attempt == 20 { // no port found that is free for both protocols
			return nil, fmt.Errorf("front of %s: %w", name, err)
		}
	}
	go s.accept()
	go s.receive()
	return s, nil
}

// Close closes the front. Delayed datagrams are dropped.
func (s *SharedFront) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.tcp.Close()
	s.udp.Close()
}

func (s *SharedFront) accept() {
	for {
		sock, err := s.net.acceptNext(s.tcp)
		if err != nil {
			return
		}
		from := s.senderByIP(sock.RemoteAddr().(*net.TCPAddr).IP.String())
		if from == nil {
			abort(sock)
			continue
		}
		l := s.net.Link(from.name, s.name)
		if l.forward.current().Refused {
			abort(sock)
			continue
		}
		go s.proxy(l, from, sock)
	}
}

// proxy connects an accepted connection to the process, which sees it come from the caller's own address.
func (s *SharedFront) proxy(l *Link, from *SharedFront, sock *net.TCPConn) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from.ip)}, Timeout: 10 * time.Second}
	back, err := d.Dial("tcp4", s.targetAddr)
	if err != nil {
		s.net.noteFailure(err)
		abort(sock)
		return
	}
	l.proxy(sock, back.(*net.TCPConn))
}

// receive forwards datagrams. Faults apply to each one separately, so that with jitter they may be reordered.
func (s *SharedFront) receive() {
	target, err := net.ResolveUDPAddr("udp4", s.targetAddr)
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := s.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		from := s.senderByIP(addr.IP.String())
		if from == nil {
			continue
		}
		f := s.net.Link(from.name, s.name).forward.current()
		if f.Cut || f.Refused || f.LossShare > 0 && rand.Float64() < f.LossShare {
			continue
		}
		delay := f.Delay + time.Duration(rand.Float64()*float64(f.Jitter))
		if f.BytesPerSecond > 0 {
			delay += time.Duration(float64(n) / float64(f.BytesPerSecond) * float64(time.Second))
		}
		if delay == 0 {
			from.udp.WriteToUDP(buf[:n], target)
			continue
		}
		s.sendDelayed(delay, func(data []byte) { from.udp.WriteToUDP(data, target) }, buf[:n])
	}
}

func (s *SharedFront) sendDelayed(delay time.Duration, send func([]byte), data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= maxInFlight {
		return
	}
	s.inFlight++
	payload := append([]byte(nil), data...)
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		s.inFlight--
		over := s.closed
		s.mu.Unlock()
		if !over {
			send(payload)
		}
	})
}
