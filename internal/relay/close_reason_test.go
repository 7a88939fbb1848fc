package relay

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against connections and refusals whose reason operators cannot see.
func TestMetricsNameReasonsOfClosesAndRefusals(t *testing.T) {
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", make(chan *receivedCall, 100)), "taller"))
	r := startRelay(t, p, func(config *Config) {
		withAdminAddr(config)
		config.Settings.MaxPending = 1
	})
	for i := range 2 { // the chooser gives up what finds so little room
		postMessage(t, r.Addr(), fmt.Sprint("m", i), "payment")
	}
	for _, request := range []string{"", "POST /none HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "POST /api HTTP/1.1\r\n"} {
		conn, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, request)
		if request == "" {
			conn.Close()
			continue
		}
		conn.SetDeadline(time.Now().Add(30 * time.Second))
		io.Copy(io.Discard, conn)
		conn.Close()
	}
	awaitMetrics(t, r, "svc.turned_away.no_prospect=2", "svc.connections.ended.by_peer=1", "svc.connections.ended.after_reply=1",
		"svc.connections.ended.request_timeout=1")
}

func TestParseKibibytes(t *testing.T) {
	for text, bytes := range map[string]int64{"\t   1234 kB\n": 1234 << 10, "": 0, "x kB": 0} {
		want(t, text, parseKibibytes(text), bytes)
	}
}
