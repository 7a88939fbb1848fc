package link

import (
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// The kernel's socket diagnostics are the only way to know from outside what a process under test has read.

// socketState is what the kernel reports about one socket.
type socketState struct {
	established bool   // neither side has ended its sending
	closed      bool   // its process has closed it in order and the other side has not: only the kernel still has it
	unread      uint32 // bytes received that its process has not read
	received    uint64 // bytes received since the connection was established; 0 for a closed socket
}

// diag queries the kernel about sockets through its socket monitoring interface (sock_diag(7)).
type diag struct {
	mu sync.Mutex
	fd int // netlink socket; 0 while it is not open
}

// Constants, sizes and offsets (in bytes) of the interface, from linux/sock_diag.h and linux/inet_diag.h.
const (
	netlinkSockDiag     = 4
	sockDiagByFamily    = 20
	diagInfo            = 2 // the attribute with struct tcp_info
	diagRequestSize     = 56
	diagReplySize       = 72
	tcpEstablished      = 1
	tcpFinWait1         = 4
	tcpFinWait2         = 5
	stateOffset         = 1 // in struct inet_diag_msg
	unreadOffset        = 56
	inodeOffset         = 68
	bytesReceivedOffset = 128 // in struct tcp_info
	diagTimeoutSeconds  = 1
)

// Number of checks, and the pause after each, for whether a process has closed a connection.
const (
	closeChecks        = 4
	closeCheckInterval = 300 * time.Microsecond
)

var errNoSocket = errors.New("link: the kernel reports no such socket")

// open opens the netlink socket if it is not open. The caller holds the lock.
func (d *diag) open() error {
	if d.fd > 0 {
		return nil
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: diagTimeoutSeconds}); err != nil {
		syscall.Close(fd)
		return err
	}
	d.fd = fd
	return nil
}

// close closes the netlink socket.
func (d *diag) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fd > 0 {
		syscall.Close(d.fd)
		d.fd = 0
	}
}

// query returns the state of the TCP socket with the given local and remote address.
func (d *diag) query(local, remote *net.TCPAddr) (socketState, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.open(); err != nil {
		return socketState{}, err
	}
	if err := syscall.Sendto(d.fd, diagRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return socketState{}, err
	}
	reply := make([]byte, 4<<10)
	n, _, err := syscall.Recvfrom(d.fd, reply, 0)
	if err != nil {
		syscall.Close(d.fd) // a late reply would be taken for the reply to the next query
		d.fd = 0
		return socketState{}, err
	}
	return parseDiag(reply[:n])
}

// diagRequest returns the netlink request about one TCP socket.
func diagRequest(local, remote *net.TCPAddr) []byte {
	const all, noCookie = 0xffffffff, 0xffffffff
	b := make([]byte, syscall.SizeofNlMsghdr+diagRequestSize)
	native, network := binary.NativeEndian, binary.BigEndian
	native.PutUint32(b[0:], uint32(len(b)))
	native.PutUint16(b[4:], sockDiagByFamily)
	native.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	r := b[syscall.SizeofNlMsghdr:]
	r[0], r[1], r[2] = syscall.AF_INET, syscall.IPPROTO_TCP, 1<<(diagInfo-1)
	native.PutUint32(r[4:], all) // states
	network.PutUint16(r[8:], uint16(local.Port))
	network.PutUint16(r[10:], uint16(remote.Port))
	copy(r[12:], local.IP.To4())
	copy(r[28:], remote.IP.To4())
	native.PutUint32(r[48:], noCookie)
	native.PutUint32(r[52:], noCookie)
	return b
}

// parseDiag parses the kernel's reply. The error is errNoSocket if the reply describes no socket.
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
	state, inode := m.Data[stateOffset], native.Uint32(m.Data[inodeOffset:])
	s.established = state == tcpEstablished
	s.closed = (state == tcpFinWait1 || state == tcpFinWait2) && inode == 0
	s.unread = native.Uint32(m.Data[unreadOffset:])
	for rest := m.Data[diagReplySize:]; len(rest) >= 4; {
		size, kind := int(native.Uint16(rest)), native.Uint16(rest[2:])
		if size < 4 || size > len(rest) {
			break
		}
		if kind == diagInfo && size >= 4+bytesReceivedOffset+8 {
			s.received = native.Uint64(rest[4+bytesReceivedOffset:])
		}
		rest = rest[min(len(rest), (size+3)&^3):]
	}
	return s, nil
}

// PeerHasRead reports whether the peer has certainly read everything that was sent to it so far and has not begun to end the
// connection, so that whatever it does afterwards it does with knowledge of those bytes. False does not prove the opposite.
func (c *Conn) PeerHasRead() bool {
	sent := c.sent.Load()
	s, ok := c.peerSocket()
	return ok && s.established && s.unread == 0 && s.received >= sent
}

// PeerClosedAfterReading reports whether the peer has certainly closed the connection after reading everything that was sent to
// it. The kernel resets a connection that is closed with unread bytes, or that receives bytes after the close, so a socket in
// FIN-WAIT without an owner has read all.
func (c *Conn) PeerClosedAfterReading() bool {
	for range closeChecks {
		s, ok := c.peerSocket()
		if !ok || s.closed && c.written.Load() >= c.sent.Load() {
			return ok
		}
		time.Sleep(closeCheckInterval) // the FIN is sent shortly before the process releases the socket
	}
	return false
}

// peerSocket returns the state of the peer's socket; ok is false if the kernel no longer has it.
func (c *Conn) peerSocket() (s socketState, ok bool) {
	if c.socket == nil {
		return s, false
	}
	remote, ok := c.socket.RemoteAddr().(*net.TCPAddr)
	local, ok2 := c.socket.LocalAddr().(*net.TCPAddr)
	if !ok || !ok2 {
		return s, false
	}
	s, err := c.link.net.diag.query(remote, local)
	return s, err == nil
}
