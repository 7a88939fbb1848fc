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

// How a client sends a request on a connection, and how it handles the end of the connection.

// clientConn is a connection of a client to a relay.
type clientConn struct {
	*link.Conn
	in   *bufio.Reader
	used bool
	// halfClosed is set once the client has closed its sending side.
	halfClosed bool
	watch      *readWatch // watches the requests that were sent last
}

// Reasons why a client has no answer.
const (
	noConnection   = "no connection"
	abandonedEarly = "early"
	noAnswer       = "no answer in time"
	connEnded      = "connection ended"
)

// request returns the encoded request for a message; a retryMark is sent as X-Retry unless empty.
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

// try submits a message once. It returns status 0 and the reason if there is no answer. If the relay closes the connection and
// may not have read the request, the request is sent once more on a new connection; a relay that has certainly read it must
// answer.
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

// recordAnswer records an answer and returns the wait that it advises, or 0.
func (c *Clients) recordAnswer(id, relay string, conn *clientConn, resp *http.Response) (retryAfter time.Duration) {
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	retryAfter = time.Duration(seconds * float64(time.Second))
	c.Record(history.Event{At: c.Clock.Now(), Kind: history.AnswerReceived, Relay: relay, ID: id, Status: resp.StatusCode, WaitMs: retryAfter.Milliseconds(),
		CompleteAt: conn.watch.writtenAt.Load()})
	return retryAfter
}

// send writes requests, and sets the deadline of reading their answers.
func (c *clientConn) send(requests []byte, deadline time.Time) {
	c.SetReadDeadline(deadline)
	c.watch = c.sendWatched(requests)
}

// readAnswer reads the next answer with its body.
func (c *clientConn) readAnswer() (*http.Response, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp, err
}

// giveUp aborts a connection on which an answer is missing. It returns the reason, and whether the unanswered requests may be
// sent again on another connection because they are not known to have been read.
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

// readWatch detects whether the relay reads a request while the client waits for the answer.
type readWatch struct {
	read      atomic.Bool
	writtenAt atomic.Int64 // when the last byte was written to the relay, microseconds of the run's clock; 0 if not known yet
	stopped   chan struct{}
	stopOnce  sync.Once
}

// Polling of a readWatch: frequent at first, because most requests are answered immediately, then slower after fastPolls polls.
const (
	firstPollAfter   = 200 * time.Microsecond
	pollInterval     = time.Millisecond
	fastPolls        = 50
	slowPollInterval = 5 * time.Millisecond
)

// sendWatched sends a request and starts polling whether the relay has read it.
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

// poll polls until the request is known to have been read, or the watch is stopped.
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

// stop ends the watch and reports whether the request is known to have been read.
func (w *readWatch) stop() bool {
	w.stopOnce.Do(func() { close(w.stopped) })
	return w.read.Load()
}
