package relay

import "slices"

// How the bytes of a connection are passed on request by request, and what the heads among them may use.

// readInput reads what was read ahead, or else from the connection.
func (c *inboundConn) readInput(p []byte) (int, error) {
	c.listener.mu.Lock()
	n := copy(p, c.ahead)
	c.listener.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

// cutAtEnd returns how many bytes of the input belong to the current request, and retains the others. A Read never
// passes on the end of one request and the start of the next, so that the server has nothing of a request whose head
// is not counted. The caller holds the mutex.
func (c *inboundConn) cutAtEnd(input []byte) (n int) {
	n = c.scanner.scan(input)
	switch {
	case len(c.ahead) > 0:
		c.ahead = c.ahead[n:]
	case n < len(input):
		c.ahead = slices.Clone(input[n:])
	}
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

// acceptHead reserves memory for what the head of the current request has grown by, since it had the given size. It
// refuses the request if that is too much, and reports whether it does not. The caller holds the mutex.
func (c *inboundConn) acceptHead(headBytes, fields int) bool {
	newBytes, newFields := c.scanner.headSize()
	if newBytes < headBytes { // of another request
		headBytes, fields = 0, 0
	}
	if c.scanner.oversized {
		c.refusal = headTooLargeResponse
		c.evict(closedForHead)
		return false
	}
	growth := headByteCost*int64(newBytes-headBytes) + headFieldCost*int64(newFields-fields)
	if c.listener.reserve(c, growth) {
		return true
	}
	if !c.evicted && !c.locallyClosed {
		c.evict(closedForMemory)
	}
	return false
}
