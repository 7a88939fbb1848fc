package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

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
