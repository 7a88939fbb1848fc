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
var betweenRequests = map[string]func(*intakes){
	"stop": func(in *intakes) { in.retire(false) },
	"room": func(in *intakes) { in.room() },
}

// Guards against ending a connection whose next request's bytes have left the system, but were not seen yet.
func TestARequestOnItsWayFromTheSystemIsAnswered(t *testing.T) {
	for name, end := range betweenRequests {
		for _, served := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				at := newConnPausePoints()
				in := newIntakes(t, 1, at.wrap)
				conn := in.dial(t)
				r := bufio.NewReader(conn)
				if served {
					ask(t, conn, r, "first")
					in.idles(t, 1)
				}
				at.read.arm()
				io.WriteString(conn, message7("second"))
				<-at.read.reached
				end(in)
				close(at.read.release)
				wantStatus(t, "answer", r, http.StatusAccepted)
				want(t, "taken on", in.took("second"), 1)
			})
		}
	}
}

// Guards against ending a connection whose next request was read in part behind the one before: by the server's watch for
// the client's leaving, which reads one byte, or with the same read.
func TestARequestReadAheadInPartIsAnswered(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 40} {
		for name, withFirst := range map[string]bool{"while the first is served": false, "in one read with the first": true} {
			t.Run(name, func(t *testing.T) {
				at := newConnPausePoints()
				in := newIntakes(t, 1, at.wrap)
				in.hold = make(chan struct{})
				conn := in.dial(t)
				text := message7("second")
				if withFirst {
					io.WriteString(conn, message7("first")+text[:n])
					<-in.came
				} else {
					io.WriteString(conn, message7("first"))
					<-in.came
					at.read.arm()
					io.WriteString(conn, text[:n])
					<-at.read.reached
					close(at.read.release)
				}
				close(in.hold)
				r := bufio.NewReader(conn)
				wantStatus(t, "answer to the first", r, http.StatusAccepted)
				in.idles(t, 1)
				in.retire(false)
				io.WriteString(conn, text[n:])
				wantStatus(t, "answer to the second", r, http.StatusAccepted)
				want(t, "taken on", in.took("second"), 1)
			})
		}
	}
}

// Guards against taking the byte that the server reads while it watches for the client's leaving for one of the request
// under way: the answer goes out behind it.
func TestAByteReadDuringARequestIsOfTheNext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newPeers(l, 8)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := p.Accept()
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
	p.note(conn, http.StateActive)
	conn.(*peer).enter()
	read(1, 1)
	io.WriteString(conn, "answer")
	p.note(conn, http.StateIdle)
	p.retire(false)
	read(4095, 9)
	want(t, "connections left", p.retire(false), 1)
	want(t, "ended", conn.(*peer).left, false)
}

// Guards against ending a connection whose next request was read whole behind the one before, at the instant at which no
// handler has it yet.
func TestARequestReadAheadWholeIsAnswered(t *testing.T) {
	for name, end := range betweenRequests {
		t.Run(name, func(t *testing.T) {
			at := newConnPausePoints()
			in := newIntakes(t, 1, at.wrap)
			in.hold = make(chan struct{})
			conn := in.dial(t)
			io.WriteString(conn, message7("first")+message7("second"))
			<-in.came
			at.dispatched.arm() // for the second
			close(in.hold)
			<-at.dispatched.reached
			end(in)
			close(at.dispatched.release)
			r := bufio.NewReader(conn)
			wantStatus(t, "answer to the first", r, http.StatusAccepted)
			wantStatus(t, "answer to the second", r, http.StatusAccepted)
			want(t, "taken on", in.took("second"), 1)
		})
	}
}

// Guards against connections that stay because they were once held to have begun a request: each ends as it rests again.
func TestAConnectionThatStayedEndsAsItRests(t *testing.T) {
	in := newIntakes(t, 1)
	conn := in.dial(t)
	r := bufio.NewReader(conn)
	for _, id := range []string{"first", "second"} {
		io.WriteString(conn, message7(id)[:20])
		in.waitForRequest(t)
		in.retire(false)
		io.WriteString(conn, message7(id)[20:])
		wantStatus(t, "answer", r, http.StatusAccepted)
		in.idles(t, 1)
	}
	in.retire(false)
	wantEOF(t, "connection", r)
}

// Guards against ending a connection with its last answer over the request behind that one, of which a byte was read.
func TestARequestBehindTheLastAnswerIsRefused(t *testing.T) {
	at := newConnPausePoints()
	in := newIntakes(t, 8, at.wrap)
	in.hold = make(chan struct{})
	conn := in.dial(t)
	io.WriteString(conn, strings.Replace(message7("first"), "Host: x", "Host: x\r\nConnection: close", 1))
	<-in.came
	at.read.arm()
	io.WriteString(conn, message7("behind"))
	<-at.read.reached
	close(in.hold)
	close(at.read.release)
	r := bufio.NewReader(conn)
	wantStatus(t, "answer to the first", r, http.StatusAccepted)
	wantStatus(t, "answer to the one behind", r, http.StatusServiceUnavailable)
	wantEOF(t, "connection", r)
	want(t, "taken on", in.took("behind"), 0)
}

// Guards against ending a connection with its last answer over requests that came with the same read: two or three at once, a
// part of one, and behind one whose body comes later than its head.
func TestARequestInTheReadOfTheLastOneIsRefused(t *testing.T) {
	last := func(id string) string {
		return strings.Replace(message7(id), "Host: x", "Host: x\r\nConnection: close", 1)
	}
	for name, writes := range map[string][]string{
		"whole":                       {last("last") + message7("behind")},
		"part of it":                  {last("last") + message7("behind")[:3]},
		"behind an earlier one":       {message7("first") + last("last") + message7("behind")},
		"behind one in parts":         {last("last")[:10], last("last")[10:60], last("last")[60:] + message7("behind")},
		"behind a body by itself":     {last("last")[:len(last("last"))-5], "hello" + message7("behind")},
		"after one that came alone":   {message7("first"), last("last") + message7("behind")},
		"behind one begun by another": {message7("first") + last("last")[:7], last("last")[7:] + message7("behind")},
	} {
		t.Run(name, func(t *testing.T) {
			in := newIntakes(t, 8)
			conn := in.dial(t)
			r := bufio.NewReader(conn)
			for i, text := range writes {
				if i > 0 && strings.HasPrefix(writes[0], message7("first")) {
					in.idles(t, 1)
				} else if i > 0 {
					in.waitForRequest(t)
				}
				io.WriteString(conn, text)
			}
			for range strings.Count(strings.Join(writes, ""), "hello") - strings.Count(strings.Join(writes, ""), "X-Request-Id: behind") {
				wantStatus(t, "answer", r, http.StatusAccepted)
			}
			wantStatus(t, "answer to the one behind", r, http.StatusServiceUnavailable)
			wantEOF(t, "connection", r)
			want(t, "taken on", in.took("behind"), 0)
		})
	}
}

// Guards against a refusal that answers nothing: what was read ahead of an earlier request was served since.
func TestTheLastAnswerStandsAlone(t *testing.T) {
	last := strings.Replace(message7("last"), "Host: x", "Host: x\r\nConnection: close", 1)
	for name, writes := range map[string][]string{
		"one request":             {last},
		"three in one read":       {message7("a") + message7("b") + last},
		"one after the other":     {message7("a"), message7("b"), last},
		"a part read ahead":       {message7("a") + last[:9], last[9:]},
		"without spaces":          {strings.ReplaceAll(last, ": ", ":")},
		"a longer target, a body": {strings.Replace(last, "/api", "/api?x=1", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			in := newIntakes(t, 8)
			conn := in.dial(t)
			r := bufio.NewReader(conn)
			for i, text := range writes {
				if i > 0 {
					in.idles(t, 1)
				}
				io.WriteString(conn, text)
			}
			for range strings.Count(strings.Join(writes, ""), "hello") {
				wantStatus(t, "answer", r, http.StatusAccepted)
			}
			wantEOF(t, "connection", r)
		})
	}
}
