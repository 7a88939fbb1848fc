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

// request is a request received by an endpoint, by discovery or by the receiver of notices.
type request struct {
	*http.Request
	body        []byte
	firstByteAt int64 // when its first byte left the relay, microseconds of the run's clock
	lastByteAt  int64 // when its last byte did
	conn        *link.Conn
}

const maxBodyBytes = 64 << 10

// serveRequests reads the requests of a connection one after the other and passes each to serve, which reports whether the
// connection stays open. It closes the connection at the end, and on a body over maxBytes. A server of net/http would not
// tell when each byte left the relay.
func serveRequests(c *link.Conn, maxBytes int64, serve func(*request) (keepOpen bool)) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByteAt := c.ReceivedAt()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBytes+1))
		if err != nil || int64(len(body)) > maxBytes {
			return
		}
		if !serve(&request{req, body, firstByteAt, c.ReceivedAt(), c}) || req.Close {
			return
		}
	}
}

// respond sends an answer. It calls written, if not nil, with the time at which the answer was written to the relay's connection.
func respond(c *link.Conn, status int, header string, body []byte, written func(at int64, ok bool)) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n", status, http.StatusText(status), len(body), header)
	if status == http.StatusNoContent {
		b.Reset()
		fmt.Fprintf(&b, "HTTP/1.1 204 No Content\r\n%s\r\n", header)
	}
	return c.Send(append([]byte(b.String()), body...), written)
}

// parseFrames parses the body of a call with several messages: for each a line of id, key ("-" for none) and size in bytes,
// then the message. It returns an error for a malformed or empty body, or an id that occurs twice.
func parseFrames(body []byte) (ids, keys []string, bodies [][]byte, err error) {
	seen := map[string]bool{}
	for rest := body; len(rest) > 0; {
		line, _, ok := strings.Cut(string(rest[:min(len(rest), 600)]), "\r\n")
		if !ok {
			return nil, nil, nil, errors.New("message header line is not terminated")
		}
		var id, key string
		var size int
		if _, err := fmt.Sscanf(line, "%s %s %d", &id, &key, &size); err != nil || size < 0 {
			return nil, nil, nil, fmt.Errorf("malformed message header line %q", line)
		}
		rest = rest[len(line)+2:]
		if len(rest) < size+2 || string(rest[size:size+2]) != "\r\n" {
			return nil, nil, nil, fmt.Errorf("message %s is truncated", id)
		}
		if seen[id] {
			return nil, nil, nil, fmt.Errorf("message %s occurs twice", id)
		}
		seen[id] = true
		if key == "-" {
			key = ""
		}
		ids, keys, bodies = append(ids, id), append(keys, key), append(bodies, rest[:size])
		rest = rest[size+2:]
	}
	if len(ids) == 0 {
		return nil, nil, nil, errors.New("body contains no message")
	}
	return ids, keys, bodies, nil
}
