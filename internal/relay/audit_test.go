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

// audit watches the connections of a server from below: what it read, and has not answered as it ends its side, was lost.
// It is for clients that send one request at a time.
type audit struct {
	lost     atomic.Int32
	answers  atomic.Int32
	refusals atomic.Int32
}

type auditedListener struct {
	*net.TCPListener
	*audit
}

func (a *audit) wrap(l net.Listener) net.Listener { return &auditedListener{l.(*net.TCPListener), a} }

func (l *auditedListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &auditedConn{TCPConn: conn.(*net.TCPConn), audit: l.audit}, nil
}

type auditedConn struct {
	*net.TCPConn
	*audit
	mu    sync.Mutex
	owes  bool // bytes of a request were read, and nothing was written since
	ended bool
}

func (c *auditedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owes = c.owes || n > 0 && !c.ended
	return n, err
}

func (c *auditedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.owes = false
	c.mu.Unlock()
	return c.TCPConn.Write(p)
}

func (c *auditedConn) CloseWrite() error {
	c.end()
	return c.TCPConn.CloseWrite()
}

func (c *auditedConn) Close() error {
	c.end()
	return c.TCPConn.Close()
}

func (c *auditedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owes && !c.ended {
		c.lost.Add(1)
	}
	c.ended = true
}

// askUntilTheEnd sends one request after the other until its connection ends, a refusal being an end as well.
func (a *audit) askUntilTheEnd(t *testing.T, in *intakes, id string) {
	conn, err := net.Dial("tcp", in.Addr().String())
	if err != nil {
		return // the listener has closed
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		name := fmt.Sprint(id, "-", n)
		if _, err := io.WriteString(conn, message7(name)); err != nil {
			return
		}
		status, _, err := answered(r)
		switch {
		case err != nil:
			if in.took(name) != 0 {
				t.Errorf("%s got no answer, and was taken on", name)
			}
			return
		case status == http.StatusAccepted:
			a.answers.Add(1)
		case status == http.StatusServiceUnavailable:
			a.refusals.Add(1)
			if in.took(name) != 0 {
				t.Errorf("%s was refused, and taken on", name)
			}
			return
		}
	}
}

// Guards against any instant of a stop, or of a lack of places, at which a request that was read gets no answer, under more
// work than there are cores.
func TestNothingReadIsLostUnderLoad(t *testing.T) {
	var all sync.WaitGroup
	spin := make(chan struct{})
	for range 2 * runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for {
				select {
				case <-spin:
					return
				default:
				}
			}
		})
	}
	defer all.Wait()
	defer close(spin)
	a := &audit{}
	for round := range 20 {
		in := newIntakes(t, 24, a.wrap)
		var clients sync.WaitGroup
		for k := range 32 { // more than there are places
			clients.Go(func() { a.askUntilTheEnd(t, in, fmt.Sprint(round, "-", k)) })
		}
		for len(in.came) < 40 {
			time.Sleep(time.Millisecond)
		}
		for range 3 {
			in.retire(false)
		}
		in.answerUntil(time.Now().Add(10 * time.Second))
		in.empty(in.s)
		clients.Wait()
	}
	t.Logf("%d answered, %d refused", a.answers.Load(), a.refusals.Load())
	want(t, "requests read and lost", a.lost.Load(), 0)
}
