package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against closing a connection on which the next request has begun. net/http considers it idle until the whole
// request head has arrived, and its client would get no answer for a message that is then delivered.
func TestBegunRequestIsAnswered(t *testing.T) {
	server := newTestServer(t, 8)
	conn := server.dial(t)
	reader := bufio.NewReader(conn)
	mustSubmit(t, conn, reader, "first")
	server.awaitIdle(t, 1)
	text := apiRequestText("second")
	io.WriteString(conn, text[:20])
	for begun := false; !begun; { // until the bytes have been read
		server.eachConn(func(c *inboundConn) { begun = !c.requestStart.IsZero() })
	}
	want(t, "open connections", server.closeIdle(false), 1)
	io.WriteString(conn, text[20:])
	status, _, err := readResponse(reader)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "answer", status, http.StatusAccepted)
	server.awaitIdle(t, 1)
	server.closeIdle(false)
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("the idle connection ended with %v, want EOF", err)
	}
}

// Guards against serving a request that arrives after the close of its connection, and against a reset because of it,
// which could lose a response in transit.
func TestRequestAfterConnectionCloseIsIgnored(t *testing.T) {
	server := newTestServer(t, 8)
	conn := server.dial(t)
	reader := bufio.NewReader(conn)
	mustSubmit(t, conn, reader, "first")
	server.awaitIdle(t, 1)
	server.closeIdle(false)
	for i := range 3 { // all of it arrives after the close
		io.WriteString(conn, apiRequestText(fmt.Sprint("late", i)))
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("connection ended with %v, want EOF", err)
	}
	conn.(*net.TCPConn).CloseWrite()
	for server.connCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	want(t, "accepted messages", len(server.accepted), 1)
}

// Guards against closing a connection over unread bytes, which resets it and loses the response.
func TestResponseSurvivesUnreadInput(t *testing.T) {
	server := newTestServer(t, 8)
	for what, text := range map[string]string{
		"unsupported transfer encoding": "POST /api HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + strings.Repeat("x", 20000),
		"last request":                  "GET /none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + strings.Repeat("y", 20000),
		"not HTTP":                      "\x16\x03\x01 what\r\n\r\n" + strings.Repeat("z", 20000),
	} {
		t.Run(what, func(t *testing.T) {
			conn := server.dial(t)
			io.WriteString(conn, text)
			all, err := io.ReadAll(conn)
			if err != nil {
				t.Errorf("after %d bytes: %v", len(all), err)
			}
			if !strings.HasPrefix(string(all), "HTTP/1.1 4") {
				t.Errorf("response is %.40q", all)
			}
		})
	}
}

// Guards against descriptors that clients occupy forever by not closing their side.
func TestLingeringCloseIsBounded(t *testing.T) {
	server := newTestServer(t, 8)
	conn := server.dial(t)
	mustSubmit(t, conn, bufio.NewReader(conn), "first")
	server.awaitIdle(t, 1)
	server.closeIdle(false)
	for end := time.Now().Add(30 * time.Second); server.connCount() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is still open")
		}
	}
}

// Guards against any order of a request and the close of its connection in which the request gets no answer, or two,
// or is accepted although its client has to send it again. Both are started together, 2,400 times.
func TestRequestsRacingConnectionClose(t *testing.T) {
	server := newTestServer(t, 64)
	const rounds, clients = 300, 8
	for round := range rounds {
		var running sync.WaitGroup
		start := make(chan struct{})
		for client := range clients {
			conn := server.dial(t)
			reader := bufio.NewReader(conn)
			id := fmt.Sprintf("%d-%d", round, client)
			mustSubmit(t, conn, reader, id+"-first")
			running.Go(func() {
				<-start
				unanswered := func() bool { // the request was sent, and no response arrived
					if _, err := io.WriteString(conn, apiRequestText(id)); err != nil {
						return true
					}
					status, _, err := readResponse(reader)
					if err == nil && status != http.StatusAccepted {
						t.Errorf("status of %s is %d", id, status)
					}
					if err != nil && err != io.EOF && !errors.Is(err, syscall.ECONNRESET) && err != io.ErrUnexpectedEOF {
						t.Errorf("%s: %v", id, err)
					}
					return err != nil
				}()
				if unanswered {
					if n := server.acceptedCount(id); n != 0 {
						t.Errorf("%s got no response but was accepted %d times", id, n)
					}
				} else if n := server.acceptedCount(id); n != 1 {
					t.Errorf("%s got a response and was accepted %d times, want 1", id, n)
				}
				conn.Close()
			})
		}
		running.Go(func() {
			<-start
			for range 3 {
				server.closeIdle(false)
			}
		})
		close(start)
		running.Wait()
		if t.Failed() {
			return
		}
	}
}

// exhaustedListener is a listener without descriptors for a while: connections wait in its queue.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
	queue    []net.Conn
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if len(l.queue) == 0 {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.queue = append(l.queue, c)
	}
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	return c, nil
}

// Guards against a relay without descriptors that waits for its clients to disconnect, instead of closing idle
// connections.
func TestDescriptorShortageClosesIdleConnections(t *testing.T) {
	exhausted := &exhaustedListener{}
	server := newTestServer(t, 64, func(l net.Listener) net.Listener { exhausted.Listener = l; return exhausted })
	var conns []net.Conn
	for i := range 24 {
		conns = append(conns, server.dial(t))
		mustSubmit(t, conns[i], bufio.NewReader(conns[i]), fmt.Sprint(i))
	}
	server.awaitIdle(t, 24)
	exhausted.failures.Store(2)
	conn := server.dial(t)
	mustSubmit(t, conn, bufio.NewReader(conn), "one more")
	server.awaitIdle(t, 24-shortageReduction)
	want(t, "limit of connections", func() int {
		server.limitListener.mu.Lock()
		defer server.limitListener.mu.Unlock()
		return server.limit
	}(), 24-shortageReduction)
}

// Guards against a false lack of space: a connection that was closed just after its request's head was read looks
// active to the server for a moment, and makeSpace may find no other connection to close.
func TestMakeSpaceWithClosedConnectionsMarkedActive(t *testing.T) {
	limited := newLimitListener(nil, 8)
	for range limited.maxLingering() + 1 {
		near, _ := net.Pipe()
		c := &inboundConn{Conn: near, listener: limited, locallyClosed: true}
		limited.open[c] = struct{}{}
		limited.lingering++
		limited.setConnState(c, http.StateActive)
	}
	want(t, "room", limited.makeSpace(), true)
	want(t, "lingering connections", limited.lingering, limited.maxLingering())
}
