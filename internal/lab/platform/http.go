package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"larchrouter/internal/lab/link"
)

// asked is one request as it came at an endpoint, discovery or the taker of notices.
type request struct {
	*http.Request
	body        []byte
	firstByteAt int64 // its first byte left the relay
	lastByteAt  int64 // and its last
	conn        *link.Conn
}

const maxBodyBytes = 64 << 10

// requests reads one request after the other, and passes each to serve, which tells whether the connection
// goes on. It is written by hand where net/http would do, for it has to know when each byte left the relay.
func serveRequests(c *link.Conn, maxBytes int64, serve func(*request) (keepOpen bool)) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByteAt := c.Came()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBytes+1))
		if err != nil || int64(len(body)) > maxBytes {
			return
		}
		if !serve(&request{req, body, firstByteAt, c.Came(), c}) || req.Close {
			return
		}
	}
}

// respond writes an answer; after tells when it was written at the front.
func respond(c *link.Conn, status int, header string, body []byte, written func(at int64, ok bool)) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n", status, http.StatusText(status), len(body), header)
	if status == http.StatusNoContent {
		b.Reset()
		fmt.Fprintf(&b, "HTTP/1.1 204 No Content\r\n%s\r\n", header)
	}
	return c.Send(append([]byte(b.String()), body...), written)
}

// frames reads the body of a call with several messages.
func parseFrames(body []byte) (ids, keys []string, bodies [][]byte, err error) {
	seen := map[string]bool{}
	for rest := body; len(rest) > 0; {
		line, _, ok := strings.Cut(string(rest[:min(len(rest), 600)]), "\r\n")
		if !ok {
			return nil, nil, nil, errors.New("a line without its end")
		}
		var id, key string
		var size int
		if _, err := fmt.Sscanf(line, "%s %s %d", &id, &key, &size); err != nil || size < 0 {
			return nil, nil, nil, fmt.Errorf("line %q", line)
		}
		rest = rest[len(line)+2:]
		if len(rest) < size+2 || string(rest[size:size+2]) != "\r\n" {
			return nil, nil, nil, fmt.Errorf("message %s is cut", id)
		}
		if seen[id] {
			return nil, nil, nil, fmt.Errorf("message %s stands twice", id)
		}
		seen[id] = true
		if key == "-" {
			key = ""
		}
		ids, keys, bodies = append(ids, id), append(keys, key), append(bodies, rest[:size])
		rest = rest[size+2:]
	}
	if len(ids) == 0 {
		return nil, nil, nil, errors.New("no message")
	}
	return ids, keys, bodies, nil
}
