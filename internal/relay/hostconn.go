package relay

import (
	"errors"
	"net"
	"sync/atomic"

	"larchrouter/internal/clientconn"
)

// hostConn is a connection to a host. It reports when the last byte of a request is written, which httptrace reports
// only before the last flush and RoundTrip only with the answer. It also reads the status line of an answer, which
// counts even if the rest of the answer does not arrive.
type hostConn struct {
	net.Conn
	guard      *clientconn.Conn            // the same connection below any other layers; nil in tests
	writing    atomic.Pointer[hostRequest] // the request that is being written
	unanswered atomic.Pointer[hostRequest] // the request whose writing has started, and whose answer is not complete
}

// errUnsolicited reports that a host sent data although no request was pending.
var errUnsolicited = errors.New("host sent data without a pending request")

func (c *hostConn) Write(p []byte) (int, error) {
	request := c.writing.Load()
	if request == nil {
		return c.Conn.Write(p)
	}
	if c.unanswered.Load() != request {
		if c.guard != nil {
			if err := c.guard.StartRequest(); err != nil {
				return 0, err
			}
		}
		if request.admit != nil {
			leave, err := request.admit()
			if err != nil {
				return 0, err
			}
			defer leave()
		}
		c.unanswered.Store(request)
	}
	// All of the body that was read before this write is in this write or an earlier one. From here on the request may
	// have been sent completely: its answer can arrive before Write returns.
	last := request.unread.Len() == 0
	if last {
		request.fullyWritten.Store(true)
	}
	n, err := c.Conn.Write(p)
	switch {
	case last && err != nil:
		request.fullyWritten.Store(false)
	case last && c.writing.CompareAndSwap(request, nil):
		request.onWritten()
	}
	return n, err
}

// Read closes the connection by an error if data arrives that no request asked for. A second answer to the previous
// call that is read just before the next request is written would otherwise be taken for the answer to that request.
func (c *hostConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		request := c.unanswered.Load()
		if request == nil {
			return 0, errUnsolicited
		}
		request.answerReceived(p[:n])
	}
	return n, err
}
