package relay

import "time"

// This file determines whether a connection has bytes of a request pipelined behind the current one: a client that sent
// another request has to get an answer to it as well.

// endHandling records that a handler has ended. What was read behind its request belongs to the pipelined one.
func (c *inboundConn) endHandling() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.releaseMemory()
	if c.restIgnored {
		return
	}
	c.pipelined = c.pipelined || len(c.ahead) > 0
}

// ignoreRest has the connection end after the response to the current request without a refusal for what follows it.
// Nothing more is read of the request: the server would wait for the rest of its body before it responds.
func (c *inboundConn) ignoreRest() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.restIgnored, c.evicted = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}
