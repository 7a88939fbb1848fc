package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// connAudit observes the connections of a server below the relay's code, and counts as lost each request that was
// read but not answered when the server closed its side. It requires clients that send one request at a time.
type connAudit struct {
	lost     atomic.Int32
	answers  atomic.Int32
	refusals atomic.Int32
}

type auditedListener struct {
	*net.TCPListener
	*connAudit
}

func (a *connAudit) wrap(l net.Listener) net.Listener {
	return &auditedListener{l.(*net.TCPListener), a}
}

func (l *auditedListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &auditedConn{TCPConn: conn.(*net.TCPConn), connAudit: l.connAudit}, nil
}

type auditedConn struct {
	*net.TCPConn
	*connAudit
	mu          sync.Mutex
	unanswered  bool // bytes of a request were read, and nothing has been written since
	writeClosed bool
}

func (c *auditedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = c.unanswered || n > 0 && !c.writeClosed
	return n, err
}

func (c *auditedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = false
	c.mu.Unlock()
	return c.TCPConn.Write(p)
}

func (c *auditedConn) CloseWrite() error {
	c.noteClose()
	return c.TCPConn.CloseWrite()
}

func (c *auditedConn) Close() error {
	c.noteClose()
	return c.TCPConn.Close()
}

func (c *auditedConn) noteClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered && !c.writeClosed {
		c.lost.Add(1)
	}
	c.writeClosed = true
}

// submitUntilClosed submits one message after the other until its connection is closed or a request is refused.
func (a *connAudit) submitUntilClosed(t *testing.T, server *testServer, prefix string) {
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		return // the listener has closed
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		id := fmt.Sprint(prefix, "-", n)
		if _, err := io.WriteString(conn, apiRequestText(id)); err != nil {
			return
		}
		status, _, err := readResponse(reader)
		switch {
		case err != nil:
			if server.acceptedCount(id) != 0 {
				t.Errorf("%s got no response but was accepted", id)
			}
			return
		case status == http.StatusAccepted:
			a.answers.Add(1)
		case status == http.StatusServiceUnavailable:
			a.refusals.Add(1)
			if server.acceptedCount(id) != 0 {
				t.Errorf("%s was refused but accepted", id)
			}
			return
		}
	}
}

// Guards against any point during a stop, or during a shortage of connections, at which a request that was read gets
// no answer. More goroutines are busy than there are cores.
func TestEveryReadRequestIsAnsweredUnderLoad(t *testing.T) {
	var spinners sync.WaitGroup
	stopSpinning := make(chan struct{})
	for range 2 * runtime.GOMAXPROCS(0) {
		spinners.Go(func() {
			for {
				select {
				case <-stopSpinning:
					return
				default:
				}
			}
		})
	}
	defer spinners.Wait()
	defer close(stopSpinning)
	audit := &connAudit{}
	for round := range 20 {
		server := newTestServer(t, 24, audit.wrap)
		var clients sync.WaitGroup
		for client := range 32 { // more than the limit of connections
			clients.Go(func() { audit.submitUntilClosed(t, server, fmt.Sprint(round, "-", client)) })
		}
		for len(server.arrived) < 40 {
			time.Sleep(time.Millisecond)
		}
		for range 3 {
			server.closeIdle(false)
		}
		server.setResponseDeadline(time.Now().Add(10 * time.Second))
		server.closeAll(server.httpServer)
		clients.Wait()
	}
	t.Logf("%d accepted, %d refused", audit.answers.Load(), audit.refusals.Load())
	want(t, "requests read but not answered", audit.lost.Load(), 0)
}
