package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// runCounter counts how often an endpoint ran each message.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: map[string]int{}} }

// add counts one run.
func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// total returns the number of runs, and of messages that ran more than once.
func (c *runCounter) total() (runs, repeated int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.runs {
		runs += n
		if n > 1 {
			repeated++
		}
	}
	return runs, repeated
}

// of returns how often one message ran.
func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// pauseProcess stops a process until resume is called (SIGSTOP, SIGCONT).
func pauseProcess(t *testing.T, process *os.Process) (resume func()) {
	t.Helper()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for !isStopped(t, process.Pid) {
		time.Sleep(time.Millisecond)
	}
	return func() {
		if err := process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
}

// isStopped reports whether a process is stopped by a signal.
func isStopped(t *testing.T, pid int) bool {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(rest, "T")
}

// once is a message that must not be repeated.
func once(id string) string { return messageWith(id, "payment", "7", "") }

// dialOrFail opens a connection that ends with the test.
func dialOrFail(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return conn
}

// statusOf sends a request on a connection of its own and returns the status of the answer.
func statusOf(t *testing.T, addr, request string) int {
	t.Helper()
	conn := dialOrFail(t, addr)
	defer conn.Close()
	io.WriteString(conn, request)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// settleTime is how long a test waits for messages that should not run.
const settleTime = 500 * time.Millisecond

// Guards against sending on what a client sent whose connection had ended before the relay read it: the client may have
// handed the messages in elsewhere by then.
func TestUnreadRequestsOfLeftClientAreNotSentOn(t *testing.T) {
	for _, requests := range []int{1, 2, 20, 400} {
		for _, class := range []string{"payment", "status-update"} {
			t.Run(fmt.Sprint(class, requests), func(t *testing.T) {
				counter := newRunCounter()
				platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, counter.add), "taller"))
				cmd, addr := startProcess(t, platform, t.TempDir())
				checkUp(t, addr)
				conn := dialOrFail(t, addr)
				io.WriteString(conn, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
				if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
					t.Fatal(err)
				}
				resume := pauseProcess(t, cmd.Process)
				for i := range requests {
					io.WriteString(conn, messageWith(fmt.Sprint("u", i), class, "7", ""))
				}
				conn.Close()
				time.Sleep(clientPatience + 50*time.Millisecond) // a client waits no longer
				resume()
				time.Sleep(settleTime)
				runs, _ := counter.total()
				want(t, "messages of the client that ran", runs, 0)
			})
		}
	}
}

// Guards against running a message twice that came again under its id after its client had left, when many other
// messages ended in between.
func TestRepeatedIDRunsOnceAfterManyOthers(t *testing.T) {
	counter := newRunCounter()
	platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, counter.add), "taller"))
	discardNotices(t, platform)
	_, addr := startProcess(t, platform, t.TempDir())
	first := dialOrFail(t, addr)
	io.WriteString(first, once("again"))
	for start := time.Now(); counter.of("again") == 0 && time.Since(start) < 30*time.Second; {
		time.Sleep(time.Millisecond)
	}
	first.Close()
	const others = 6000
	clients := startOrderlyClients(addr, "other", 10, time.Millisecond)
	for start := time.Now(); clients.accepted() < others; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > time.Minute {
			t.Fatalf("%d of %d other messages were accepted within a minute", clients.accepted(), others)
		}
	}
	clients.check(t, 0)
	statusOf(t, addr, once("again"))
	time.Sleep(settleTime)
	want(t, "runs of the message that came again", counter.of("again"), 1)
}

// Guards against a process that hands over and passes on to the next one what a client sent that has left, and against
// running an id at both processes.
func TestLeftClientsOfBothProcessesOfUpgrade(t *testing.T) {
	counter := newRunCounter()
	platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, counter.add), "taller"))
	state := t.TempDir()
	old, addr := startProcess(t, platform, state)
	checkUp(t, addr)
	const clients = 40
	var conns []net.Conn
	for range clients {
		conn := dialOrFail(t, addr)
		io.WriteString(conn, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	_, nextAddr := startProcess(t, platform, state)
	want(t, "address of the next process", nextAddr, addr)
	resume := pauseProcess(t, old.Process)
	for i, conn := range conns {
		for j := range 3 {
			io.WriteString(conn, once(fmt.Sprint("u", i, "-", j)))
		}
		conn.Close()
	}
	for i := range clients / 2 { // the first of some come again at the next process
		want(t, "answer of the next process", statusOf(t, addr, once(fmt.Sprint("u", i, "-0"))), http.StatusAccepted)
	}
	resume()
	time.Sleep(settleTime)
	runs, repeated := counter.total()
	want(t, "messages that ran twice", repeated, 0)
	want(t, "runs", runs, clients/2)
}

// Guards against refusing a client that closes its sending direction behind its request and waits for the answer.
func TestHalfClosedClientIsServed(t *testing.T) {
	counter := newRunCounter()
	platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, counter.add), "taller"))
	relay := startRelay(t, platform, nil)
	for i := range 20 {
		conn := dialOrFail(t, relay.Addr())
		id := fmt.Sprint("h", i)
		io.WriteString(conn, messageWith(id, "status-update", "7", ""))
		conn.(*net.TCPConn).CloseWrite()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		want(t, "it ran, if it was accepted", counter.of(id) == 1, resp.StatusCode == http.StatusAccepted)
	}
	runs, _ := counter.total()
	want(t, "most are accepted", runs > 10, true)
}

// Guards against closing without an answer what a client wrote behind a request before it closed its sending direction.
func TestHalfClosedClientGetsAnswersToAllRequests(t *testing.T) {
	platform := newFakePlatform(t, testEndpoint("s-1", newServingHost(t, nil), "taller"))
	relay := startRelay(t, platform, nil)
	conn := dialOrFail(t, relay.Addr())
	io.WriteString(conn, messageWith("a", "status-update", "7", "")+messageWith("b", "status-update", "7", ""))
	conn.(*net.TCPConn).CloseWrite()
	reader := bufio.NewReader(conn)
	for _, id := range []string{"a", "b"} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer to %s: %v", id, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
