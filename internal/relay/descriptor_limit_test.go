package relay

import (
	"bufio"
	"net"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"larchrouter/internal/discovery"
)

// limitDescriptors lowers the number of descriptors that a process may have (prlimit(2)).
func limitDescriptors(t *testing.T, pid int, n uint64) {
	t.Helper()
	limit := syscall.Rlimit{Cur: n, Max: n}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		t.Fatal(errno)
	}
}

// Guards against idle clients that occupy all descriptors, of which there are fewer now than configured, while
// discovery is down: messages still have to be accepted and delivered, and the list updated once discovery is back.
func TestIdleClientsWithLoweredDescriptorLimit(t *testing.T) {
	calls := make(chan *receivedCall, 100)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	cmd, addr := startProcess(t, p, t.TempDir())
	checkUp(t, addr)
	limitDescriptors(t, cmd.Process.Pid, 48)
	p.mu.Lock()
	p.refuseLists = true
	p.mu.Unlock()
	p.CloseClientConnections()
	for range 200 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	for i := range 20 {
		id := string(rune('a' + i))
		status := 0
		for end := time.Now().Add(30 * time.Second); status == 0; { // a connection that closes without an answer is retried, as clients do
			if time.Now().After(end) {
				t.Fatalf("%s gets no response", id)
			}
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			conn.Write([]byte("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: status-update\r\nX-Deadline-Ms: 15000\r\n" +
				"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi"))
			status, _, _ = readResponse(bufio.NewReader(conn))
			conn.Close()
		}
		want(t, "status", status, 202)
		c := receive(t, calls, "call")
		want(t, "message", c.id, id)
		c.answer <- 200
	}
	p.mu.Lock()
	p.refuseLists = false
	p.list = discovery.List{Version: 2, Full: true, Servers: p.list.Servers}
	p.mu.Unlock()
	for len(p.queries) > 0 {
		<-p.queries
	}
	receive(t, p.queries, "query after the return of discovery")
}
