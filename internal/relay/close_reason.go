package relay

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"time"
)

// closeReason is why the connection of a client or an operator ended.
type closeReason int

const (
	closedUnknown    closeReason = iota
	closedByPeer                 // the remote side closed it, or it broke
	closedAfterReply             // by the server, after a response that ends the connection or past a time limit
	closedForSpace               // for a new connection, between requests or in the middle of one
	closedOverLimit              // it came while every connection had a request in progress
	closedAtTimeout              // its request was not complete in time
	closedToStop                 // the process stops, or has handed over
	closedForMemory              // its request was incomplete, and others needed the memory
	closedForHead                // the head of its request exceeds a limit
	closeReasonCount
)

// String returns the reason as metrics and logs name it.
func (r closeReason) String() string {
	switch r {
	case closedUnknown:
		return "unknown"
	case closedByPeer:
		return "by_peer"
	case closedAfterReply:
		return "after_reply"
	case closedForSpace:
		return "for_space"
	case closedOverLimit:
		return "over_limit"
	case closedAtTimeout:
		return "request_timeout"
	case closedToStop:
		return "stopping"
	case closedForMemory:
		return "for_memory"
	case closedForHead:
		return "large_head"
	}
	return fmt.Sprintf("reason(%d)", int(r))
}

// closeCounts counts closed connections by reason.
type closeCounts [closeReasonCount]int

// noteCloseReason records why a connection ends; the first reason counts. The caller holds the mutex.
func (c *inboundConn) noteCloseReason(reason closeReason) {
	if c.closeReason == closedUnknown {
		c.closeReason = reason
	}
}

// countClose counts and logs a connection that has ended. The caller holds the mutex.
func (l *limitListener) countClose(c *inboundConn) {
	if c.closeReason == closedUnknown && c.remoteClosed {
		c.closeReason = closedByPeer
	}
	l.closes[c.closeReason]++
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("connection ended", "peer", c.Conn.RemoteAddr(), "reason", c.closeReason, "served", c.served,
			"in_request", !c.requestStart.IsZero(), "in_state", time.Since(c.stateSince))
	}
}

// connUsage is the state of a listener's connections, for the metrics.
type connUsage struct {
	open   int
	closes closeCounts
}

// usage returns the state of the listener's connections.
func (l *limitListener) usage() connUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return connUsage{open: len(l.open), closes: l.closes}
}

// appendText appends the state of the connections in the form of the metrics.
func (u connUsage) appendText(buf *bytes.Buffer) {
	fmt.Fprintf(buf, "svc.connections.open=%d\n", u.open)
	for reason, count := range u.closes {
		fmt.Fprintf(buf, "svc.connections.ended.%v=%d\n", closeReason(reason), count)
	}
}
