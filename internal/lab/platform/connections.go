package platform

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// The connections that a client keeps.

// connect takes a kept connection, or opens one.
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
		case <-conn.Gone():
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

// hasKept tells whether a client has a connection to a relay that it can use.
func (c *Clients) hasIdleConn(client int, relay string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle[connKey(client, relay)], func(conn *clientConn) bool {
		select {
		case <-conn.Gone():
			return false
		default:
			return true
		}
	})
}

// connKey names the connections of a client to a relay.
func connKey(client int, relay string) string { return fmt.Sprint(client, " ", relay) }

// keep keeps a connection after an answer, unless one side has said that it ends it.
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

// Close ends the connections that are kept.
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
