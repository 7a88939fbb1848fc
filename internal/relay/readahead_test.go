package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// betweenRequests are the ways in which a server ends connections between requests.
var idleCloses = map[string]func(*testServer){
	"stop": func(in *testServer) { in.closeIdle(false) },
	"room": func(in *testServer) { in.makeSpace() },
}

// Guards against ending a connection whose next request's bytes have left the system, but were not seen yet.
func TestRequestInReturningReadIsAnswered(t *testing.T) {
	for name, closeConns := range idleCloses {
		for _, served := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				at := newInstants()
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
				want(t, "taken on", server.acceptedCount("second"), 1)
			})
		}
	}
}

// Guards against ending a connection whose next request was read in part behind the one before: by the server's watch for
// the client's leaving, which reads one byte, or with the same read.
func TestPartlyReadAheadRequestIsAnswered(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 40} {
		for name, withFirst := range map[string]bool{"while the first is served": false, "in one read with the first": true} {
			t.Run(name, func(t *testing.T) {
				at := newInstants()
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
				wantStatus(t, "answer to the first", reader, http.StatusAccepted)
				server.awaitIdle(t, 1)
				server.closeIdle(false)
				io.WriteString(conn, text[n:])
				wantStatus(t, "answer to the second", reader, http.StatusAccepted)
				want(t, "taken on", server.acceptedCount("second"), 1)
			})
		}
	}
}

// Guards against taking the byte that the server reads while it watches for the client's leaving for one of the request
// under way: the answer goes out behind it.
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
	want(t, "connections left", limited.closeIdle(false), 1)
	want(t, "ended", conn.(*inboundConn).locallyClosed, false)
}

// Guards against ending a connection whose next request was read whole behind the one before, at the instant at which no
// handler has it yet.
func TestFullyReadAheadRequestIsAnswered(t *testing.T) {
	for name, closeConns := range idleCloses {
		t.Run(name, func(t *testing.T) {
			at := newInstants()
			server := newTestServer(t, 1, at.wrap)
			server.responseGate = make(chan struct{})
			conn := server.dial(t)
			io.WriteString(conn, apiRequestText("first")+apiRequestText("second"))
			<-server.arrived
			at.dispatched.arm() // for the second
			close(server.responseGate)
			<-at.dispatched.reached
			closeConns(server)
			close(at.dispatched.release)
			reader := bufio.NewReader(conn)
			wantStatus(t, "answer to the first", reader, http.StatusAccepted)
			wantStatus(t, "answer to the second", reader, http.StatusAccepted)
			want(t, "taken on", server.acceptedCount("second"), 1)
		})
	}
}

// Guards against connections that stay because they were once held to have begun a request: each ends as it rests again.
func TestKeptConnectionClosesWhenIdle(t *testing.T) {
	server := newTestServer(t, 1)
	conn := server.dial(t)
	reader := bufio.NewReader(conn)
	for _, id := range []string{"first", "second"} {
		io.WriteString(conn, apiRequestText(id)[:20])
		server.begins(t)
		server.closeIdle(false)
		io.WriteString(conn, apiRequestText(id)[20:])
		wantStatus(t, "answer", reader, http.StatusAccepted)
		server.awaitIdle(t, 1)
	}
	server.closeIdle(false)
	wantEnd(t, "connection", reader)
}

// Guards against ending a connection with its last answer over the request behind that one, of which a byte was read.
func TestPipelinedRequestAfterLastResponseIsRefused(t *testing.T) {
	at := newInstants()
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
	wantStatus(t, "answer to the first", reader, http.StatusAccepted)
	wantStatus(t, "answer to the one behind", reader, http.StatusServiceUnavailable)
	wantEnd(t, "connection", reader)
	want(t, "taken on", server.acceptedCount("behind"), 0)
}

// Guards against ending a connection with its last answer over requests that came with the same read: two or three at once, a
// part of one, and behind one whose body comes later than its head.
func TestRequestReadWithLastOneIsRefused(t *testing.T) {
	last := func(id string) string {
		return strings.Replace(apiRequestText(id), "Host: x", "Host: x\r\nConnection: close", 1)
	}
	for name, writes := range map[string][]string{
		"whole":                       {last("last") + apiRequestText("behind")},
		"part of it":                  {last("last") + apiRequestText("behind")[:3]},
		"behind an earlier one":       {apiRequestText("first") + last("last") + apiRequestText("behind")},
		"behind one in parts":         {last("last")[:10], last("last")[10:60], last("last")[60:] + apiRequestText("behind")},
		"behind a body by itself":     {last("last")[:len(last("last"))-5], "hello" + apiRequestText("behind")},
		"after one that came alone":   {apiRequestText("first"), last("last") + apiRequestText("behind")},
		"behind one begun by another": {apiRequestText("first") + last("last")[:7], last("last")[7:] + apiRequestText("behind")},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, 8)
			conn := server.dial(t)
			reader := bufio.NewReader(conn)
			for i, text := range writes {
				if i > 0 && strings.HasPrefix(writes[0], apiRequestText("first")) {
					server.awaitIdle(t, 1)
				} else if i > 0 {
					server.begins(t)
				}
				io.WriteString(conn, text)
			}
			for range strings.Count(strings.Join(writes, ""), "hello") - strings.Count(strings.Join(writes, ""), "X-Request-Id: behind") {
				wantStatus(t, "answer", reader, http.StatusAccepted)
			}
			wantStatus(t, "answer to the one behind", reader, http.StatusServiceUnavailable)
			wantEnd(t, "connection", reader)
			want(t, "taken on", server.acceptedCount("behind"), 0)
		})
	}
}

// Guards against a refusal that answers nothing: what was read ahead of an earlier request was served since.
func TestNoRefusalFollowsLastResponse(t *testing.T) {
	last := strings.Replace(apiRequestText("last"), "Host: x", "Host: x\r\nConnection: close", 1)
	for name, writes := range map[string][]string{
		"one request":             {last},
		"three in one read":       {apiRequestText("a") + apiRequestText("b") + last},
		"one after the other":     {apiRequestText("a"), apiRequestText("b"), last},
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
			wantEnd(t, "connection", reader)
		})
	}
}
