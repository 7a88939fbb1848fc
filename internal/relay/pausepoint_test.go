package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pausePoint blocks the goroutine that reaches a point in the program until the test releases it. It blocks only once,
// and only if it is armed.
type pausePoint struct {
	armed   chan struct{}
	reached chan struct{}
	release chan struct{}
}

func newPausePoint() *pausePoint {
	return &pausePoint{armed: make(chan struct{}, 1), reached: make(chan struct{}), release: make(chan struct{})}
}

func (i *pausePoint) arm() { i.armed <- struct{}{} }

func (i *pausePoint) reach() {
	select {
	case <-i.armed:
		close(i.reached)
		<-i.release
	default:
	}
}

// connPausePoints are the points at which a test can block the connections of a server.
type connPausePoints struct {
	read       *pausePoint // bytes were received from the system, and not returned yet
	dispatched *pausePoint // the whole header was read, and no handler runs yet
	written    *pausePoint // an answer is about to be written
}

func newConnPausePoints() *connPausePoints {
	return &connPausePoints{newPausePoint(), newPausePoint(), newPausePoint()}
}

// wrap adds the points to the connections of a listener.
func (at *connPausePoints) wrap(l net.Listener) net.Listener {
	return &pausingListener{l.(*net.TCPListener), at}
}

type pausingListener struct {
	*net.TCPListener
	points *connPausePoints
}

func (l *pausingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{conn.(*net.TCPConn), l.points}, nil
}

type pausingConn struct {
	*net.TCPConn
	points *connPausePoints
}

func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.points.read.reach()
	}
	return n, err
}

func (c *pausingConn) Write(p []byte) (int, error) {
	c.points.written.reach()
	return c.TCPConn.Write(p)
}

// SetWriteDeadline is the last call of net/http after it has read the header of a request.
func (c *pausingConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() {
		c.points.dispatched.reach()
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// wantStatus reads an answer, and checks its status.
func wantStatus(t *testing.T, what string, reader *bufio.Reader, status int) {
	t.Helper()
	got, _, err := readResponse(reader)
	if err != nil {
		t.Fatalf("%s: %v, want an answer", what, err)
	}
	want(t, what, got, status)
}

// wantEOF checks that a connection ends without an error.
func wantEOF(t *testing.T, what string, reader *bufio.Reader) {
	t.Helper()
	if b, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("%s: read %q and %v, want EOF", what, b, err)
	}
}

// Guards against closing a connection whose request was read completely but has no handler yet: the request is refused
// and not accepted, and data behind it is ignored.
func TestUndispatchedRequestIsRefused(t *testing.T) {
	for name, end := range map[string]func(*testServer){
		"stop": func(in *testServer) { in.closeIdle(true) },
		"room": func(in *testServer) { in.makeSpace() },
	} {
		for first, behind := range map[string]string{"new connection": "", "second request behind it": apiRequestText("behind")} {
			t.Run(name+", "+first, func(t *testing.T) {
				points := newConnPausePoints()
				in := newTestServer(t, 1, points.wrap)
				conn := in.dial(t)
				points.dispatched.arm()
				io.WriteString(conn, apiRequestText("whole")+behind)
				<-points.dispatched.reached
				end(in)
				close(points.dispatched.release)
				r := bufio.NewReader(conn)
				wantStatus(t, "answer", r, http.StatusServiceUnavailable)
				wantEOF(t, "connection", r)
				want(t, "accepted messages", in.acceptedCount("whole")+in.acceptedCount("behind"), 0)
			})
		}
	}
}

// Guards against closing a connection without an answer whose request was received in part: its client may have written
// all of it.
func TestPartlyReadRequestIsRefused(t *testing.T) {
	in := newTestServer(t, 8)
	conn := in.dial(t)
	text := apiRequestText("part")
	io.WriteString(conn, text[:30])
	in.waitForRequest(t)
	in.closeIdle(true)
	io.WriteString(conn, text[30:])
	r := bufio.NewReader(conn)
	wantStatus(t, "answer", r, http.StatusServiceUnavailable)
	wantEOF(t, "connection", r)
	want(t, "accepted messages", in.acceptedCount("part"), 0)
}

// waitForRequest waits until the first bytes of a request have been received.
func (in *testServer) waitForRequest(t *testing.T) {
	t.Helper()
	for begun, end := false, time.Now().Add(30*time.Second); !begun; time.Sleep(time.Millisecond) {
		in.eachConn(func(c *inboundConn) { begun = begun || !c.requestStart.IsZero() })
		if time.Now().After(end) {
			t.Fatal("no request has started")
		}
	}
}

// Guards against failing a request, or closing its connection without an answer, if its last bytes were not read before
// its read deadline: the process may have got no CPU meanwhile. The request is refused, so that its client may send it
// again.
func TestRequestPastReadDeadlineIsRefused(t *testing.T) {
	for _, n := range []int{1, 30} {
		in := newTestServer(t, 8)
		conn := in.dial(t)
		io.WriteString(conn, apiRequestText("late")[:n])
		in.waitForRequest(t)
		in.eachConn(func(c *inboundConn) { c.Conn.SetReadDeadline(time.Unix(1, 0)) }) // like the deadline of net/http, long expired
		r := bufio.NewReader(conn)
		wantStatus(t, "answer", r, http.StatusServiceUnavailable)
		wantEOF(t, "connection", r)
	}
}

// Guards against cutting off a request in progress: while a handler has it, or while its answer is being written.
func TestRequestInProgressIsAnswered(t *testing.T) {
	for name, end := range map[string]func(*testServer){
		"stop": func(in *testServer) { in.closeIdle(true) },
		"room": func(in *testServer) { in.makeSpace() },
	} {
		t.Run(name, func(t *testing.T) {
			points := newConnPausePoints()
			in := newTestServer(t, 1, points.wrap)
			in.responseGate = make(chan struct{})
			conn := in.dial(t)
			io.WriteString(conn, apiRequestText("slow"))
			<-in.arrived
			end(in)
			points.written.arm()
			close(in.responseGate)
			<-points.written.reached
			end(in)
			close(points.written.release)
			wantStatus(t, "answer", bufio.NewReader(conn), http.StatusAccepted)
		})
	}
}
