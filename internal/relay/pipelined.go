package relay

import "net/http"

// This file determines which bytes of a connection belong to a request pipelined behind the current one. The server
// reads ahead into a buffer of its own, and does not tell what the buffer holds when it closes a connection after a
// response. The connection therefore counts the bytes read and subtracts the size of the current request: a client
// that sent another request has to get an answer.

// requestSize returns how many bytes a request occupies on its connection if it is written in the usual form: one
// space after the colon of each header, and lines that end in CR LF. It is negative if the length of the body is
// unknown.
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

// endHandling records that a handler has read a request completely. Bytes read beyond it belong to the pipelined
// request.
func (c *inboundConn) endHandling(req *http.Request) {
	size := requestSize(req)
	if c == nil || size < 0 {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.restIgnored {
		return
	}
	c.received = max(0, c.received-size)
	c.pipelined = c.pipelined || c.received > 0
}

// ignoreRest has the connection end after the response to the current request without a refusal for what follows it.
func (c *inboundConn) ignoreRest() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.restIgnored = true
}
