package platform

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
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
	// halfClosed says that the client has ended its sending.
	halfClosed bool
	watch      *readWatch // of what was sent last
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
	end := time.Now().Add(patience)
	if m.early {
		end = time.Now().Add(earlyAfter)
	}
	for again := false; ; again = true {
		conn, err := c.connect(m.client, relay, addr, end, again)
		if err != nil {
			return 0, 0, noConnection
		}
		kept := conn.used
		conn.send(request, end)
		if m.halfClosed {
			conn.halfClosed = true
			conn.CloseWrite()
		}
		resp, err := conn.answer()
		if err != nil {
			how, anew := conn.ended(end)
			switch {
			case how == noAnswer && m.early:
				return 0, 0, leftEarly
			case anew && !again && !m.halfClosed && (kept || !conn.Broken()):
				continue
			}
			return 0, 0, how
		}
		after = c.heard(id, relay, conn, resp)
		c.keep(m.client, relay, conn, resp)
		return resp.StatusCode, after, ""
	}
}

// heard records an answer, and tells after which time it asks the client to come again.
func (c *Clients) heard(id, relay string, conn *clientConn, resp *http.Response) (after time.Duration) {
	s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	after = time.Duration(s * float64(time.Second))
	c.Record(history.Event{At: c.Clock.Now(), Kind: history.AnswerReceived, Relay: relay, ID: id, Status: resp.StatusCode, WaitMs: after.Milliseconds(),
		CompleteAt: conn.watch.written.Load()})
	return after
}

// send writes requests, and waits for their answers until a time.
func (c *clientConn) send(requests []byte, end time.Time) {
	c.SetReadDeadline(end)
	c.watch = c.watchRead(requests)
}

// answer reads the next answer.
func (c *clientConn) answer() (*http.Response, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp, err
}

// ended gives up a connection on which an answer is missing. It tells how the client leaves, and whether what was not answered
// may be written anew on another connection, because it is not known to have been read.
func (c *clientConn) ended(end time.Time) (how string, anew bool) {
	read := c.watch.stop() || c.PeerClosedAfterReading()
	late, broken := !time.Now().Before(end), c.Broken()
	c.Abort()
	switch {
	case late:
		return noAnswer, false
	case read && !broken:
		return history.Unanswered, false
	}
	return connEnded, true
}

// readWatch finds out whether the relay reads a request while its client waits for the answer.
type readWatch struct {
	read    atomic.Bool
	written atomic.Int64 // when the last byte was written at the front; 0 if that is not known yet
	over    chan struct{}
	once    sync.Once
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
	c.Send(request, func(at int64, ok bool) {
		if ok {
			w.written.Store(at)
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
	w.once.Do(func() { close(w.over) })
	return w.read.Load()
}
