package link

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// What the kernel tells of a socket of a process under test: only so is it known from outside what that process has read.

// socketState is what the kernel tells of one socket.
type socketState struct {
	established bool   // neither side has ended its sending
	closed      bool   // its process has closed it in order, and the other side has not: the kernel alone still holds it
	unread      uint32 // bytes that have come and that its process has not read
	received    uint64 // bytes that have come since the connection is up; 0 of one that is closed
}

// diag asks the kernel about sockets, by its socket monitoring interface (sock_diag(7)).
type diag struct {
	mu sync.Mutex
	fd int // 0 until it is opened
}

// The interface's constants and sizes, of linux/sock_diag.h and linux/inet_diag.h.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	diagInfo         = 2 // the attribute with struct tcp_info
	diagRequestSize  = 56
	diagReplySize    = 72
	tcpEstablished   = 1
	tcpFinWait1      = 4
	tcpFinWait2      = 5
	stateAt          = 1 // in struct inet_diag_msg
	unreadAt         = 56
	inodeAt          = 68
	bytesReceivedAt  = 128 // in struct tcp_info
	diagWaitSeconds  = 1
)

// How often, and after which times, it is looked whether a process has closed a connection.
const (
	closingLooks = 4
	closingEvery = 300 * time.Microsecond
)

var errNoSocket = errors.New("link: the kernel knows no such socket")

// open makes the socket that asks. The lock is held.
func (d *diag) open() error {
	if d.fd > 0 {
		return nil
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: diagWaitSeconds}); err != nil {
		syscall.Close(fd)
		return err
	}
	d.fd = fd
	return nil
}

// close ends it.
func (d *diag) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fd > 0 {
		syscall.Close(d.fd)
		d.fd = 0
	}
}

// look asks about the socket with an own and a far address.
func (d *diag) look(own, far *net.TCPAddr) (socketState, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.open(); err != nil {
		return socketState{}, err
	}
	if err := syscall.Sendto(d.fd, diagRequest(own, far), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return socketState{}, err
	}
	reply := make([]byte, 4<<10)
	n, _, err := syscall.Recvfrom(d.fd, reply, 0)
	if err != nil {
		syscall.Close(d.fd) // an answer that comes later would be taken for another question's
		d.fd = 0
		return socketState{}, err
	}
	return parseDiag(reply[:n])
}

// diagRequest is a question about one TCP socket.
func diagRequest(own, far *net.TCPAddr) []byte {
	const all, noCookie = 0xffffffff, 0xffffffff
	b := make([]byte, syscall.SizeofNlMsghdr+diagRequestSize)
	native, network := binary.NativeEndian, binary.BigEndian
	native.PutUint32(b[0:], uint32(len(b)))
	native.PutUint16(b[4:], sockDiagByFamily)
	native.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	r := b[syscall.SizeofNlMsghdr:]
	r[0], r[1], r[2] = syscall.AF_INET, syscall.IPPROTO_TCP, 1<<(diagInfo-1)
	native.PutUint32(r[4:], all) // states
	network.PutUint16(r[8:], uint16(own.Port))
	network.PutUint16(r[10:], uint16(far.Port))
	copy(r[12:], own.IP.To4())
	copy(r[28:], far.IP.To4())
	native.PutUint32(r[48:], noCookie)
	native.PutUint32(r[52:], noCookie)
	return b
}

// parseDiag reads the kernel's answer.
func parseDiag(reply []byte) (s socketState, err error) {
	messages, err := syscall.ParseNetlinkMessage(reply)
	if err != nil || len(messages) == 0 {
		return s, errors.Join(err, errNoSocket)
	}
	m := messages[0]
	if m.Header.Type != sockDiagByFamily || len(m.Data) < diagReplySize {
		return s, errNoSocket
	}
	native := binary.NativeEndian
	state, inode := m.Data[stateAt], native.Uint32(m.Data[inodeAt:])
	s.established = state == tcpEstablished
	s.closed = (state == tcpFinWait1 || state == tcpFinWait2) && inode == 0
	s.unread = native.Uint32(m.Data[unreadAt:])
	for rest := m.Data[diagReplySize:]; len(rest) >= 4; {
		size, kind := int(native.Uint16(rest)), native.Uint16(rest[2:])
		if size < 4 || size > len(rest) {
			break
		}
		if kind == diagInfo && size >= 4+bytesReceivedAt+8 {
			s.received = native.Uint64(rest[4+bytesReceivedAt:])
		}
		rest = rest[min(len(rest), (size+3)&^3):]
	}
	return s, nil
}

// PeerHasRead tells whether the process at the front has surely read all that was sent to it so far, and has not begun to
// end the connection: what it does from then on it does knowing what it was sent. False is no proof that it has not.
func (c *Conn) PeerHasRead() bool {
	sent := c.sent.Load()
	s, ok := c.peerSocket()
	return ok && s.established && s.unread == 0 && s.received >= sent
}

// PeerClosedAfterReading tells whether the process at the front has surely closed the connection after it had read all that was
// sent to it: the kernel resets one that is closed over bytes that were not read, or that get more bytes afterwards.
func (c *Conn) PeerClosedAfterReading() bool {
	for range closingLooks {
		s, ok := c.peerSocket()
		if !ok || s.closed && c.written.Load() >= c.sent.Load() {
			return ok
		}
		time.Sleep(closingEvery) // its end is sent a moment before the process has let go of it
	}
	return false
}

// peerSocket is the socket of the process at the front, if there still is one.
func (c *Conn) peerSocket() (s socketState, ok bool) {
	if c.sock == nil {
		return s, false
	}
	far, ok := c.sock.RemoteAddr().(*net.TCPAddr)
	own, ok2 := c.sock.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 {
		return s, false
	}
	s, err := c.link.net.diag.look(far, own)
	return s, err == nil
}
