package relay

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// readCountingListener counts the reads of the connections that it accepts.
type readCountingListener struct {
	net.Listener
	reads atomic.Int64
}

func (l *readCountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readCountingConn{conn, l}, nil
}

// readCountingConn is a connection of a readCountingListener.
type readCountingConn struct {
	net.Conn
	listener *readCountingListener
}

func (c *readCountingConn) Read(p []byte) (int, error) {
	c.listener.reads.Add(1)
	return c.Conn.Read(p)
}

func (c *readCountingConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// Guards against a crowd whose rejected requests take the processor from others, because what follows each of them is read
// and discarded byte by byte: net/http reads a single byte while it detects that a client disconnects.
func TestInputAfterCloseIsDiscardedInFewReads(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &readCountingListener{Listener: tcpListener}
	limited := newLimitListener(counting, 8)
	defer limited.Close()
	remote, err := net.Dial("tcp", tcpListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := accepted.(*inboundConn)
	limited.mu.Lock()
	conn.beginClose()
	limited.mu.Unlock()
	if _, err := remote.Write(shortFields(15000)); err != nil {
		t.Fatal(err)
	}
	remote.Close()
	n, err := conn.Read(make([]byte, 1))
	if n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v, want the end of the connection", n, err)
	}
	if reads := counting.reads.Load(); reads > 100 {
		t.Errorf("%d reads of a connection with 15 KB, want 100 at most", reads)
	}
}
