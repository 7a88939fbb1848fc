package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// instant holds whoever comes to a point in the program until the test goes on. Only an armed one holds, and only once.
type instant struct {
	armed   chan struct{}
	reached chan struct{}
	release chan struct{}
}

func newInstant() *instant {
	return &instant{armed: make(chan struct{}, 1), reached: make(chan struct{}), release: make(chan struct{})}
}

func (i *instant) arm() { i.armed <- struct{}{} }

func (i *instant) pass() {
	select {
	case <-i.armed:
		close(i.reached)
		<-i.release
	default:
	}
}

// instants are the points at which a test holds the connections of a server.
type instants struct {
	read       *instant // bytes came from the system, and nobody has seen them yet
	dispatched *instant // the whole head was read, and no handler runs
	written    *instant // an answer goes out
}

func newInstants() *instants { return &instants{newInstant(), newInstant(), newInstant()} }

// wrap puts the points into the connections of a listener.
func (at *instants) wrap(l net.Listener) net.Listener { return &heldListener{l.(*net.TCPListener), at} }

type heldListener struct {
	*net.TCPListener
	at *instants
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{conn.(*net.TCPConn), l.at}, nil
}

type heldConn struct {
	*net.TCPConn
	at *instants
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.at.read.pass()
	}
	return n, err
}

func (c *heldConn) Write(p []byte) (int, error) {
	c.at.written.pass()
	return c.TCPConn.Write(p)
}

// SetWriteDeadline is what net/http does last when it has read the head of a request.
func (c *heldConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() {
		c.at.dispatched.pass()
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// wantStatus reads an answer.
func wantStatus(t *testing.T, what string, r *bufio.Reader, status int) {
	t.Helper()
	got, _, err := readResponse(r)
	if err != nil {
		t.Fatalf("%s: %v, want an answer", what, err)
	}
	want(t, what, got, status)
}

// wantEnd reads the end of a connection.
func wantEnd(t *testing.T, what string, r *bufio.Reader) {
	t.Helper()
	if b, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("%s: read %q and %v, want an end in order", what, b, err)
	}
}

// Guards against ending a connection whose request has been read whole, but which no handler has yet: it is refused, and
// not taken on; what was sent behind it is nobody's.
func TestARequestReadButNotDispatchedIsRefused(t *testing.T) {
	for name, end := range map[string]func(*testServer){
		"stop": func(in *testServer) { in.closeIdle(true) },
		"room": func(in *testServer) { in.makeSpace() },
	} {
		for first, behind := range map[string]string{"new connection": "", "one behind it": apiRequestText("behind")} {
			t.Run(name+", "+first, func(t *testing.T) {
				at := newInstants()
				in := newTestServer(t, 1, at.wrap)
				conn := in.dial(t)
				at.dispatched.arm()
				io.WriteString(conn, apiRequestText("whole")+behind)
				<-at.dispatched.reached
				end(in)
				close(at.dispatched.release)
				r := bufio.NewReader(conn)
				wantStatus(t, "answer", r, http.StatusServiceUnavailable)
				wantEnd(t, "connection", r)
				want(t, "taken on", in.acceptedCount("whole")+in.acceptedCount("behind"), 0)
			})
		}
	}
}

// Guards against ending a connection in silence whose request has come in part: its client may have written all of it.
func TestARequestReadInPartIsRefused(t *testing.T) {
	in := newTestServer(t, 8)
	conn := in.dial(t)
	text := apiRequestText("part")
	io.WriteString(conn, text[:30])
	in.begins(t)
	in.closeIdle(true)
	io.WriteString(conn, text[30:])
	r := bufio.NewReader(conn)
	wantStatus(t, "answer", r, http.StatusServiceUnavailable)
	wantEnd(t, "connection", r)
	want(t, "taken on", in.acceptedCount("part"), 0)
}

// begins waits until a request has begun.
func (in *testServer) begins(t *testing.T) {
	t.Helper()
	for begun, end := false, time.Now().Add(30*time.Second); !begun; time.Sleep(time.Millisecond) {
		in.eachConn(func(c *inboundConn) { begun = begun || !c.requestStart.IsZero() })
		if time.Now().After(end) {
			t.Fatal("no request has begun")
		}
	}
}

// Guards against failing a request, or ending it in silence, whose last bytes nobody read before its time was up: the
// process may have got no core meanwhile. It is refused, which lets its client hand it in again.
func TestARequestOutOfItsTimeIsRefused(t *testing.T) {
	for _, n := range []int{1, 30} {
		in := newTestServer(t, 8)
		conn := in.dial(t)
		io.WriteString(conn, apiRequestText("late")[:n])
		in.begins(t)
		in.eachConn(func(c *inboundConn) { c.Conn.SetReadDeadline(time.Unix(1, 0)) }) // as net/http's, long over
		r := bufio.NewReader(conn)
		wantStatus(t, "answer", r, http.StatusServiceUnavailable)
		wantEnd(t, "connection", r)
	}
}

// Guards against an end that cuts a request under way: while a handler has it, or as its answer is being written.
func TestARequestUnderWayIsAnswered(t *testing.T) {
	for name, end := range map[string]func(*testServer){
		"stop": func(in *testServer) { in.closeIdle(true) },
		"room": func(in *testServer) { in.makeSpace() },
	} {
		t.Run(name, func(t *testing.T) {
			at := newInstants()
			in := newTestServer(t, 1, at.wrap)
			in.responseGate = make(chan struct{})
			conn := in.dial(t)
			io.WriteString(conn, apiRequestText("slow"))
			<-in.arrived
			end(in)
			at.written.arm()
			close(in.responseGate)
			<-at.written.reached
			end(in)
			close(at.written.release)
			wantStatus(t, "answer", bufio.NewReader(conn), http.StatusAccepted)
		})
	}
}
