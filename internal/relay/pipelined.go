package relay

import "net/http"

// Which bytes of a connection are those of a request behind the one under way. The server reads ahead into a buffer of its own,
// and tells nobody what it holds as it closes a connection after an answer. So the connection counts what was read, and takes
// from it what the request under way has of that: a client that sent one more has a right to an answer.

// requestSize is how many bytes a request takes on its connection, as it is commonly written: one space after the colon of each
// header, and lines that end in CR LF. Below 0 if its length is not known.
func requestSize(req *http.Request) int64 {
	if req.ContentLength < 0 {
		return -1
	}
	const spaces, lineEnd, colon = 2, 2, 2
	size := int64(len(req.Method) + len(req.RequestURI) + len(req.Proto) + spaces + lineEnd)
	if req.Host != "" {
		size += int64(len("Host") + colon + len(req.Host) + lineEnd)
	}
	for name, values := range req.Header {
		for _, value := range values {
			size += int64(len(name) + colon + len(value) + lineEnd)
		}
	}
	return size + lineEnd + req.ContentLength
}

// handled notes that a handler has read a request to its end. What was read beyond that is of the one behind it.
func (c *inboundConn) endHandling(req *http.Request) {
	size := requestSize(req)
	if c == nil || size < 0 {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.received = max(0, c.received-size)
	c.pipelined = c.pipelined || c.received > 0
}
