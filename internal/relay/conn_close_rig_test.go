package relay

import (
	"bufio"
	"io"
	"larchrouter/internal/framing"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// testServer is the server for clients on a real address, with a handler that counts the accepted messages.
type testServer struct {
	*limitListener
	httpServer   *http.Server
	mu           sync.Mutex
	accepted     map[string]int
	responseGate chan struct{} // if not nil, responses wait for it
	arrived      chan string
}

func newTestServer(t *testing.T, limit int, wrap ...func(net.Listener) net.Listener) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range wrap {
		listener = f(listener)
	}
	server := &testServer{limitListener: newLimitListener(listener, limit), accepted: map[string]int{}, arrived: make(chan string, 1<<16)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Request-Id")
		io.Copy(io.Discard, req.Body)
		server.mu.Lock()
		server.accepted[id]++
		server.mu.Unlock()
		server.arrived <- id
		if server.responseGate != nil {
			<-server.responseGate
		}
		markSubmitter(req)
		w.WriteHeader(http.StatusAccepted)
	})
	server.httpServer = newHTTPServer(closeAfterUnknown(mux), framing.CheckLength, server.limitListener)
	go server.httpServer.Serve(server.limitListener)
	t.Cleanup(func() { server.httpServer.Close() })
	return server
}

func (s *testServer) acceptedCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted[id]
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	t.Cleanup(func() { conn.Close() })
	return conn
}

func apiRequestText(id string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nContent-Length: 5\r\n\r\nhello"
}

// readResponse reads one response and returns its status and whether it closes the connection, or how the connection
// ended.
func readResponse(reader *bufio.Reader) (int, bool, error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

func mustSubmit(t *testing.T, conn net.Conn, reader *bufio.Reader, id string) {
	t.Helper()
	if _, err := io.WriteString(conn, apiRequestText(id)); err != nil {
		t.Fatal(err)
	}
	status, _, err := readResponse(reader)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "response to "+id, status, http.StatusAccepted)
}

// awaitIdle waits until the server considers count connections idle.
func (s *testServer) awaitIdle(t *testing.T, count int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		idle := 0
		s.eachConn(func(c *inboundConn) {
			if c.served && !c.active && !c.locallyClosed {
				idle++
			}
		})
		if idle == count {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are idle, want %d", idle, count)
		}
	}
}

func (s *testServer) eachConn(do func(*inboundConn)) {
	s.limitListener.mu.Lock()
	defer s.limitListener.mu.Unlock()
	for c := range s.open {
		do(c)
	}
}

// wantRejected sends text on a new connection and wants one error in answer, then the end of the connection.
func wantRejected(t *testing.T, addr, name, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	io.WriteString(conn, text)
	reader := bufio.NewReader(conn)
	status, _, err := readResponse(reader)
	if _, more := reader.ReadByte(); err != nil || status < 400 || more != io.EOF {
		t.Errorf("%s: status %d, %v, then %v, want an error and the end of the connection", name, status, err, more)
	}
}
