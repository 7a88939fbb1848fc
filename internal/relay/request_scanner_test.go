package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// scannedRequests are requests, each complete, with the number of lines before the empty one.
var scannedRequests = map[string]int{
	"GET /up HTTP/1.1\r\n\r\n":                                                          1,
	"GET /up HTTP/1.1\nHost: x\n\n":                                                     2,
	"POST /api HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello":                              2,
	"POST /api HTTP/1.1\r\ncontent-length:\t 5 \r\nX: y\r\n\r\nhello":                   3,
	"POST /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello":         3,
	"POST /api HTTP/1.1\r\nX: y\r\n Content-Length: 9\r\nContent-Length: 2\r\n\r\n\r\n": 4,
	"POST /api HTTP/1.1\r\nX-Content-Length: 9\r\nContent-Length: 4\r\n\r\n\r\n\r\n":    3,
	"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n":                                   2,
}

// Guards against passing on the end of one request together with the start of the next, wherever the bytes are split.
func TestScannerFindsEndOfRequests(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\n\r\n"
	for request, fields := range scannedRequests {
		for split := range len(request) {
			var s requestScanner
			want(t, fmt.Sprintf("bytes of the first part of %q", request[:split]), s.scan([]byte(request[:split])), split)
			want(t, fmt.Sprintf("bytes of the rest of %q", request[split:]), s.scan([]byte(request[split:]+next)), len(request)-split)
			want(t, fmt.Sprintf("%q is complete", request), s.complete, true)
			want(t, fmt.Sprintf("lines of %q", request), s.fields, fields)
			want(t, "bytes of the next request", s.scan([]byte(next)), len(next))
		}
	}
}

// Guards against taking what follows a request of uncertain length for the head of another one.
func TestScannerPassesOnWhatFollowsUncertainLength(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding: chunked", "Content-Length: x", "Content-Length: -1", "Content-Length: 99999999999999999999"} {
		var s requestScanner
		text := "POST /api HTTP/1.1\r\n" + field + "\r\n\r\n" + strings.Repeat("a:\r\n", 5000)
		want(t, "bytes passed on behind "+field, s.scan([]byte(text)), len(text))
		want(t, "fields", s.fields, 2)
		want(t, "oversized", s.oversized, false)
	}
}

// Guards against heads that net/http would use much memory for.
func TestScannerLimitsHeads(t *testing.T) {
	head := func(fields int, value string) string {
		return "GET / HTTP/1.1\r\n" + strings.Repeat("a:"+value+"\r\n", fields-1)
	}
	for text, oversized := range map[string]bool{
		head(maxHeadFields, ""):             false,
		head(maxHeadFields+1, ""):           true,
		head(2, strings.Repeat("x", 15000)): false,
		head(2, strings.Repeat("x", 17000)): true,
		strings.Repeat("x", maxHeadBytes+1): true,
		head(2, "") + "Content-Length: " + strings.Repeat("0", maxLengthBytes) + "\r\n": true,
	} {
		var s requestScanner
		s.scan([]byte(text))
		want(t, fmt.Sprintf("oversized %.30q of %d bytes", text, len(text)), s.oversized, oversized)
	}
}

// Guards against incomplete requests that keep a client's large message from being accepted though they have had their
// time, and against refusing it together with them.
func TestOldIncompleteRequestsMakeSpaceForNewOne(t *testing.T) {
	p := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
	r := startRelay(t, p, nil)
	r.clientListener.setMemoryLimit(2 * maxBodyBytes)
	var stalled []net.Conn
	for i := range 2 {
		conn := dialOrFail(t, r.Addr())
		io.WriteString(conn, messageHead(i, maxBodyBytes)+"\r\n"+strings.Repeat("x", 100))
		stalled = append(stalled, conn)
	}
	awaitReserved(t, r.clientListener, 2)
	time.Sleep(partialRequestGrace)
	request := messageHead(9, 60000) + "\r\n" + strings.Repeat("x", 60000)
	want(t, "answer to a complete message", statusOf(t, r.Addr(), request), http.StatusAccepted)
	refused := 0
	for _, conn := range stalled {
		status := make([]byte, len("HTTP/1.1 503"))
		if _, err := io.ReadFull(conn, status); err != nil && err != io.EOF {
			t.Fatal(err)
		}
		if string(status) == "HTTP/1.1 503" { // the other one ends once it is past its time
			refused++
		}
	}
	want(t, "incomplete requests that were refused", refused, 1)
}

// awaitReserved waits until a number of connections use memory that counts towards the limit.
func awaitReserved(t *testing.T, l *limitListener, conns int) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		reserving := 0
		for c := range l.open {
			if c.reserved > 0 {
				reserving++
			}
		}
		l.mu.Unlock()
		if reserving == conns {
			return
		}
	}
	t.Fatalf("not %d connections use memory within 30 s", conns)
}

// Guards against memory that stays reserved after its request has ended.
func TestMemoryOfEndedRequestsIsReleased(t *testing.T) {
	p := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
	r := startRelay(t, p, nil)
	r.clientListener.setMemoryLimit(4 * maxBodyBytes)
	for i := range 20 {
		conn := dialOrFail(t, r.Addr())
		request := messageHead(i, 60000) + "\r\n" + strings.Repeat("x", 60000)
		if i%2 == 0 {
			request = request[:len(request)/2] // and leaves
		}
		io.WriteString(conn, request)
		if i%2 == 1 {
			io.ReadFull(conn, make([]byte, len("HTTP/1.1 202")))
		}
		conn.Close()
	}
	awaitReserved(t, r.clientListener, 0)
	r.clientListener.mu.Lock()
	defer r.clientListener.mu.Unlock()
	want(t, "bytes reserved", r.clientListener.reserved, 0)
}
