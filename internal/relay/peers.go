package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// peers bounds how many connections come in at once. A listener that stops accepting when
// it is full leaves everyone after that unanswered, clients among them, for as long as those
// who hold the places like. This one goes on accepting and closes the connection that has
// been longest without a request: first those that never handed in a message.
type peers struct {
	net.Listener
	most int

	mu   sync.Mutex
	open map[*peer]struct{}
}

// peer is one connection that came in. Its fields belong to the mutex of peers.
type peer struct {
	net.Conn
	all    *peers
	busy   bool // a request is being read or answered
	client bool // has handed in a message
	since  time.Time
}

func newPeers(l net.Listener, most int) *peers {
	return &peers{Listener: l, most: most, open: map[*peer]struct{}{}}
}

// count tells how many connections there are.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// allow sets how many there may be; those that are too many stay until they end.
func (p *peers) allow(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
}

// Accept makes room for the connection that it returns.
func (p *peers) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err != nil {
			return nil, err
		}
		out, ok := p.room()
		if out != nil {
			out.Close()
		}
		if !ok { // every place has a request under way
			conn.Close()
			continue
		}
		c := &peer{Conn: conn, all: p, since: time.Now()}
		p.mu.Lock()
		p.open[c] = struct{}{}
		p.mu.Unlock()
		return c, nil
	}
}

// room tells whether one more connection fits, and which one must go for it.
func (p *peers) room() (out *peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open) < p.most {
		return nil, true
	}
	for c := range p.open {
		if c.busy {
			continue
		}
		if out == nil || out.client && !c.client || out.client == c.client && c.since.Before(out.since) {
			out = c
		}
	}
	return out, out != nil
}

// Close frees the connection's place.
func (c *peer) Close() error {
	c.all.mu.Lock()
	delete(c.all.open, c)
	c.all.mu.Unlock()
	return c.Conn.Close()
}

// note follows the server's view of a connection.
func (p *peers) note(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*peer); ok {
		p.mu.Lock()
		c.busy, c.since = state == http.StateActive, time.Now()
		p.mu.Unlock()
	}
}

type peerKey struct{}

// withPeer lets a handler find the connection that its request came on.
func withPeer(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, peerKey{}, conn)
}

// isClient marks the connection of a request as that of one who hands in messages.
func isClient(req *http.Request) {
	if c, ok := req.Context().Value(peerKey{}).(*peer); ok {
		c.all.mu.Lock()
		c.client = true
		c.all.mu.Unlock()
	}
}
