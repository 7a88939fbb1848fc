package relay

import (
	"fmt"
	"strings"
	"testing"
)

// optionsAround returns requests for "OPTIONS *" whose end is not certain, each with the text inner in or behind its body.
func optionsAround(inner string) map[string]string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	sizeLine := strings.Index(chunk, "\n") + 1
	both := fmt.Sprintf("HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(inner)+5, inner)
	return map[string]string{
		"chunked and a length":    "OPTIONS * " + both,
		"chunked":                 "OPTIONS * HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"HTTP/1.0, chunked":       fmt.Sprintf("OPTIONS * HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n%s", sizeLine, chunk),
		"another path, not the *": "OPTIONS /api " + both,
	}
}

// Guards against "OPTIONS *", which net/http answers past the server's handler, as a way round the check of framing: a
// message in its body was accepted, and sent to an endpoint.
func TestTextInBodyOfOptionsIsNoRequest(t *testing.T) {
	calls := make(chan *receivedCall, 10)
	relay := startRelay(t, newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller")), withAdminAddr)
	inner := framedRequest("inner", "1.1", "Content-Length: 0\r\n", "")
	for name, text := range optionsAround(inner) {
		wantRejected(t, relay.Addr(), "clients' address, "+name, text)
	}
	wantRejected(t, relay.Addr(), "no length", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"+inner)
	wantRejected(t, relay.Addr(), "sound length", "OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"+inner)
	for name, text := range optionsAround("PUT /endpoints/disable/s-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n") {
		wantRejected(t, relay.adminAddr.String(), "admin address, "+name, text)
	}
	status, _ := postMessage(t, relay.Addr(), "m1", "payment")
	want(t, "status of a sound request", status, 202)
	c := receive(t, calls, "call")
	want(t, "id of the only call", c.id, "m1")
	c.answer <- 200
}

// Guards against heads that pass by the limits on fields and memory, because what follows "OPTIONS *" with a
// Transfer-Encoding counted as the rest of its body.
func TestHeadBehindOptionsIsNotRead(t *testing.T) {
	platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
	relay := startRelay(t, platform, nil)
	fields := strings.Repeat("a:\r\n", 35*maxHeadFields)
	wantRejected(t, relay.Addr(), "head of many fields", "OPTIONS * HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /up HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n")
}
