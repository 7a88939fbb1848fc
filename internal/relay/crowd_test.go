package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	crowdSize     = 700 // peers: more than the relay lets connect
	crowdDuration = 4 * time.Second
	// crowdServedShare is the share of orderly clients' messages that must be accepted: what the operators' gate wants of
	// the worth on any day.
	crowdServedShare = 0.5
)

// shortFields returns header fields with different names of a few bytes each, size bytes in all.
func shortFields(size int) []byte {
	var fields []byte
	for i := 0; len(fields) < size; i++ {
		fields = fmt.Appendf(fields, "%x:\r\n", i)
	}
	return fields[:size]
}

// messageHead is the head of a message with a body of the given size, without the empty line that ends it.
func messageHead(number, size int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: c%d\r\nX-Class: status-update\r\nX-Deadline-Ms: 9000\r\nX-Addressing: dest=7\r\nContent-Length: %d\r\n",
		number, size)
}

// writeSlowly writes pieces of the given size, with an interval between them, until the connection ends.
func writeSlowly(conn net.Conn, data []byte, piece int, interval time.Duration) {
	for len(data) > 0 {
		n, err := conn.Write(data[:min(piece, len(data))])
		if err != nil {
			return
		}
		data = data[n:]
		time.Sleep(interval)
	}
}

// crowdBehaviours is what a crowd of peers does on its connections.
var crowdBehaviours = []struct {
	name   string
	behave func(conn net.Conn, number int)
}{
	{"silent", func(net.Conn, int) {}},
	{"head of short fields without end", func(conn net.Conn, _ int) {
		conn.Write(append([]byte("POST /api HTTP/1.1\r\n"), shortFields(20000)...))
	}},
	{"head of short fields and half a body", func(conn net.Conn, number int) {
		conn.Write(append([]byte(messageHead(number, maxBodyBytes)), shortFields(15000)...))
		conn.Write(append([]byte("\r\n\r\n"), make([]byte, maxBodyBytes/2)...))
	}},
	{"short fields behind a request", func(conn net.Conn, _ int) {
		conn.Write(append([]byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\nPOST /api HTTP/1.1\r\n"), shortFields(19000)...))
	}},
	{"short fields behind OPTIONS * with a Transfer-Encoding", func(conn net.Conn, _ int) {
		conn.Write(append([]byte("OPTIONS * HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /api HTTP/1.1\r\n"), shortFields(15000)...))
	}},
	{"short fields in a slow head", func(conn net.Conn, _ int) {
		writeSlowly(conn, append([]byte("POST /api HTTP/1.1\r\n"), shortFields(20000)...), 500, 30*time.Millisecond)
	}},
	{"head of long fields without end", func(conn net.Conn, _ int) {
		conn.Write([]byte("POST /api HTTP/1.1\r\n" + strings.Repeat("X-More: "+strings.Repeat("x", 1000)+"\r\n", 19)))
	}},
	{"body that stops half way", func(conn net.Conn, number int) {
		io.WriteString(conn, messageHead(number, maxBodyBytes)+"\r\n")
		conn.Write(make([]byte, maxBodyBytes-1000))
	}},
	{"body that stops at its last byte, without a length above it", func(conn net.Conn, number int) {
		io.WriteString(conn, messageHead(number, 30000)+"\r\n")
		conn.Write(make([]byte, 29999))
	}},
	{"slow body", func(conn net.Conn, number int) {
		io.WriteString(conn, messageHead(number, maxBodyBytes)+"\r\n")
		writeSlowly(conn, make([]byte, maxBodyBytes), 2000, 50*time.Millisecond)
	}},
	{"large body behind a request", func(conn net.Conn, number int) {
		io.WriteString(conn, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"+messageHead(number, maxBodyBytes)+"\r\n")
		conn.Write(make([]byte, maxBodyBytes-1000))
	}},
	{"body behind a request that needs none, which stops", func(conn net.Conn, _ int) {
		io.WriteString(conn, "GET /up HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n\r\n")
		conn.Write(make([]byte, 1000))
	}},
	{"whole large messages", func(conn net.Conn, number int) {
		io.WriteString(conn, messageHead(number, maxBodyBytes)+"\r\n")
		conn.Write(make([]byte, maxBodyBytes))
	}},
	{"body of 8 MB", func(conn net.Conn, number int) {
		io.WriteString(conn, messageHead(number, 8<<20)+"\r\n")
		for range 128 {
			if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}},
	{"requests for nothing, pipelined", func(conn net.Conn, _ int) {
		conn.Write(bytes.Repeat([]byte("GET /none HTTP/1.1\r\nHost: x\r\n\r\n"), 200))
	}},
	{"pause inside each line", func(conn net.Conn, number int) {
		writeSlowly(conn, []byte(messageHead(number, 5)+"\r\nhello"), 9, 40*time.Millisecond)
	}},
}

// Guards against a process that passes its memory limit because many peers together make it hold more than it may,
// each no more than one client may, while orderly clients still have to be answered in time.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	for _, behaviour := range crowdBehaviours {
		t.Run(behaviour.name, func(t *testing.T) {
			platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
			relay := startLimitedProcess(t, platform, t.TempDir(), nil)
			orderly := startOrderlyClients(relay.addr, "o", 10, 100*time.Millisecond)
			peers := startCrowd(relay.addr, crowdSize, behaviour.behave)
			time.Sleep(crowdDuration)
			peers.check(t)
			orderly.check(t, crowdServedShare)
			relay.checkMemory(t)
		})
	}
}
