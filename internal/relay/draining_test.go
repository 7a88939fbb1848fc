package relay

import (
	"bufio"
	"fmt"
	"io"
	"larchrouter/internal/framing"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalledListener is a listener in a process that is not scheduled: once armed, it accepts nothing until its close is
// requested.
type stalledListener struct {
	*net.TCPListener
	stall          *pausePoint
	closeRequested chan struct{}
	once           sync.Once
}

func newStalledListener(listener net.Listener) *stalledListener {
	return &stalledListener{TCPListener: listener.(*net.TCPListener), stall: newPausePoint(), closeRequested: make(chan struct{})}
}

// Accept stalls after it has taken a connection from the queue.
func (l *stalledListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	l.stall.reach()
	return conn, err
}

func (l *stalledListener) SetDeadline(t time.Time) error {
	l.once.Do(func() { close(l.closeRequested) })
	return l.TCPListener.SetDeadline(t)
}

func (l *stalledListener) Close() error {
	defer l.once.Do(func() { close(l.closeRequested) })
	return l.TCPListener.Close()
}

// Guards against closing the listener while connections are in its queue, which resets them together with their
// requests. The process is not scheduled from before they connect until the listener has to close.
func TestQueuedConnectionsAreAnsweredOnDrain(t *testing.T) {
	calls := make(chan *receivedCall, 100)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	conf, err := readTestConfig(t, testConfig(t, p), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	stalled := newStalledListener(r.clientListener.Listener)
	r.clientListener.Listener = stalled
	stalled.stall.arm()
	ended := make(chan struct{})
	go func() { r.Serve(); close(ended) }()
	var conns []net.Conn
	for i := range 20 {
		conn, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(30 * time.Second))
		fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: m%d\r\nX-Class: status-update\r\nX-Deadline-Ms: 15000\r\n"+
			"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi", i)
		conns = append(conns, conn)
	}
	<-stalled.stall.reached
	go r.Drain()
	<-stalled.closeRequested
	close(stalled.stall.release)
	for i, conn := range conns {
		wantStatus(t, fmt.Sprint("response to m", i), bufio.NewReader(conn), http.StatusAccepted)
	}
	for range conns {
		receive(t, calls, "call").answer <- 200
	}
	<-ended
}

// Guards against a listener that stays open because new connections keep arriving.
func TestListenerClosesDespiteNewConnections(t *testing.T) {
	server := newTestServer(t, 64)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * slowAcceptMin):
			}
			if conn, err := net.Dial("tcp", server.Addr().String()); err == nil {
				conn.Close()
			}
		}
	})
	for end := time.Now().Add(30 * time.Second); !server.stopAccepting(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Error("the listener is still open")
			break
		}
	}
	close(stop)
	clients.Wait()
}

// runCloseAll runs a server on the fake clock whose only request is answered after responseTime, closes its
// connections, and returns how long that took and the status that the client read.
func runCloseAll(t *testing.T, responseTime, timeout time.Duration, clientCloses bool) (took time.Duration, status int) {
	pipe := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	limited := newLimitListener(pipe, 8)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", func(http.ResponseWriter, *http.Request) { time.Sleep(responseTime) })
	server := newHTTPServer(mux, framing.CheckLength, limited)
	server.WriteTimeout = time.Hour
	go server.Serve(limited)
	conn := pipe.dial()
	defer conn.Close()
	go func() {
		io.WriteString(conn, apiRequestText("slow"))
		status, _, _ = readResponse(bufio.NewReader(conn))
		if clientCloses {
			conn.Close()
		}
	}()
	synctest.Wait()
	start := time.Now()
	limited.setResponseDeadline(start.Add(timeout))
	limited.closeAll(server)
	took = time.Since(start)
	synctest.Wait()
	return took, status
}

// Guards against cutting off a response in progress when the process stops, although there is time left.
func TestResponsesInProgressSurviveClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const responseTime = 4 * closeAllTimeout
		defer time.Sleep(responseTime)
		took, status := runCloseAll(t, responseTime, 2*responseTime, true)
		want(t, "answer", status, http.StatusOK)
		want(t, "closed by its client before the timeout", took < responseTime+closeAllTimeout, true)
	})
}

// Guards against a stop that takes too long because of a response in progress, or of a client that does not close its
// side.
func TestCloseAllIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 4 * closeAllTimeout
		defer time.Sleep(time.Minute)
		took, status := runCloseAll(t, time.Minute, timeout, true)
		want(t, "answer", status, 0)
		want(t, "closed within the timeout", took <= timeout+10*time.Millisecond, true)
	})
	server := newTestServer(t, 8)
	conn := server.dial(t)
	mustSubmit(t, conn, bufio.NewReader(conn), "first")
	server.awaitIdle(t, 1)
	server.setResponseDeadline(time.Now().Add(time.Hour))
	server.closeAll(server.httpServer) // the client leaves its side open
}
