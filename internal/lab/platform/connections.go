package platform

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Persistent connections of clients to relays.

// connect returns an idle connection of a client to a relay, or opens one if there is none or a fresh one is required.
func (c *Clients) connect(client int, relay, addr string, deadline time.Time, fresh bool) (*clientConn, error) {
	key := connKey(client, relay)
	for !fresh {
		c.mu.Lock()
		idle := c.idle[key]
		if len(idle) == 0 {
			c.mu.Unlock()
			break
		}
		conn := idle[len(idle)-1]
		c.idle[key] = idle[:len(idle)-1]
		c.mu.Unlock()
		select {
		case <-conn.PeerClosed():
			conn.Abort()
			continue
		default:
		}
		return conn, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	source := ""
	if c.ClientIP != nil {
		source = c.ClientIP(client)
	}
	conn, err := c.Net.Dial(ctx, fmt.Sprintf("client/%d", client), relay, source, addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// hasIdleConn reports whether a client has an idle connection to a relay that the relay has not closed.
func (c *Clients) hasIdleConn(client int, relay string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle[connKey(client, relay)], func(conn *clientConn) bool {
		select {
		case <-conn.PeerClosed():
			return false
		default:
			return true
		}
	})
}

// connKey returns the key of a client's connections to a relay.
func connKey(client int, relay string) string { return fmt.Sprint(client, " ", relay) }

// releaseConn stores a connection as idle after its last answer. It closes it if either side has announced the end of the
// connection, or if the client has maxIdleConns already.
func (c *Clients) releaseConn(client int, relay string, conn *clientConn, last *http.Response) {
	conn.watch.stop()
	conn.used = true
	conn.SetReadDeadline(time.Time{})
	key := connKey(client, relay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if last.Close || conn.halfClosed || len(c.idle[key]) >= maxIdleConns {
		conn.Close()
		return
	}
	c.idle[key] = append(c.idle[key], conn)
}

// Close aborts all idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, conn := range idle {
			conn.Abort()
		}
	}
	c.idle = map[string][]*clientConn{}
}
