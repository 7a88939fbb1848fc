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

// The story of these tests: TestVastAnswerIsBounded failed at times (327 of 14,400 calls with eight of its processes to a core
// less than three), because a call went out in two writes, head and body. An endpoint that answers once it has the head could
// be heard between them. If its answer could not be read, the connection was closed, the second write failed with "use of closed
// network connection", and the relay took the call for one that never went out, which may be made again. Each of 248 traced
// failures was of that form: 160 bytes written, answer bytes read, last write failed.

// writesCounted counts the writes of a connection, and can hold those after the first until the connection is closed.
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

// countWrites puts a writesCounted under each connection that a relay makes to an endpoint.
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

// Guards against a call that counts as never made though its endpoint has begun to answer it: the answer cannot be read, the
// call's last byte cannot be written any more, and a message that must not run twice would go out again.
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
				expected = choice.Served // its first line says so of a single message
			}
			large := string(bytes.Repeat([]byte("x"), maxBody)) // in several writes
			want(t, "outcome", callOutcome(relay, context.Background(), newSingleCall(addr, large)), expected)
		})
	}
}

// Guards against a call whose connection breaks with no word before its last byte is written, and that counts as one which may
// have run: then it would not be made again.
func TestUnansweredCallThatBreaksNeverRan(t *testing.T) {
	addr := newRawHost(t, func(conn net.Conn) {
		io.CopyN(io.Discard, conn, 100)
		time.Sleep(10 * time.Millisecond) // the rest of the first write has come: closed over it, the connection is reset
	})
	r := newCallingRelay()
	countWrites(r, true)
	want(t, "outcome", callOutcome(r, context.Background(), newSingleCall(addr, strings.Repeat("x", maxBody))), choice.NoConnection)
}
