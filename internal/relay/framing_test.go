package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// framedRequest returns the text of a message with an HTTP version and the given header lines for its length.
func framedRequest(id, version, framing, body string) string {
	return "POST /api HTTP/" + version + "\r\nHost: api.internal\r\nX-Request-Id: " + id + "\r\nX-Class: payment\r\nX-Deadline-Ms: 9000\r\n" +
		"X-Addressing: dest=7\r\n" + framing + "\r\n" + body
}

// Guards against a message in the body of a request that is taken for a request of its own, because the sender and the
// relay see the end of the outer request in different places.
func TestTextInBodyIsNoRequest(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), nil)
	inner := framedRequest("inner", "1.1", "Content-Length: 0\r\n", "")
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	sizeLine := strings.Index(chunk, "\n") + 1
	for name, text := range map[string]string{
		"HTTP/1.0, chunked, length of a part": framedRequest("outer", "1.0", fmt.Sprintf("Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n", sizeLine), chunk),
		"HTTP/1.0, chunked":                   framedRequest("outer", "1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", chunk),
		"HTTP/1.0, no length":                 framedRequest("outer", "1.0", "Connection: keep-alive\r\n", inner),
		"HTTP/1.0, sound length":              framedRequest("outer", "1.0", "Connection: keep-alive\r\nContent-Length: 0\r\n", inner),
		"HTTP/1.2, chunked":                   framedRequest("outer", "1.2", "Transfer-Encoding: chunked\r\n", chunk),
		"HTTP/1.2, sound length":              framedRequest("outer", "1.2", "Content-Length: 0\r\n", inner),
		"HTTP/2.0":                            framedRequest("outer", "2.0", "Content-Length: 0\r\n", inner),
		"HTTP/2 preface":                      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + inner,
		"no version":                          "POST /api\r\n\r\n" + inner,
		"chunked":                             framedRequest("outer", "1.1", "Transfer-Encoding: chunked\r\n", chunk),
		"chunked and a length":                framedRequest("outer", "1.1", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", sizeLine), chunk),
		"an unknown coding":                   framedRequest("outer", "1.1", "Transfer-Encoding: gzip\r\n", inner),
		"no length":                           framedRequest("outer", "1.1", "", inner),
		"an empty length":                     framedRequest("outer", "1.1", "Content-Length:\r\n", inner),
		"two lengths":                         framedRequest("outer", "1.1", fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n", len(inner)), inner),
		"two lengths, the longer first":       framedRequest("outer", "1.1", fmt.Sprintf("Content-Length: %d\r\nContent-Length: 0\r\n", len(inner)), inner),
		"a list of lengths":                   framedRequest("outer", "1.1", fmt.Sprintf("Content-Length: 0, %d\r\n", len(inner)), inner),
		"a list of equal lengths":             framedRequest("outer", "1.1", "Content-Length: 0, 0\r\n", inner),
		"a length with a plus sign":           framedRequest("outer", "1.1", "Content-Length: +0\r\n", inner),
		"a length with a minus sign":          framedRequest("outer", "1.1", "Content-Length: -0\r\n", inner),
		"a negative length":                   framedRequest("outer", "1.1", "Content-Length: -5\r\n", inner),
		"a hexadecimal length":                framedRequest("outer", "1.1", "Content-Length: 0x0\r\n", inner),
		"a length with a fraction":            framedRequest("outer", "1.1", "Content-Length: 0.0\r\n", inner),
		"a length beyond 64 bits":             framedRequest("outer", "1.1", "Content-Length: 18446744073709551616\r\n", inner),
		"a space before the colon":            framedRequest("outer", "1.1", fmt.Sprintf("Content-Length : %d\r\nContent-Length: 0\r\n", len(inner)), inner),
		"no id":                               strings.Replace(framedRequest("outer", "1.1", "Content-Length: 0\r\n", inner), "X-Request-Id: outer", "X-Other: outer", 1),
		"another method":                      strings.Replace(framedRequest("outer", "1.1", "Content-Length: 0\r\n", inner), "POST", "CONNECT", 1),
		"another path":                        strings.Replace(framedRequest("outer", "1.1", "Content-Length: 0\r\n", inner), "/api", "/other", 1),
		"a bad header":                        "POST /api HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n" + inner,
		"no host":                             "POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + inner,
	} {
		wantRejected(t, relay.Addr(), name, text)
	}
	status, _ := postMessage(t, relay.Addr(), "m1", "payment")
	want(t, "status of a sound request", status, 202)
	c := receive(t, calls, "call")
	want(t, "id of the only call", c.id, "m1")
	c.answer <- 200
}

// Guards against a check of framing that rejects sound requests which arrive in pieces or one behind the other.
func TestSoundRequestsPassInPiecesAndPipelined(t *testing.T) {
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", make(chan *receivedCall, 20)), "taller")), nil)
	conn, err := net.Dial("tcp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	accepted := func(what string) {
		t.Helper()
		status, closes, err := readResponse(reader)
		if err != nil || status != http.StatusAccepted || closes {
			t.Fatalf("%s: status %d, closes %t, %v", what, status, closes, err)
		}
	}
	text := framedRequest("piece-0", "1.1", "Content-Length: 5\r\n", "hello")
	for i := range len(text) {
		io.WriteString(conn, text[i:i+1])
	}
	accepted("byte by byte")
	var pipelined string
	for i := range 4 {
		pipelined += framedRequest(fmt.Sprint("pipelined-", i), "1.1", "content-length: 5\r\n", "hello") + "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
	}
	io.WriteString(conn, pipelined)
	for i := range 4 {
		accepted(fmt.Sprint("pipelined ", i))
		if status, _, err := readResponse(reader); err != nil || status != http.StatusOK {
			t.Fatalf("up: %d, %v", status, err)
		}
	}
	io.WriteString(conn, strings.Replace(framedRequest("elsewhere", "1.1", "Content-Length: 0\r\n", ""), "dest=7", "dest=8", 1)+framedRequest("behind", "1.1", "Content-Length: 0\r\n", ""))
	if status, closes, err := readResponse(reader); err != nil || status != http.StatusNotFound || closes {
		t.Fatalf("an unknown destination: status %d, closes %t, %v", status, closes, err)
	}
	accepted("behind a sound request that is refused")
}
