package framing_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"larchrouter/internal/framing"
)

// exchange sends text on a new connection. It returns the status of the first answer, and the error of reading on behind it.
func exchange(t *testing.T, addr, text string) (status int, more error) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	io.WriteString(conn, text)
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, answer.Body)
	_, more = reader.ReadByte()
	return answer.StatusCode, more
}

// Guards against a call in the body of another one that a server of the fleet (a keeper, a replica) would act on.
func TestRequireClosesAfterUnclearEnd(t *testing.T) {
	served := make(chan string, 10)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { served <- req.URL.Path }))
	framing.Guard(server.Config, framing.Check, nil)
	server.Start()
	defer server.Close()
	const inner = "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{
		"POST /outer HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n35\r\n",
		"POST /outer HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"OPTIONS * HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n35\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /outer HTTP/1.5\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
	} {
		if status, more := exchange(t, server.Listener.Addr().String(), head+inner); status < 400 || more != io.EOF || len(served) > 0 {
			t.Errorf("%q: status %d, then %v, %d requests served, want an error, the end of the connection and none", head, status, more, len(served))
		}
	}
}
