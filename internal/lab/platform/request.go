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
	noConnection   = "no connection"
	abandonedEarly = "early"
	noAnswer       = "no answer in time"
	connEnded      = "connection ended"
)

// request is a message's request as it is written.
func (m *message) request(id, retryMark string, timeLeft time.Duration) []byte {
	var head strings.Builder
	fmt.Fprintf(&head, "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\nX-Addressing: dest=%d\r\n", id, m.class.Name, m.tenant, timeLeft.Milliseconds(), len(m.body), m.dest)
	if m.key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", m.key)
	}
	if retryMark != "" {
		fmt.Fprintf(&head, "X-Retry: %s\r\n", retryMark)
	}
	return append([]byte(head.String()+"\r\n"), m.body...)
}

// try hands a message in once. Status 0 is no answer. A request that the relay may not have read when it ended the connection
// is written once more on a new one; one that it had surely read is owed an answer.
func (c *Clients) try(m *message, id, relay, addr, retryMark string, timeLeft time.Duration) (status int, retryAfter time.Duration, outcome string) {
	request := m.request(id, retryMark, timeLeft)
	deadline := time.Now().Add(answerTimeout)
	if m.abandonsEarly {
		deadline = time.Now().Add(earlyAbandonAfter)
	}
	for resent := false; ; resent = true {
		conn, err := c.connect(m.client, relay, addr, deadline, resent)
		if err != nil {
			return 0, 0, noConnection
		}
		reused := conn.used
		conn.send(request, deadline)
		if m.halfClosed {
			conn.halfClosed = true
			conn.CloseWrite()
		}
		resp, err := conn.readAnswer()
		if err != nil {
			outcome, resend := conn.giveUp(deadline)
			switch {
			case outcome == noAnswer && m.abandonsEarly:
				return 0, 0, abandonedEarly
			case resend && !resent && !m.halfClosed && (reused || !conn.Broken()):
				continue
			}
			return 0, 0, outcome
		}
		retryAfter = c.recordAnswer(id, relay, conn, resp)
		c.releaseConn(m.client, relay, conn, resp)
		return resp.StatusCode, retryAfter, ""
	}
}

// heard records an answer, and tells after which time it asks the client to come again.
func (c *Clients) recordAnswer(id, relay string, conn *clientConn, resp *http.Response) (retryAfter time.Duration) {
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	retryAfter = time.Duration(seconds * float64(time.Second))
	c.Record(history.Event{T: c.Clock.Now(), Kind: history.Heard, Relay: relay, ID: id, Status: resp.StatusCode, Wait: retryAfter.Milliseconds(),
		Whole: conn.watch.writtenAt.Load()})
	return retryAfter
}

// send writes requests, and waits for their answers until a time.
func (c *clientConn) send(requests []byte, deadline time.Time) {
	c.SetReadDeadline(deadline)
	c.watch = c.sendWatched(requests)
}

// answer reads the next answer.
func (c *clientConn) readAnswer() (*http.Response, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp, err
}

// ended gives up a connection on which an answer is missing. It tells how the client leaves, and whether what was not answered
// may be written anew on another connection, because it is not known to have been read.
func (c *clientConn) giveUp(deadline time.Time) (outcome string, resend bool) {
	read := c.watch.stop() || c.PeerClosedAfterReading()
	late, broken := !time.Now().Before(deadline), c.Broken()
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
	read      atomic.Bool
	writtenAt atomic.Int64 // when the last byte was written at the front; 0 if that is not known yet
	stopped   chan struct{}
	stopOnce  sync.Once
}

// The times at which a watch looks: often at first, for most requests are answered at once.
const (
	firstPollAfter   = 200 * time.Microsecond
	pollInterval     = time.Millisecond
	fastPolls        = 50
	slowPollInterval = 5 * time.Millisecond
)

// watchRead writes a request and begins to look whether the relay has read it.
func (c *clientConn) sendWatched(request []byte) *readWatch {
	w := &readWatch{stopped: make(chan struct{})}
	c.Send(request, func(at int64, ok bool) {
		if ok {
			w.writtenAt.Store(at)
			go w.poll(c.PeerHasRead)
		}
	})
	return w
}

// look looks until the request is known to be read, or the watch is over.
func (w *readWatch) poll(hasRead func() bool) {
	for n, wait := 0, firstPollAfter; ; n++ {
		select {
		case <-w.stopped:
			return
		case <-time.After(wait):
		}
		select {
		case <-w.stopped:
			return
		default:
		}
		if hasRead() {
			w.read.Store(true)
			return
		}
		if wait = pollInterval; n > fastPolls {
			wait = slowPollInterval
		}
	}
}

// stop ends the watch, and tells what it found.
func (w *readWatch) stop() bool {
	w.stopOnce.Do(func() { close(w.stopped) })
	return w.read.Load()
}
