package relay

import (
	"errors"
	"net"
	"sync/atomic"
)

// hostConn is a connection to a host. It tells when the last byte of a request goes out, which httptrace does only
// before the last flush, and RoundTrip only with the answer; and what the first line of an answer said whose rest does
// not come.
type hostConn struct {
	net.Conn
	writing    atomic.Pointer[hostRequest] // that is being written
	unanswered atomic.Pointer[hostRequest] // that has begun to go out, and whose answer has not come whole
}

// errUnasked says that a host sent something when nothing was asked.
var errUnsolicited = errors.New("an answer to no request")

func (c *hostConn) Write(p []byte) (int, error) {
	request := c.writing.Load()
	if request == nil {
		return c.Conn.Write(p)
	}
	if c.unanswered.Load() != request {
		if request.admit != nil {
			leave, err := request.admit()
			if err != nil {
				return 0, err
			}
			defer leave()
		}
		c.unanswered.Store(request)
	}
	// All that was read of the body before a write is in that write or an earlier one. From here on it may have gone: its answer
	// can come before the write returns.
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

// Read ends the connection over what comes unasked. A second answer to the call before, read as the next request is about
// to be written, would be taken for the answer to that.
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
