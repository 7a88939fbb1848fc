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
type asked struct {
	*http.Request
	body  []byte
	begun int64 // its first byte left the relay
	whole int64 // and its last
	conn  *link.Conn
}

const maxBody = 64 << 10

// requests reads one request after the other, and passes each to serve, which tells whether the connection
// goes on. It is written by hand where net/http would do, for it has to know when each byte left the relay.
func requests(c *link.Conn, most int64, serve func(*asked) (goesOn bool)) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		begun := c.ReceivedAt()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, most+1))
		if err != nil || int64(len(body)) > most {
			return
		}
		if !serve(&asked{req, body, begun, c.ReceivedAt(), c}) || req.Close {
			return
		}
	}
}

// respond writes an answer; after tells when it was written at the front.
func respond(c *link.Conn, status int, header string, body []byte, after func(at int64, ok bool)) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n", status, http.StatusText(status), len(body), header)
	if status == http.StatusNoContent {
		b.Reset()
		fmt.Fprintf(&b, "HTTP/1.1 204 No Content\r\n%s\r\n", header)
	}
	return c.Send(append([]byte(b.String()), body...), after)
}

// frames reads the body of a call with several messages.
func frames(body []byte) (ids, keys []string, bodies [][]byte, err error) {
	seen := map[string]bool{}
	for rest := body; len(rest) > 0; {
		line, _, ok := strings.Cut(string(rest[:min(len(rest), 600)]), "\r\n")
		if !ok {
			return nil, nil, nil, errors.New("a line without its end")
		}
		var id, key string
		var n int
		if _, err := fmt.Sscanf(line, "%s %s %d", &id, &key, &n); err != nil || n < 0 {
			return nil, nil, nil, fmt.Errorf("line %q", line)
		}
		rest = rest[len(line)+2:]
		if len(rest) < n+2 || string(rest[n:n+2]) != "\r\n" {
			return nil, nil, nil, fmt.Errorf("message %s is cut", id)
		}
		if seen[id] {
			return nil, nil, nil, fmt.Errorf("message %s stands twice", id)
		}
		seen[id] = true
		if key == "-" {
			key = ""
		}
		ids, keys, bodies = append(ids, id), append(keys, key), append(bodies, rest[:n])
		rest = rest[n+2:]
	}
	if len(ids) == 0 {
		return nil, nil, nil, errors.New("no message")
	}
	return ids, keys, bodies, nil
}
