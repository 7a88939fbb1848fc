package relay

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A client that has left may hand its message in elsewhere, so a request that is read after that is not accepted. Closing
// and closing only the sending direction look the same to this side, so a client has certainly left only if its
// connection is broken, if it sent more than a single request, or if it has waited for longer than clients do.

// clientPatience is how long a client waits for the answer to a message.
const clientPatience = 400 * time.Millisecond

// States of a TCP connection, as TCP_INFO reports them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// inputState is what the system knows of the input of a connection.
type inputState struct {
	ended  bool          // the remote side sends no more
	broken bool          // neither side can send
	unread int           // bytes that have arrived and were not read
	age    time.Duration // since the last bytes arrived
}

// readInputState returns the state of a connection's input; all zero if it is unknown.
func readInputState(conn net.Conn) (state inputState) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return state
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return state
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case tcpClose, tcpLastAck, tcpClosing:
			state.broken = true
		case tcpCloseWait:
			state.ended = true
		}
		state.age = time.Duration(info.Last_data_recv) * time.Millisecond
		state.unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	})
	return state
}

// clientHasLeft reports whether the client of the current request has certainly left. It is called while a handler has
// the request.
func (c *inboundConn) clientHasLeft() bool {
	if c == nil {
		return false
	}
	state := readInputState(c.Conn)
	return state.broken || state.ended && (state.unread > 0 || state.age > clientPatience || c.hasReadAhead())
}

// hasReadAhead reports whether bytes behind the current request have been read. The end of the input shows only behind
// them.
func (c *inboundConn) hasReadAhead() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.pipelined || len(c.ahead) > 0
}

// leftWithoutAnswer reports whether the client of a request left before its answer, as far as is known.
func leftWithoutAnswer(req *http.Request) bool {
	conn := inboundConnOf(req)
	return req.Context().Err() != nil || conn.hasReadAhead() && conn.clientHasLeft()
}

// refuseLeftClient answers the request of a client that has left, in case it still reads, and ends its connection.
func (r *Relay) refuseLeftClient(w http.ResponseWriter, id string) {
	r.noteRefusal(id, refusedClientLeft)
	w.Header().Set("Connection", "close")
	setRetryAfter(w, defaultRetryAfter)
	http.Error(w, "client has left", http.StatusServiceUnavailable)
}
