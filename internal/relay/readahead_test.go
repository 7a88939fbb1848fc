package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// idleCloses are the ways in which a server closes connections between requests.
var idleCloses = map[string]func(*testServer){
	"stop": func(in *testServer) { in.closeIdle(false) },
	"room": func(in *testServer) { in.makeSpace() },
}

// Guards against closing a connection whose next request has been copied out of the system while the Read has not
// returned yet.
func TestRequestInReturningReadIsAnswered(t *testing.T) {
	for name, closeConns := range idleCloses {
		for _, served := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				at := newConnPausePoints()
				server := newTestServer(t, 1, at.wrap)
				conn := server.dial(t)
				reader := bufio.NewReader(conn)
				if served {
					mustSubmit(t, conn, reader, "first")
					server.awaitIdle(t, 1)
				}
				at.read.arm()
				io.WriteString(conn, apiRequestText("second"))
				<-at.read.reached
				closeConns(server)
				close(at.read.release)
				wantStatus(t, "answer", reader, http.StatusAccepted)
				want(t, "times accepted", server.acceptedCount("second"), 1)
			})
		}
	}
}

// Guards against closing a connection whose next request was read in part behind the previous one: either as the one
// byte that the server reads to detect a disconnect, or by the same Read.
func TestPartlyReadAheadRequestIsAnswered(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 40} {
		for name, withFirst := range map[string]bool{"while the first is handled": false, "in one Read with the first": true} {
			t.Run(name, func(t *testing.T) {
				at := newConnPausePoints()
				server := newTestServer(t, 1, at.wrap)
				server.responseGate = make(chan struct{})
				conn := server.dial(t)
				text := apiRequestText("second")
				if withFirst {
					io.WriteString(conn, apiRequestText("first")+text[:n])
					<-server.arrived
				} else {
					io.WriteString(conn, apiRequestText("first"))
					<-server.arrived
					at.read.arm()
					io.WriteString(conn, text[:n])
					<-at.read.reached
					close(at.read.release)
				}
				close(server.responseGate)
				reader := bufio.NewReader(conn)
				wantStatus(t, "response to the first", reader, http.StatusAccepted)
				server.awaitIdle(t, 1)
				server.closeIdle(false)
				io.WriteString(conn, text[n:])
				wantStatus(t, "response to the second", reader, http.StatusAccepted)
				want(t, "times accepted", server.acceptedCount("second"), 1)
			})
		}
	}
}

// Guards against attributing the byte that the server reads to detect a disconnect to the current request, whose
// response is written after it.
func TestByteReadDuringRequestBelongsToNext(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcpListener.Close()
	limited := newLimitListener(tcpListener, 8)
	client, err := net.Dial("tcp", tcpListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	read := func(size, n int) { // as net/http does
		t.Helper()
		io.WriteString(client, strings.Repeat("x", n))
		got, err := io.ReadAtLeast(conn, make([]byte, size), n)
		if got != n || err != nil {
			t.Fatalf("read %d bytes, %v, want %d", got, err, n)
		}
	}
	read(4096, 10)
	limited.setConnState(conn, http.StateActive)
	conn.(*inboundConn).beginHandling()
	read(1, 1)
	io.WriteString(conn, "answer")
	limited.setConnState(conn, http.StateIdle)
	limited.closeIdle(false)
	read(4095, 9)
	want(t, "open connections", limited.closeIdle(false), 1)
	want(t, "ended", conn.(*inboundConn).locallyClosed, false)
}

// Guards against closing a connection whose next request was read completely behind the previous one, while no
// handler has it yet.
func TestFullyReadAheadRequestIsAnswered(t *testing.T) {
	for name, closeConns := range idleCloses {
		t.Run(name, func(t *testing.T) {
			at := newConnPausePoints()
			server := newTestServer(t, 1, at.wrap)
			server.responseGate = make(chan struct{})
			conn := server.dial(t)
			io.WriteString(conn, apiRequestText("first")+apiRequestText("second"))
			<-server.arrived
			at.dispatched.arm() // for the second request
			close(server.responseGate)
			<-at.dispatched.reached
			closeConns(server)
			close(at.dispatched.release)
			reader := bufio.NewReader(conn)
			wantStatus(t, "response to the first", reader, http.StatusAccepted)
			wantStatus(t, "response to the second", reader, http.StatusAccepted)
			want(t, "times accepted", server.acceptedCount("second"), 1)
		})
	}
}

// Guards against connections that stay open forever because a close was once cancelled for a request: each has to
// close when it is idle again.
func TestKeptConnectionClosesWhenIdle(t *testing.T) {
	server := newTestServer(t, 1)
	conn := server.dial(t)
	reader := bufio.NewReader(conn)
	for _, id := range []string{"first", "second"} {
		io.WriteString(conn, apiRequestText(id)[:20])
		server.waitForRequest(t)
		server.closeIdle(false)
		io.WriteString(conn, apiRequestText(id)[20:])
		wantStatus(t, "answer", reader, http.StatusAccepted)
		server.awaitIdle(t, 1)
	}
	server.closeIdle(false)
	wantEOF(t, "connection", reader)
}

// Guards against closing a connection after its last response although a byte of a pipelined request was read.
func TestPipelinedRequestAfterLastResponseIsRefused(t *testing.T) {
	at := newConnPausePoints()
	server := newTestServer(t, 8, at.wrap)
	server.responseGate = make(chan struct{})
	conn := server.dial(t)
	io.WriteString(conn, strings.Replace(apiRequestText("first"), "Host: x", "Host: x\r\nConnection: close", 1))
	<-server.arrived
	at.read.arm()
	io.WriteString(conn, apiRequestText("behind"))
	<-at.read.reached
	close(server.responseGate)
	close(at.read.release)
	reader := bufio.NewReader(conn)
	wantStatus(t, "response to the first", reader, http.StatusAccepted)
	wantStatus(t, "response to the pipelined request", reader, http.StatusServiceUnavailable)
	wantEOF(t, "connection", reader)
	want(t, "times accepted", server.acceptedCount("behind"), 0)
}

// Guards against closing a connection after its last response although more requests were read together with the last
// one: two or three at once, a part of one, and one behind a request whose body arrives later than its head.
func TestRequestReadWithLastOneIsRefused(t *testing.T) {
	last := func(id string) string {
		return strings.Replace(apiRequestText(id), "Host: x", "Host: x\r\nConnection: close", 1)
	}
	for name, writes := range map[string][]string{
		"whole":                     {last("last") + apiRequestText("behind")},
		"a part":                    {last("last") + apiRequestText("behind")[:3]},
		"after two requests":        {apiRequestText("first") + last("last") + apiRequestText("behind")},
		"behind a request in parts": {last("last")[:10], last("last")[10:60], last("last")[60:] + apiRequestText("behind")},
		"behind a separate body":    {last("last")[:len(last("last"))-5], "hello" + apiRequestText("behind")},
		"after a separate request":  {apiRequestText("first"), last("last") + apiRequestText("behind")},
		"behind a request begun by the previous read": {apiRequestText("first") + last("last")[:7], last("last")[7:] + apiRequestText("behind")},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, 8)
			conn := server.dial(t)
			reader := bufio.NewReader(conn)
			for i, text := range writes {
				if i > 0 && strings.HasPrefix(writes[0], apiRequestText("first")) {
					server.awaitIdle(t, 1)
				} else if i > 0 {
					server.waitForRequest(t)
				}
				io.WriteString(conn, text)
			}
			for range strings.Count(strings.Join(writes, ""), "hello") - strings.Count(strings.Join(writes, ""), "X-Request-Id: behind") {
				wantStatus(t, "answer", reader, http.StatusAccepted)
			}
			wantStatus(t, "response to the pipelined request", reader, http.StatusServiceUnavailable)
			wantEOF(t, "connection", reader)
			want(t, "times accepted", server.acceptedCount("behind"), 0)
		})
	}
}

// Guards against a refusal without a request: input that was read ahead during an earlier request has been served
// since.
func TestNoRefusalFollowsLastResponse(t *testing.T) {
	last := strings.Replace(apiRequestText("last"), "Host: x", "Host: x\r\nConnection: close", 1)
	for name, writes := range map[string][]string{
		"one request":             {last},
		"three in one Read":       {apiRequestText("a") + apiRequestText("b") + last},
		"one by one":              {apiRequestText("a"), apiRequestText("b"), last},
		"a part read ahead":       {apiRequestText("a") + last[:9], last[9:]},
		"without spaces":          {strings.ReplaceAll(last, ": ", ":")},
		"a longer target, a body": {strings.Replace(last, "/api", "/api?x=1", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, 8)
			conn := server.dial(t)
			reader := bufio.NewReader(conn)
			for i, text := range writes {
				if i > 0 {
					server.awaitIdle(t, 1)
				}
				io.WriteString(conn, text)
			}
			for range strings.Count(strings.Join(writes, ""), "hello") {
				wantStatus(t, "answer", reader, http.StatusAccepted)
			}
			wantEOF(t, "connection", reader)
		})
	}
}

// Guards against closing a connection for space over a request that has arrived, because the goroutine that reads it did
// not run before the time for its first Read was over.
func TestArrivedRequestIsReadThoughItsReaderIsLate(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	limited := newLimitListener(inner, 1)
	client := dialOrFail(t, inner.Addr().String())
	accepted, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := accepted.(*inboundConn)
	defer conn.Conn.Close()
	buf := make([]byte, 4096)
	conn.beforeRead(len(buf))
	limited.mu.Lock()
	conn.requestClose(closedForSpace)
	limited.mu.Unlock()
	io.WriteString(client, apiRequestText("late"))
	time.Sleep(5 * firstReadTimeout)
	n, readErr := conn.Conn.Read(buf) // as the reader does once it runs
	if netErr, ok := readErr.(net.Error); !ok || !netErr.Timeout() {
		t.Fatalf("read %d bytes with %v, want a time-out", n, readErr)
	}
	_, action := conn.afterRead(buf, n, readErr)
	want(t, "action", action, discardRead)
	want(t, "closed", conn.locallyClosed, false)
	n, err = conn.Read(buf)
	want(t, "bytes of the request", n, len(apiRequestText("late")))
	want(t, "error", err, nil)
}
