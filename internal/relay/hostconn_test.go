package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/choice"
)

// newRawHost listens, serves each connection with a function until the test ends, and returns its address.
func newRawHost(tb testing.TB, serve func(net.Conn)) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// newScriptedAnswerHost starts a host that answers each connection's first request with a text, and then closes the
// connection or stays silent.
func newScriptedAnswerHost(t *testing.T, text string, closes bool) string {
	return newRawHost(t, func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		io.WriteString(conn, text)
		if !closes {
			io.Copy(io.Discard, conn)
		}
	})
}

// Guards against mishandling truncated answers: the status line counts for a single message, a call with several needs
// the whole answer, and no call waits for an answer longer than its time-out.
func TestTruncatedAnswers(t *testing.T) {
	for _, test := range []struct {
		text string
		ends bool
		ids  int
		want choice.Outcome
	}{
		{"HTTP/1.1 200 OK\r\n", false, 1, choice.Served},
		{"HTTP/1.1 200 OK\r\nContent-Le", true, 1, choice.Served},
		{"HTTP/1.1 200 OK\r\nno header\r\n\r\n", false, 1, choice.Served},
		{"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nhalf", false, 1, choice.Served},
		{"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nhalf", true, 1, choice.Served},
		{"HTTP/1.1 200", false, 1, choice.Timeout},
		{"HTTP/1.1 20", true, 1, choice.Reset},
		{"HTTP/1.1 500 Sorry\r\n", true, 1, choice.Reset},
		{"HTTP/1.1 503 Busy\r\nRetry-", false, 1, choice.Timeout},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\n", false, 1, choice.Refused},
		{strings.Repeat("HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", 2) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, 1, choice.Served},
		{strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 1000), false, 1, choice.Reset},
		{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\na ok\r\n", false, 2, choice.Timeout},
		{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\na ok\r\n", true, 2, choice.Reset},
		{"HTTP/1.1 200 OK\r\n", false, 2, choice.Timeout},
		{"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\na ok\r\nb ok\r\n", false, 2, choice.Served},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 12\r\n\r\nhalf", false, 2, choice.Refused},
	} {
		t.Run(fmt.Sprintf("%.60q closes %v, messages %d", test.text, test.ends, test.ids), func(t *testing.T) {
			t.Parallel()
			call := newSingleCall(newScriptedAnswerHost(t, test.text, test.ends), "x")
			if test.want == choice.Timeout {
				call.timeout = 2 * time.Second
			}
			if test.want != choice.Timeout { // with this time-out, an outcome that waits for more data than needed would never arrive
				call.timeout = time.Hour
			}
			got := make(chan []memberResult, 1)
			go func() {
				ends, _ := newCallingRelay().exchange(context.Background(), call, []string{"a", "b"}[:test.ids])
				got <- ends
			}()
			ends := receive(t, got, "outcome")
			want(t, "ends", len(ends), test.ids)
			want(t, "outcome", ends[0].outcome, test.want)
		})
	}
}

// Guards against taking a second answer to one call for the answer to the next.
func TestUnsolicitedAnswerClosesConnection(t *testing.T) {
	relaySide, hostSide := net.Pipe()
	defer hostSide.Close()
	conn := &hostConn{Conn: relaySide}
	request := newHostRequest([]byte("x"), func() {})
	request.unread.Read(make([]byte, 2))
	conn.writing.Store(request)
	go func() {
		hostSide.Read(make([]byte, 9))
		io.WriteString(hostSide, "HTTP/1.1 200 OK\r\n\r\n")
		io.WriteString(hostSide, "HTTP/1.1 200 OK\r\n\r\n")
	}()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 19)); n != 19 || err != nil {
		t.Fatal(n, err)
	}
	want(t, "delivered", request.delivered.Load(), true)
	conn.unanswered.CompareAndSwap(request, nil)
	if n, err := conn.Read(make([]byte, 19)); n != 0 || !errors.Is(err, errUnsolicited) {
		t.Errorf("read %d bytes of a second answer, error %v", n, err)
	}
}

// Guards against blaming an endpoint for a lack of descriptors: idle client connections are closed to free descriptors
// for its connection.
func TestDialWithoutDescriptors(t *testing.T) {
	in := newTestServer(t, 64)
	for i := range 16 {
		conn := in.dial(t)
		mustSubmit(t, conn, bufio.NewReader(conn), fmt.Sprint(i))
	}
	in.awaitIdle(t, 16)
	relay := &Relay{clientListener: in.limitListener}
	failures := 2
	dial := relay.retryDescriptorShortage(func(ctx context.Context, network, addr string) (net.Conn, error) {
		if failures--; failures >= 0 {
			return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
		}
		return &net.TCPConn{}, nil
	})
	if _, err := dial(context.Background(), "tcp", "x"); err != nil {
		t.Fatal(err)
	}
	in.awaitIdle(t, 16-shortageReduction-1)
}

// Guards against taking an endpoint for down because this machine could not make a connection for a moment
// (connect(2)), against taking an unreachable one for up, and against endless attempts.
func TestLocalDialErrorsAreRetried(t *testing.T) {
	for _, test := range []struct {
		err   error
		lasts time.Duration
		want  choice.Outcome
	}{
		{syscall.EADDRNOTAVAIL, 300 * time.Millisecond, choice.Served},
		{syscall.ENOBUFS, 300 * time.Millisecond, choice.Served},
		{syscall.ENETUNREACH, 300 * time.Millisecond, choice.Served},
		{syscall.ECONNABORTED, 300 * time.Millisecond, choice.Served},
		{syscall.EADDRNOTAVAIL, time.Hour, choice.NoConnection},
		{syscall.ECONNREFUSED, 300 * time.Millisecond, choice.NoConnection},
		{syscall.EHOSTUNREACH, 300 * time.Millisecond, choice.NoConnection},
		{syscall.ETIMEDOUT, 300 * time.Millisecond, choice.NoConnection},
	} {
		t.Run(fmt.Sprint(test.err, " for ", test.lasts), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer server.Close()
			relay := newCallingRelay()
			startedAt, dial := time.Now(), relay.hostTransport.Load().DialContext
			relay.hostTransport.Load().DialContext = retryLocalErrors(func(ctx context.Context, network, addr string) (net.Conn, error) {
				if time.Since(startedAt) < test.lasts {
					return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", test.err)}
				}
				return dial(ctx, network, addr)
			}, time.Second)
			want(t, "outcome", callOutcome(relay, context.Background(), newSingleCall(server.Listener.Addr().String(), "x")), test.want)
		})
	}
}

// brokenConn is a connection whose reads fail.
type brokenConn struct {
	net.Conn
	err error
}

func (b *brokenConn) Read([]byte) (int, error) {
	time.Sleep(20 * time.Millisecond) // the request has been written by then
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", b.err)}
}

// Guards against a call that counts as never sent because its connection broke (tcp(7)): its last byte was written, so
// it may have run.
func TestConnectionBreakDuringCallIsReset(t *testing.T) {
	for _, err := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		relay := newCallingRelay()
		dial := relay.hostTransport.Load().DialContext
		relay.hostTransport.Load().DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, dialErr := dial(ctx, network, addr)
			if dialErr != nil {
				return nil, dialErr
			}
			host := conn.(*hostConn)
			host.Conn = &brokenConn{host.Conn, err}
			return host, nil
		}
		want(t, err.Error(), callOutcome(relay, context.Background(), newSingleCall(server.Listener.Addr().String(), "x")), choice.Reset)
		server.Close()
	}
}

// Guards against shares of the descriptors that add up to more than there are, or that leave none for clients or
// endpoints.
func TestDescriptorShares(t *testing.T) {
	for _, sockets := range []int{16, 64, 128, 256, 512, 1024, 4096} {
		for _, workers := range []int{4, 27, 60} {
			for _, admin := range []string{"", "x"} {
				config := Config{Sockets: sockets, AdminAddr: admin}
				clients, idleHostConns := config.connectionLimits(workers)
				if clients < 2 || idleHostConns < 1 {
					t.Errorf("%d sockets: %d clients, %d idle host connections", sockets, clients, idleHostConns)
				}
				total := clients + max(2, clients/8) + idleHostConns + workers + reservedDescriptors
				if admin != "" {
					total += maxAdminConns + maxAdminConns/8
				}
				if total > sockets && sockets >= 256 {
					t.Errorf("%d sockets, %d workers, admin address %q: shares add up to %d", sockets, workers, admin, total)
				}
			}
		}
	}
}
