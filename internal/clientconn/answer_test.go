package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// answers are complete answers of every form.
var answers = []string{
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nX-Load: {}\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 500 Sorry\nContent-Length: 2\n\nno",
	"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\r\n\r",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\nA \r\n0123456789\r\n0\r\nX-Trailer: y\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
}

// Guards against an end of an answer that is found too early, too late, or elsewhere than net/http finds it, in whichever
// pieces the answer arrives.
func TestFeedFindsEndOfAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		answer := rapid.SampledFrom(answers).Draw(rt, "answer")
		text := answer + rapid.SampledFrom([]string{"", "x", "\r\n", answers[0], answers[0] + answers[3], strings.Repeat("\x00", 5000)}).Draw(rt, "surplus")
		var framing answerFraming
		total, complete := 0, false
		for rest := text; !complete; {
			size := rapid.IntRange(1, len(rest)).Draw(rt, "size")
			var n int
			n, complete = framing.feed([]byte(rest[:size]))
			if framing.unknownEnd || !complete && n != size {
				rt.Fatalf("%d of %d bytes, unknown end %t", n, size, framing.unknownEnd)
			}
			total += n
			rest = rest[n:]
			if !complete && rest == "" {
				rt.Fatalf("%q: no end", text)
			}
		}
		if total != len(answer) {
			rt.Fatalf("%q ends after %d bytes, want %d", text, total, len(answer))
		}
	})
}

// Guards against another idea of an answer's end than that of net/http, for any answer that it accepts.
func FuzzFeedAgreesWithNetHTTP(f *testing.F) {
	for _, answer := range answers {
		f.Add([]byte(answer + "more"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		input := strings.NewReader(string(data))
		reader := bufio.NewReaderSize(input, 16)
		var response *http.Response
		for response == nil || response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			var err error
			if response, err = http.ReadResponse(reader, nil); err != nil {
				return
			}
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return
		}
		want := len(data) - input.Len() - reader.Buffered()
		var framing answerFraming
		if n, complete := framing.feed(data); !framing.unknownEnd && (!complete || n != want) {
			t.Errorf("%q: %d bytes, complete %t, want %d", data, n, complete, want)
		}
	})
}

// Guards against reuse of a connection whose answer has no certain end.
func TestUncertainEndIsReported(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\nuntil the connection ends", "no HTTP\r\n\r\n", "HTTP/1.1 101 Switching\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 2*maxChunkLineBytes),
		"HTTP/1.1 200 OK\r\n" + strings.Repeat(fmt.Sprintf("X-Pad: %s\r\n", strings.Repeat("x", 1000)), 300),
	} {
		var framing answerFraming
		if n, complete := framing.feed([]byte(text)); n != len(text) || complete || !framing.unknownEnd {
			t.Errorf("%.60q: %d of %d bytes, complete %t, unknown end %t", text, n, len(text), complete, framing.unknownEnd)
		}
	}
}
