package relay

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against lost messages with real processes: ten relays of four threads each on two cores, a platform whose
// connections stall, endpoints that do not answer, restarts of every kind, and clients that reuse connections,
// pipeline requests, half-close and reconnect. Every message that was answered with 202 is delivered or ended by a
// notice in time.
func TestNoMessageIsLostWithMoreRelaysThanCores(t *testing.T) {
	for range 5 {
		valid := false
		t.Run("round", func(t *testing.T) { valid = runContendedFleet(t) })
		if valid || t.Failed() {
			return
		}
	}
	t.Fatal("this machine's timers were late in each round")
}

// maxTimerLateness is how late this process's own timers may be, and with them its clients, endpoints and platform.
// It is less than the time that the relays have to spare.
const maxTimerLateness = 100 * time.Millisecond

func runContendedFleet(t *testing.T) (valid bool) {
	const relays, clients, duration = 10, 4, 10 * time.Second
	outcomes := newOutcomes()
	partial, silent := testEndpoint("s-1", startPartialEndpoint(t, outcomes, 0.5), "taller"), testEndpoint("s-2", startPartialEndpoint(t, outcomes, 0), "almacen")
	silent.Cell = 8
	p := newFakePlatform(t, partial, silent)
	config := strings.NewReplacer(p.addr(), startStallingPlatform(t, outcomes, p), `"workers":7`, `"workers":40`,
		`"most-held":50`, `"most-held":500`, `"cores":1`, `"cores":4`).Replace(string(testConfig(t, p)))
	var cores unix.CPUSet
	cores.Set(0)
	cores.Set(1)
	fleet := make([]*restartedRelay, relays)
	for i := range fleet {
		fleet[i] = newRestartedRelay(t, i, config, cores)
		fleet[i].start(t)
	}
	var maxLateness atomic.Int64
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { watchTimers(stop, &maxLateness) })
	for _, r := range fleet {
		for k := range clients {
			c := &contendedClient{relay: r, number: k, outcomes: outcomes, random: rand.New(rand.NewPCG(uint64(r.number), uint64(k)))}
			running.Go(func() { c.run(stop) })
		}
	}
	for k, end := 0, time.Now().Add(duration); time.Now().Before(end); k++ {
		time.Sleep(300 * time.Millisecond)
		switch r := fleet[k%relays]; k % 3 {
		case 0:
			r.restart(t, syscall.SIGTERM)
		case 1:
			r.restart(t, syscall.SIGKILL)
		case 2:
			r.upgrade(t)
		}
	}
	time.Sleep(2 * time.Second) // the notices that a restart has delayed are sent
	close(stop)
	running.Wait()
	time.Sleep(maxLifetime + 2*time.Second)
	if time.Duration(maxLateness.Load()) > maxTimerLateness {
		t.Logf("this machine's timers were late by %v", time.Duration(maxLateness.Load()))
		return false
	}
	outcomes.check(t, fleet)
	return true
}

// watchTimers records the maximum lateness of this process's own timers.
func watchTimers(stop chan struct{}, maxLateness *atomic.Int64) {
	const interval = 5 * time.Millisecond
	for begin := time.Now(); ; begin = time.Now() {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			maxLateness.Store(max(maxLateness.Load(), int64(time.Since(begin)-interval)))
		}
	}
}

func (o *outcomes) check(t *testing.T, fleet []*restartedRelay) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := 0
	for id, p := range o.accepted {
		at, ok := o.ended[id]
		if limit := fleet[p.relay].endDeadline(p); ok && !at.After(limit) {
			continue
		}
		if lost++; lost <= 10 {
			t.Errorf("%s was answered 202: ended %v, %v after its deadline", id, ok, at.Sub(p.due))
		}
	}
	if len(o.accepted) < 1000 {
		t.Errorf("only %d messages were accepted", len(o.accepted))
	}
	t.Logf("%d of %d messages lost", lost, len(o.accepted))
}

const (
	minLifetime = 500 * time.Millisecond // of a message
	maxLifetime = 1500 * time.Millisecond
)

// contendedClient submits messages one after the other, in each of the ways that clients use.
type contendedClient struct {
	relay    *restartedRelay
	number   int
	outcomes *outcomes
	random   *rand.Rand
	sent     int
	conn     *net.TCPConn
	reader   *bufio.Reader
}

func (c *contendedClient) run(stop chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.IntN(100)) * time.Millisecond):
		}
		if c.conn == nil && c.connect() != nil {
			continue
		}
		var err error
		switch c.random.IntN(10) {
		case 0:
			err = c.submit(2, false) // two pipelined requests
		case 1:
			err = errors.Join(c.submit(1, true), errDisconnected)
		default:
			err = c.submit(1, false)
		}
		if err != nil {
			c.disconnect()
		}
	}
}

var errDisconnected = errors.New("the client has disconnected")

func (c *contendedClient) connect() error {
	conn, err := net.DialTimeout("tcp", c.relay.addr, clientTimeout)
	if err != nil {
		return err
	}
	c.conn = conn.(*net.TCPConn)
	c.reader = bufio.NewReader(conn)
	return nil
}

func (c *contendedClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit writes a number of requests at once and reads their answers.
func (c *contendedClient) submit(requests int, halfClose bool) error {
	var text strings.Builder
	var ids []string
	var timeLeft []time.Duration
	for range requests {
		c.sent++
		ids = append(ids, fmt.Sprintf("%d-%d-%d", c.relay.number, c.number, c.sent))
		timeLeft = append(timeLeft, minLifetime+time.Duration(c.random.Int64N(int64(maxLifetime-minLifetime))))
		fmt.Fprintf(&text, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n"+
			"X-Addressing: dest=%d\r\nContent-Length: 2\r\n\r\nhi", ids[len(ids)-1], []string{"payment", "status-update"}[c.random.IntN(2)],
			timeLeft[len(timeLeft)-1].Milliseconds(), 7+c.random.IntN(2))
	}
	if _, err := c.conn.Write([]byte(text.String())); err != nil {
		return err
	}
	sent := time.Now()
	if halfClose {
		c.conn.CloseWrite()
	}
	c.conn.SetReadDeadline(sent.Add(clientTimeout))
	for i, id := range ids {
		status, closes, err := readResponse(c.reader)
		if err != nil {
			return err
		}
		if status == http.StatusAccepted {
			c.outcomes.accept(id, acceptedMessage{relay: c.relay.number, due: sent.Add(timeLeft[i])})
		}
		if closes {
			return errDisconnected
		}
	}
	return nil
}
