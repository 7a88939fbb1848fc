// Package clientconn keeps what a server sends beyond an answer from being read as the answer to the next call on the
// connection. net/http returns a connection to its idle ones before it looks for more input, so a call that takes the
// connection at that moment would read the surplus. A Conn therefore passes on no byte beyond an answer, and no request
// may start on it once there was a surplus.
package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var (
	// errSurplus reports that a server sent more than the answer to the request.
	errSurplus = errors.New("the server sent more than its answer")
	// errNotReusable reports a connection on which no further request may start.
	errNotReusable = errors.New("the connection cannot be used for another request")
)

// Conn is a client's HTTP/1.1 connection that carries one request at a time. Use StartRequest before the first byte of each
// request, or a Transport, which does so.
type Conn struct {
	net.Conn
	descriptor syscall.RawConn // nil for a connection that has none, such as one in memory
	settleTime time.Duration   // how long after an answer the next request waits for a surplus that was sent separately

	mu           sync.Mutex
	answer       answerFraming
	awaiting     bool      // a request has started, and its answer is not complete
	notReusable  bool      // there was a surplus, or the end of an answer is not known
	answeredAt   time.Time // when the last answer was complete; zero for none
	startPending bool      // the next Write begins a request
}

// New returns a Conn that uses a connection. Each request but the first starts at the earliest settleTime after the answer
// before, so that a surplus which the server sends separately, right behind an answer, is noticed.
func New(conn net.Conn, settleTime time.Duration) *Conn {
	c := &Conn{Conn: conn, settleTime: settleTime}
	if withDescriptor, ok := conn.(syscall.Conn); ok {
		c.descriptor, _ = withDescriptor.SyscallConn()
	}
	return c
}

// StartRequest prepares the connection for the first byte of a request. If it returns an error, nothing may be written.
func (c *Conn) StartRequest() error {
	c.mu.Lock()
	settled := c.answeredAt.Add(c.settleTime)
	c.mu.Unlock()
	time.Sleep(time.Until(settled))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startPending = false
	if c.awaiting || c.notReusable || c.hasInput() {
		c.notReusable = true
		return errNotReusable
	}
	c.awaiting, c.answer = true, answerFraming{}
	return nil
}

// hasInput reports whether there is input that no request asked for, or the connection has ended. The caller holds the
// mutex, so that no Read takes the input at the same time.
func (c *Conn) hasInput() (found bool) {
	if c.descriptor == nil || c.answeredAt.IsZero() {
		return false
	}
	err := c.descriptor.Control(func(fd uintptr) {
		_, err := readNow(fd, make([]byte, 1))
		found = err != syscall.EAGAIN
	})
	return found || err != nil
}

// readNow reads the input of a non-blocking descriptor. Without any it returns EAGAIN.
func readNow(fd uintptr, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// markStart has the next Write start a request.
func (c *Conn) markStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startPending = true
}

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	starts := c.startPending
	c.mu.Unlock()
	if starts {
		if err := c.StartRequest(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Read reads a part of the answer to the current request, and no more than that. Input without a request is an error.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.descriptor == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.accept(p[:n], err)
	}
	// The input is read and attributed to a request in one step, which excludes StartRequest.
	waitErr := c.descriptor.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n, err = readNow(fd, p); err == syscall.EAGAIN {
			return false
		}
		if n == 0 {
			err = c.readError(err)
		}
		n, err = c.accept(p[:n], err)
		return true
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// readError converts the error of read(2) to that of a net.Conn; nil means the end of the input.
func (c *Conn) readError(err error) error {
	if err == nil {
		return io.EOF
	}
	return &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
}

// accept returns how much of the input belongs to the current answer. With a surplus the input ends there, so that net/http
// does not use the connection again. The caller holds the mutex.
func (c *Conn) accept(input []byte, err error) (int, error) {
	if len(input) == 0 {
		return 0, err
	}
	if !c.awaiting {
		c.notReusable = true
		return 0, errSurplus
	}
	n, complete := c.answer.feed(input)
	if complete {
		c.awaiting, c.answeredAt = false, time.Now()
	}
	if n < len(input) {
		err = io.EOF
	}
	c.notReusable = c.notReusable || n < len(input) || c.answer.unknownEnd
	return n, err
}
