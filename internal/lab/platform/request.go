package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// How a client hands in one request on a connection, and what it makes of the connection's end.

// clientConn is a connection of a client to a relay.
type clientConn struct {
	*link.Conn
	in   *bufio.Reader
	used bool
}

// The ways in which a client leaves without an answer.
const (
	noConnection = "no connection"
	leftEarly    = "early"
	noAnswer     = "no answer in time"
	connEnded    = "connection ended"
)

// request is a message's request as it is written.
func (m *message) request(id, mark string, left time.Duration) []byte {
	var head strings.Builder
	fmt.Fprintf(&head, "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\nX-Addressing: dest=%d\r\n", id, m.class.Name, m.tenant, left.Milliseconds(), len(m.body), m.dest)
	if m.key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", m.key)
	}
	if mark != "" {
		fmt.Fprintf(&head, "X-Retry: %s\r\n", mark)
	}
	return append([]byte(head.String()+"\r\n"), m.body...)
}

// try hands a message in once. Status 0 is no answer. A request that the relay may not have read when it ended the connection
// is written once more on a new one; one that it had surely read is owed an answer.
func (c *Clients) try(m *message, id, relay, addr, mark string, left time.Duration) (status int, after time.Duration, how string) {
	request := m.request(id, mark, left)
	key := fmt.Sprint(m.client, " ", relay)
	end := time.Now().Add(patience)
	if m.early {
		end = time.Now().Add(earlyAfter)
	}
	for again := false; ; again = true {
		conn, err := c.connect(m.client, key, relay, addr, end, again)
		if err != nil {
			return 0, 0, noConnection
		}
		resp, read, err := conn.exchange(request, end)
		if err != nil {
			late, broken, kept := !time.Now().Before(end), conn.Broken(), conn.used
			conn.Abort()
			switch {
			case late && m.early:
				return 0, 0, leftEarly
			case late:
				return 0, 0, noAnswer
			case read && !broken:
				return 0, 0, history.Unanswered
			case again || broken && !kept:
				return 0, 0, connEnded
			}
			continue
		}
		heard := c.Clock.Now()
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		after = time.Duration(s * float64(time.Second))
		c.Record(history.Event{T: heard, Kind: history.Heard, Relay: relay, ID: id, Status: resp.StatusCode, Wait: after.Milliseconds()})
		conn.used = true
		if resp.Close {
			conn.Close()
		} else {
			c.keep(key, conn)
		}
		return resp.StatusCode, after, ""
	}
}

// exchange writes a request and reads its answer until a time. Read tells whether the relay had surely read the request
// before the connection ended.
func (c *clientConn) exchange(request []byte, end time.Time) (resp *http.Response, read bool, err error) {
	c.SetReadDeadline(end)
	defer c.SetReadDeadline(time.Time{})
	watch := c.watchRead(request)
	resp, err = http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	read = watch.stop()
	if err != nil && !read {
		read = c.PeerClosedAfterReading()
	}
	return resp, read, err
}

// readWatch finds out whether the relay reads a request while its client waits for the answer.
type readWatch struct {
	read atomic.Bool
	over chan struct{}
}

// The times at which a watch looks: often at first, for most requests are answered at once.
const (
	lookFirst = 200 * time.Microsecond
	lookEvery = time.Millisecond
	lookOften = 50
	lookLater = 5 * time.Millisecond
)

// watchRead writes a request and begins to look whether the relay has read it.
func (c *clientConn) watchRead(request []byte) *readWatch {
	w := &readWatch{over: make(chan struct{})}
	c.Send(request, func(_ int64, ok bool) {
		if ok {
			go w.look(c.PeerHasRead)
		}
	})
	return w
}

// look looks until the request is known to be read, or the watch is over.
func (w *readWatch) look(hasRead func() bool) {
	for n, wait := 0, lookFirst; ; n++ {
		select {
		case <-w.over:
			return
		case <-time.After(wait):
		}
		select {
		case <-w.over:
			return
		default:
		}
		if hasRead() {
			w.read.Store(true)
			return
		}
		if wait = lookEvery; n > lookOften {
			wait = lookLater
		}
	}
}

// stop ends the watch, and tells what it found.
func (w *readWatch) stop() bool {
	close(w.over)
	return w.read.Load()
}

// connect takes a kept connection, or opens one.
func (c *Clients) connect(client int, key, relay, addr string, end time.Time, fresh bool) (*clientConn, error) {
	for !fresh {
		c.mu.Lock()
		kept := c.idle[key]
		if len(kept) == 0 {
			c.mu.Unlock()
			break
		}
		conn := kept[len(kept)-1]
		c.idle[key] = kept[:len(kept)-1]
		c.mu.Unlock()
		select {
		case <-conn.Gone():
			conn.Abort()
			continue
		default:
		}
		return conn, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
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

func (c *Clients) keep(key string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[key]) >= idleMost {
		conn.Close()
		return
	}
	c.idle[key] = append(c.idle[key], conn)
}

// Close ends the connections that are kept.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.idle {
		for _, conn := range kept {
			conn.Abort()
		}
	}
	c.idle = map[string][]*clientConn{}
}
