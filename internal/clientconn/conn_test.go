package clientconn

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
	"testing"
	"testing/synctest"
	"time"
)

// serveConns serves each connection to a new listener with a function until the test ends, and returns the address.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
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

// answerEach answers each request for /good by a good answer and what follows it, and every other by 500.
func answerEach(conn net.Conn, goodAnswer, surplus string) {
	for reader := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if req.URL.Path != "/good" {
			io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		io.WriteString(conn, goodAnswer+surplus)
	}
}

// Guards against a call of a Transport that takes the surplus of another call's answer for its own answer, or loses its
// own to it.
func TestSurplusIsNoAnswer(t *testing.T) {
	const calls, workers = 300, 3
	for surplusName, surplus := range map[string]string{"a second copy": answers[0], "a copy with a body": answers[3], "noise": "\x00\r\n\r\n", "a line end": "\r\n"} {
		for _, goodAnswer := range []string{answers[0], answers[3], answers[8]} {
			t.Run(fmt.Sprintf("%s after %.30q", surplusName, goodAnswer), func(t *testing.T) {
				t.Parallel()
				addr := serveConns(t, func(conn net.Conn) { answerEach(conn, goodAnswer, surplus) })
				client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: workers})}
				defer client.CloseIdleConnections()
				var wrong, lost atomic.Int64
				var running sync.WaitGroup
				for range workers {
					running.Go(func() {
						for i := range calls / workers {
							path := map[bool]string{true: "/good", false: "/bad"}[i%2 == 0]
							response, err := client.Post("http://"+addr+path, "text/plain", strings.NewReader("x"))
							switch good := err == nil && response.StatusCode/100 == 2; {
							case path == "/bad" && good:
								wrong.Add(1)
							case path == "/good" && !good:
								lost.Add(1)
							}
							if err == nil {
								io.Copy(io.Discard, response.Body)
								response.Body.Close()
							}
						}
					})
				}
				running.Wait()
				if wrong.Load() > 0 || lost.Load() > 0 {
					t.Errorf("of %d calls %d took a surplus for their answer, and %d lost their own", calls, wrong.Load(), lost.Load())
				}
			})
		}
	}
}

// Guards against a request on a connection with a surplus that nobody has read yet, or that the server has closed, and
// against connections that are not reused after answers without a surplus.
func TestStartRequestChecksForInput(t *testing.T) {
	for name, test := range map[string]struct {
		behind  string
		closes  bool
		refused bool
	}{"nothing": {}, "surplus": {behind: "x", refused: true}, "end of the connection": {closes: true, refused: true}} {
		t.Run(name, func(t *testing.T) {
			const pause = 10 * time.Millisecond
			followed := make(chan struct{})
			addr := serveConns(t, func(conn net.Conn) {
				conn.Read(make([]byte, 100))
				io.WriteString(conn, answers[0])
				time.Sleep(pause) // no Read of the client is waiting any more
				io.WriteString(conn, test.behind)
				if test.closes {
					conn.(*net.TCPConn).CloseWrite()
				}
				time.Sleep(pause)
				close(followed)
				conn.Read(make([]byte, 100))
			})
			dialed, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			conn := New(dialed, 0)
			defer conn.Close()
			if err := conn.StartRequest(); err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, "request")
			if answer, err := io.ReadAll(io.LimitReader(conn, int64(len(answers[0])))); string(answer) != answers[0] || err != nil {
				t.Fatalf("%q, %v", answer, err)
			}
			<-followed
			if err := conn.StartRequest(); errors.Is(err, errNotReusable) != test.refused {
				t.Errorf("error %v, want refused: %t", err, test.refused)
			}
		})
	}
}

// Guards against a Read that ignores its deadline or the end of the connection.
func TestReadEndsAtDeadlineAndEnd(t *testing.T) {
	addr := serveConns(t, func(conn net.Conn) { conn.Read(make([]byte, 1)) })
	dialed, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn := New(dialed, 0)
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 10)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("error %v, want a time-out", err)
	}
	conn.SetReadDeadline(time.Time{})
	conn.StartRequest()
	io.WriteString(conn, "x")
	if n, err := conn.Read(make([]byte, 10)); n != 0 || err != io.EOF {
		t.Errorf("%d, %v, want the end of the connection", n, err)
	}
}

// Guards against a request that starts before a surplus which the server sends separately, right behind its answer.
func TestRequestWaitsForSeparateSurplus(t *testing.T) {
	const settleTime, sentAfter = time.Millisecond, 500 * time.Microsecond
	synctest.Test(t, func(t *testing.T) {
		clientSide, serverSide := net.Pipe()
		defer serverSide.Close()
		conn := New(clientSide, settleTime)
		defer conn.Close()
		go func() {
			serverSide.Read(make([]byte, 100))
			io.WriteString(serverSide, answers[0])
			time.Sleep(sentAfter)
			io.WriteString(serverSide, answers[0])
		}()
		if err := conn.StartRequest(); err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "request")
		conn.Read(make([]byte, 100))
		go conn.Read(make([]byte, 100)) // as net/http does while a connection is idle
		if err := conn.StartRequest(); !errors.Is(err, errNotReusable) {
			t.Errorf("error %v, want %v", err, errNotReusable)
		}
	})
}
