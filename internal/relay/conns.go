package relay

import (
	"bytes"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// before the last flush, and that of RoundTrip only with the answer.
type hostConn struct {
	net.Conn
	sending atomic.Pointer[onceBody] // of the request that is being written
}

func (c *hostConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	// All that was read of the body before a write is in that write or an earlier one.
	if b := c.sending.Load(); err == nil && b != nil && b.handed.Load() && c.sending.CompareAndSwap(b, nil) {
		b.written.Store(true)
		b.whole()
	}
	return n, err
}

// onceBody is a request body that net/http cannot rewind. It guards against
// the library's own resends: a request that bears an Idempotency-Key is sent
// again after a broken connection if its body is empty or has GetBody.
type onceBody struct {
	rest    *bytes.Reader
	handed  atomic.Bool // the library has read it to its end
	written atomic.Bool // and has written all of the request
	whole   func()      // called then
}

func newOnceBody(body []byte, whole func()) *onceBody {
	b := &onceBody{rest: bytes.NewReader(body), whole: whole}
	b.handed.Store(len(body) == 0)
	return b
}

func (b *onceBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if b.rest.Len() == 0 {
		b.handed.Store(true)
	}
	return n, err
}

func (b *onceBody) Close() error { return nil }

// dialer opens connections, from an address of this machine if one is given: partners that know relays by their
// address can tell them apart on a machine that has several.
func dialer(source net.IP, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if source == nil {
		return d
	}
	d.LocalAddr = &net.TCPAddr{IP: source}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		// The port is chosen as the connection is made, not before: else no two could share one, whoever they go to.
		var err error
		if cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipBindAddressNoPort, 1)
		}); cerr != nil {
			return cerr
		}
		return err
	}
	return d
}

// ipBindAddressNoPort is Linux's IP_BIND_ADDRESS_NO_PORT (ip(7)), which package syscall does not have.
const ipBindAddressNoPort = 24
