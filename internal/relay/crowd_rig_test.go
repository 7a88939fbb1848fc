package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// crowd is many peers that each keep a connection open and do something on it. A peer whose connection ends connects
// again.
type crowd struct {
	addr        string
	behave      func(conn net.Conn, number int)
	stop        chan struct{}
	peers       sync.WaitGroup
	connections atomic.Int64
	answered    atomic.Int64 // connections on which an error arrived
	closed      atomic.Int64 // connections that ended without one
	left        atomic.Int64 // connections left without either for too long
}

// startCrowd starts a number of peers; behave writes what each connection sends, and returns when it has nothing more
// to write or the connection ends.
func startCrowd(addr string, count int, behave func(conn net.Conn, number int)) *crowd {
	c := &crowd{addr: addr, behave: behave, stop: make(chan struct{})}
	for range count {
		c.peers.Go(c.run)
	}
	return c
}

func (c *crowd) run() {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.connect(conn)
		select {
		case <-c.stop:
		case <-time.After(reconnectPause):
		}
	}
}

// connect runs one connection until the relay has answered or closed it.
func (c *crowd) connect(conn net.Conn) {
	defer conn.Close()
	number := int(c.connections.Add(1))
	connectedAt := time.Now()
	ended := make(chan struct{})
	conn.SetDeadline(connectedAt.Add(strangerTimeout + time.Second))
	go func() {
		defer close(ended)
		line := make([]byte, 16)
		n, err := io.ReadFull(conn, line)
		switch {
		case time.Since(connectedAt) > strangerTimeout:
			c.left.Add(1)
		case n >= len("HTTP/1.1 400"):
			c.answered.Add(1)
			io.Copy(io.Discard, conn)
		case err != nil:
			c.closed.Add(1)
		}
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.behave(conn, number)
	}()
	select {
	case <-ended:
	case <-c.stop:
	}
	conn.Close()
	<-ended
	<-written
}

// check stops the crowd, and fails the test if a peer was left without an error or a close for too long.
func (c *crowd) check(t *testing.T) {
	t.Helper()
	left := c.left.Load()
	close(c.stop)
	c.peers.Wait()
	t.Logf("crowd: %d connections, %d answered, %d closed, %d left", c.connections.Load(), c.answered.Load(), c.closed.Load(), left)
	if left > 0 {
		t.Errorf("%d peers got neither an error nor a close within %v", left, strangerTimeout)
	}
}
