package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/choice"
)

// These tests cover a fault that showed in TestResponseHeadSizeIsBounded (327 of 14,400 calls, with eight of its
// processes on less than three cores). A call is sent in two writes, header and body, and an endpoint may answer
// between them, once it has the header. If its answer could not be parsed, the connection was closed, the second write
// failed with "use of closed network connection", and the relay treated the call as never sent, which allows a repeat.
// All of 248 traced failures had this form: 160 bytes written, bytes of the answer read, last write failed.

// countingConn counts the writes of a connection, and can block all but the first one until the connection is closed.
type countingConn struct {
	net.Conn
	count            *atomic.Int32
	blocksAfterFirst bool
	once             sync.Once
	closed           chan struct{}
}

func (c *countingConn) Write(p []byte) (int, error) {
	if c.count.Add(1) > 1 && c.blocksAfterFirst {
		<-c.closed
	}
	return c.Conn.Write(p)
}

func (c *countingConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { close(c.closed) })
	return err
}

// countWrites puts a countingConn under each connection that a relay makes to an endpoint.
func countWrites(relay *Relay, blockAfterFirst bool) (count *atomic.Int32) {
	count = new(atomic.Int32)
	dial := relay.hostTransport.Load().DialContext
	relay.hostTransport.Load().DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		host := conn.(*hostConn)
		host.Conn = &countingConn{Conn: host.Conn, count: count, blocksAfterFirst: blockAfterFirst, closed: make(chan struct{})}
		return host, nil
	}
	return count
}

// Guards against a call that counts as never sent although its endpoint has started to answer: the answer cannot be
// parsed, the last byte of the call cannot be written any more, and a message that must not run twice would be sent
// again.
func TestCallWithStartedAnswerMayHaveRun(t *testing.T) {
	for _, status := range []int{200, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			addr := newRawHost(t, func(conn net.Conn) {
				http.ReadRequest(bufio.NewReader(conn))
				fmt.Fprintf(conn, "HTTP/1.1 %d what\r\nX-Pad: %s\r\n\r\n", status, strings.Repeat("p", 64<<10))
			})
			relay := newCallingRelay()
			countWrites(relay, true)
			expected := choice.Reset
			if status == http.StatusOK {
				expected = choice.Served // the status line counts for a single message
			}
			large := string(bytes.Repeat([]byte("x"), maxBodyBytes)) // needs several writes
			want(t, "outcome", callOutcome(relay, context.Background(), newSingleCall(addr, large)), expected)
		})
	}
}

// Guards against a call that counts as possibly run although its connection broke without any answer before its last
// byte was written: it would not be repeated.
func TestUnansweredCallThatBreaksNeverRan(t *testing.T) {
	addr := newRawHost(t, func(conn net.Conn) {
		io.CopyN(io.Discard, conn, 100)
		time.Sleep(10 * time.Millisecond) // the rest of the first write has arrived, so that closing the connection over it resets the connection
	})
	r := newCallingRelay()
	countWrites(r, true)
	want(t, "outcome", callOutcome(r, context.Background(), newSingleCall(addr, strings.Repeat("x", maxBodyBytes))), choice.NoConnection)
}
