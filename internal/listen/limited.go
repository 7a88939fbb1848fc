package listen

import (
	"net"
	"sync"
	"sync/atomic"
)

// Limited returns a listener that has at most a number of connections open. It closes each one beyond that at once.
func Limited(l net.Listener, maxConns int) net.Listener {
	return &limitedListener{Listener: l, maxConns: int64(maxConns)}
}

type limitedListener struct {
	net.Listener
	maxConns int64
	open     atomic.Int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxConns {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		conn.Close()
	}
}

// limitedConn is a connection that counts until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
