package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/discovery"
)

// The smallest limits that the operators' page on terms names, with the most descriptors.
const (
	smallestMemoryMB = 32
	mostSockets      = 1024
	// maxShownLog is how many bytes of a relay's log a failed test shows.
	maxShownLog = 2000
	// reconnectPause is how long a peer of a crowd waits before it connects again.
	reconnectPause = 100 * time.Millisecond
	// strangerTimeout is how long a peer that sends no proper request may be left without an error or a close.
	strangerTimeout = 3 * time.Second
)

// limitedProcess is a relay process at the smallest limits, with an admin address.
type limitedProcess struct {
	cmd         *exec.Cmd
	addr, admin string
	state       string
	platform    *fakePlatform
	stop        chan struct{}
	sampler     sync.WaitGroup
	exited      chan struct{}
	maxFiles    atomic.Int64 // bytes of the files in the state directory, at most
}

// freeAddress returns a loopback address that was free just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// limitedConfig is the configuration of a relay at the smallest limits.
func limitedConfig(t *testing.T, platform *fakePlatform, addr, admin string) string {
	config := string(testConfig(t, platform))
	config = strings.Replace(config, `"memory_mb":192,"sockets":1024`, fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, smallestMemoryMB, mostSockets), 1)
	return strings.Replace(config, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q,"admin_addr":%q`, addr, admin), 1)
}

// startLimitedProcess starts the program at the smallest limits. configure, which may be nil, changes its configuration.
func startLimitedProcess(t *testing.T, platform *fakePlatform, state string, configure func(string) string) *limitedProcess {
	t.Helper()
	return startLimitedProcessAt(t, platform, state, freeAddress(t), configure)
}

// startLimitedProcessAt starts it at an address, which a process of the same state directory may have.
func startLimitedProcessAt(t *testing.T, platform *fakePlatform, state, addr string, configure func(string) string) *limitedProcess {
	t.Helper()
	p := &limitedProcess{addr: addr, admin: freeAddress(t), state: state, platform: platform, stop: make(chan struct{}), exited: make(chan struct{})}
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	discardNotices(t, platform)
	config := limitedConfig(t, platform, p.addr, p.admin)
	if configure != nil {
		config = configure(config)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(path)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+file, "BALANCER_STATE="+state)
	var log bytes.Buffer
	p.cmd.Stderr = &log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			text := log.String()
			t.Logf("end of the relay's log:\n%s", text[max(0, len(text)-maxShownLog):])
		}
	})
	awaitReady(t, p.admin)
	p.sampler.Go(p.sample)
	return p
}

// awaitReady waits until a relay is ready, by its admin address.
func awaitReady(t *testing.T, admin string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + admin + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the relay is not ready within 10 s")
}

// sample records the largest size of the state directory until the measurement ends.
func (p *limitedProcess) sample() {
	for {
		names, _ := os.ReadDir(p.state)
		var sum int64
		for _, name := range names {
			if info, err := name.Info(); err == nil && info.Mode().IsRegular() {
				sum += info.Size()
			}
		}
		p.maxFiles.Store(max(p.maxFiles.Load(), sum))
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// statusBytes returns a figure of /proc/PID/status in bytes, 0 if the process has ended.
func (p *limitedProcess) statusBytes(name string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// checkMemory fails the test if the process has ended, or if its peak in resident memory, by the kernel, and its files
// together passed the limit.
func (p *limitedProcess) checkMemory(t *testing.T) {
	t.Helper()
	peak, now := p.statusBytes("VmHWM"), p.statusBytes("VmRSS")
	close(p.stop)
	p.sampler.Wait()
	files := p.maxFiles.Load()
	const mb = 1e6
	t.Logf("memory, MB: peak %.1f, at the end %.1f, files %.1f; limit %d", float64(peak)/mb, float64(now)/mb, float64(files)/mb, smallestMemoryMB)
	select {
	case <-p.exited:
		t.Errorf("the process has ended: %v", p.cmd.ProcessState)
	default:
		if peak+files > smallestMemoryMB*mb {
			t.Errorf("%.1f MB with files, want at most %d", float64(peak+files)/mb, smallestMemoryMB)
		}
	}
}

// discardNotices has a platform take all notices.
func discardNotices(t *testing.T, platform *fakePlatform) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-platform.notices:
			case <-ended:
				return
			}
		}
	}()
}

// newServingHost starts an endpoint that answers each call 200, and counts the runs of each id.
func newServingHost(t *testing.T, onCall func(id string)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		if onCall != nil {
			onCall(req.Header.Get("X-Request-Id"))
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// orderlyClients are clients that submit one message after the other, and record how each was answered.
type orderlyClients struct {
	addr              string
	prefix            string
	next              atomic.Int64
	mu                sync.Mutex
	statuses          map[int]int
	unanswered        int
	answerTimes       []time.Duration
	stop              chan struct{}
	clients           sync.WaitGroup
	submittedInterval time.Duration
	timerLateness     atomic.Int64 // longest lateness of this process's timers, nanoseconds
}

// startOrderlyClients starts clients that each submit a message per interval.
func startOrderlyClients(addr, prefix string, count int, interval time.Duration) *orderlyClients {
	c := &orderlyClients{addr: addr, prefix: prefix, statuses: map[int]int{}, stop: make(chan struct{}), submittedInterval: interval}
	for range count {
		c.clients.Go(c.run)
	}
	c.clients.Go(func() { watchTimers(c.stop, &c.timerLateness) })
	return c
}

// run submits messages on one connection until it ends, then on the next one.
func (c *orderlyClients) run() {
	var conn net.Conn
	for {
		select {
		case <-c.stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(c.submittedInterval):
		}
		conn = c.submit(conn)
	}
}

// submit submits one message, once more on a new connection if the one before ended without an answer. It returns the
// connection if it stays open.
func (c *orderlyClients) submit(conn net.Conn) net.Conn {
	id := fmt.Sprint(c.prefix, c.next.Add(1))
	request := orderlyRequest(id)
	startedAt := time.Now()
	status := 0
	for range 2 {
		if conn == nil {
			conn, _ = net.DialTimeout("tcp", c.addr, time.Second)
		}
		if conn == nil {
			break
		}
		conn.SetDeadline(startedAt.Add(2 * time.Second))
		io.WriteString(conn, request)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
			if resp.Close {
				conn.Close()
				conn = nil
			}
			break
		}
		conn.Close()
		conn = nil
	}
	c.record(status, time.Since(startedAt))
	return conn
}

// accepted returns how many messages were accepted.
func (c *orderlyClients) accepted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statuses[http.StatusAccepted]
}

// orderlyRequest is the request of a client with a small message.
func orderlyRequest(id string) string {
	body := strings.Repeat("b", 212)
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: status-update\r\nX-Deadline-Ms: 9000\r\n"+
		"X-Addressing: dest=7\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// record records the answer to one message.
func (c *orderlyClients) record(status int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
	if status == 0 {
		c.unanswered++
		return
	}
	c.answerTimes = append(c.answerTimes, took)
}

// check stops the clients and fails the test unless each message was answered in time, and the given share of them was
// accepted at least. Time that this machine held up a timer of the test, once on each side, is not the relay's.
func (c *orderlyClients) check(t *testing.T, wantServed float64) {
	t.Helper()
	close(c.stop)
	c.clients.Wait()
	total, late, longest := 0, 0, time.Duration(0)
	for _, n := range c.statuses {
		total += n
	}
	allowed := clientPatience + 2*time.Duration(c.timerLateness.Load())
	for _, took := range c.answerTimes {
		longest = max(longest, took)
		if took > allowed {
			late++
		}
	}
	t.Logf("orderly clients: %d messages, answers %v, longest %v of %v, %d late, %d without an answer", total, c.statuses, longest, allowed, late, c.unanswered)
	if c.unanswered > 0 || late > 0 {
		t.Errorf("of %d messages of orderly clients %d were answered late and %d not at all, want none", total, late, c.unanswered)
	}
	if served := float64(c.statuses[http.StatusAccepted]) / float64(max(1, total)); served < wantServed {
		t.Errorf("%.3f of the messages of orderly clients were accepted, want %.3f", served, wantServed)
	}
}

// crowd is many peers that each keep a connection open and do something on it. A peer whose connection ends connects
// again.
type crowd struct {
	addr        string
	behave      func(conn net.Conn, number int)
	stop        chan struct{}
	peers       sync.WaitGroup
	connections atomic.Int64
	answered    atomic.Int64 // connections on which an error arrived
	closed      atomic.Int64 // connections that ended without one
	left        atomic.Int64 // connections left without either for too long
}

// startCrowd starts a number of peers; behave writes what each connection sends, and returns when it has nothing more
// to write or the connection ends.
func startCrowd(addr string, count int, behave func(conn net.Conn, number int)) *crowd {
	c := &crowd{addr: addr, behave: behave, stop: make(chan struct{})}
	for range count {
		c.peers.Go(c.run)
	}
	return c
}

func (c *crowd) run() {
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.connect(conn)
		select {
		case <-c.stop:
		case <-time.After(reconnectPause):
		}
	}
}

// connect runs one connection until the relay has answered or closed it.
func (c *crowd) connect(conn net.Conn) {
	defer conn.Close()
	number := int(c.connections.Add(1))
	connectedAt := time.Now()
	ended := make(chan struct{})
	conn.SetDeadline(connectedAt.Add(strangerTimeout + time.Second))
	go func() {
		defer close(ended)
		line := make([]byte, 16)
		n, err := io.ReadFull(conn, line)
		switch {
		case time.Since(connectedAt) > strangerTimeout:
			c.left.Add(1)
		case n >= len("HTTP/1.1 400"):
			c.answered.Add(1)
			io.Copy(io.Discard, conn)
		case err != nil:
			c.closed.Add(1)
		}
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.behave(conn, number)
	}()
	select {
	case <-ended:
	case <-c.stop:
	}
	conn.Close()
	<-ended
	<-written
}

// check stops the crowd, and fails the test if a peer was left without an error or a close for too long.
func (c *crowd) check(t *testing.T) {
	t.Helper()
	left := c.left.Load()
	close(c.stop)
	c.peers.Wait()
	t.Logf("crowd: %d connections, %d answered, %d closed, %d left", c.connections.Load(), c.answered.Load(), c.closed.Load(), left)
	if left > 0 {
		t.Errorf("%d peers got neither an error nor a close within %v", left, strangerTimeout)
	}
}

// testEndpointOf returns an endpoint of a destination.
func testEndpointOf(dest int, id, addr string) discovery.Server {
	endpoint := testEndpoint(id, addr, "taller")
	endpoint.Cell = dest
	return endpoint
}
