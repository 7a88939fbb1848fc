package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against closing a new connection without an answer to its request because every connection has a request in
// progress: the request is refused. The requests in progress keep their responses.
func TestFullServerRefusesRequests(t *testing.T) {
	server := newTestServer(t, 2)
	server.responseGate = make(chan struct{})
	var readers []*bufio.Reader
	for i := range 2 {
		conn := server.dial(t)
		io.WriteString(conn, apiRequestText(fmt.Sprint(i)))
		<-server.arrived
		readers = append(readers, bufio.NewReader(conn))
	}
	for i := range 20 { // more than may wait for the remote side
		conn := server.dial(t)
		io.WriteString(conn, apiRequestText(fmt.Sprint("more", i)))
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response to request %d: %v", i, err)
		}
		want(t, "answer", resp.StatusCode, http.StatusServiceUnavailable)
		want(t, "Retry-After", resp.Header.Get("Retry-After"), "1")
		wantEOF(t, "connection", reader)
	}
	close(server.responseGate)
	for _, reader := range readers {
		wantStatus(t, "response to a request in progress", reader, http.StatusAccepted)
	}
	want(t, "accepted messages", len(server.accepted), 2)
}

// Guards against keeping a silent connection beyond the limit forever.
func TestSilentConnectionsBeyondLimitAreClosed(t *testing.T) {
	server := newTestServer(t, 1)
	server.responseGate = make(chan struct{})
	defer close(server.responseGate)
	io.WriteString(server.dial(t), apiRequestText("first"))
	<-server.arrived
	for range 20 {
		server.dial(t)
	}
	for end := time.Now().Add(30 * time.Second); server.connCount() > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want 1", server.connCount())
		}
	}
}

// Guards against closing a connection that waits for the remote side while there are unread bytes: the reset would
// destroy the response that its client has not read yet.
func TestResponseSurvivesDescriptorShortage(t *testing.T) {
	at := newConnPausePoints()
	server := newTestServer(t, 8, at.wrap)
	conn := server.dial(t)
	io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	for ended := false; !ended; { // until it is answered and closed by this side
		server.eachConn(func(c *inboundConn) { ended = c.locallyClosed })
	}
	at.read.arm()
	io.WriteString(conn, "x")
	<-at.read.reached
	io.WriteString(conn, "y") // nobody has read it when the connection has to close
	server.onDescriptorShortage(syscall.EMFILE)
	close(at.read.release)
	for server.connCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	reader := bufio.NewReader(conn)
	wantStatus(t, "answer", reader, http.StatusNotFound)
	wantEOF(t, "connection", reader)
	want(t, "socket error of the connection", socketError(t, conn), 0)
}

// socketError returns the error that the system has recorded for a connection: one that was reset has an error,
// although earlier data can still be read.
func socketError(t *testing.T, conn net.Conn) syscall.Errno {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var socketErrno int
	if controlErr := raw.Control(func(fd uintptr) {
		socketErrno, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	}); controlErr != nil {
		t.Fatal(controlErr)
	}
	if err != nil {
		t.Fatal(err)
	}
	return syscall.Errno(socketErrno)
}

// Guards against closing more connections than a shortage of descriptors requires, and against closing first those
// whose close began last.
func TestDescriptorShortageClosesLongestLingering(t *testing.T) {
	limited := newLimitListener(nil, 400)
	start := time.Now()
	for i := range 20 {
		near, _ := net.Pipe()
		c := &inboundConn{Conn: near, listener: limited, locallyClosed: true, submittedMessage: i < 10, stateSince: start.Add(time.Duration(i) * time.Second)}
		limited.open[c] = struct{}{}
		limited.lingering++
	}
	limited.onDescriptorShortage(syscall.EMFILE)
	var left []time.Duration
	for c := range limited.open {
		left = append(left, c.stateSince.Sub(start))
	}
	slices.Sort(left)
	want(t, "remaining lingering connections", len(left), 20-shortageReduction)
	want(t, "the longest lingering of them", left[0], shortageReduction*time.Second)
}

// Guards against an unlimited number of descriptors in connections that were forced to close.
func TestForcedClosesAreBounded(t *testing.T) {
	limited := newLimitListener(nil, 8)
	for i := range maxForcedCloses + 1 {
		near, far := net.Pipe()
		defer far.Close()
		c := &inboundConn{Conn: near, listener: limited, locallyClosed: true}
		limited.mu.Lock()
		limited.open[c] = struct{}{}
		limited.lingering++
		c.forceClose()
		limited.mu.Unlock()
		closed := near.SetReadDeadline(time.Time{}) != nil
		want(t, fmt.Sprint("closed at once, the ", i, "th"), closed, i >= maxForcedCloses)
	}
}

// Guards against a client that keeps a closing connection open by sending continuously.
func TestFinalReadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		var sender sync.WaitGroup
		defer sender.Wait()
		defer near.Close()
		sender.Go(func() {
			for {
				if _, err := far.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(firstReadTimeout / 2)
			}
		})
		start := time.Now()
		(&inboundConn{Conn: near}).drainInput()
		want(t, "reading stopped in time", time.Since(start) <= drainInputTimeout+firstReadTimeout, true)
	})
}
