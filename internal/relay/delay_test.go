package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

const (
	clientTimeout = 400 * time.Millisecond // how long a client waits for its answer
	maxEndDelay   = 350 * time.Millisecond // how long after its time a message may end
)

// suspend stops a process for a while, as if the machine had no core for it, and reports whether this test's own
// timers kept to that duration.
func suspend(t *testing.T, cmd *exec.Cmd, duration time.Duration) bool {
	t.Helper()
	start := time.Now()
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(duration)
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	return time.Since(start)-duration < maxTimerDelay
}

// maxTimerDelay is how late the test's own timers may be: a round in which they are later proves nothing and is
// repeated.
const maxTimerDelay = 20 * time.Millisecond

// writeMessage writes a message with a short deadline to a connection and returns the time at which its last byte was
// written.
func writeMessage(t *testing.T, conn net.Conn, id string, left time.Duration) time.Time {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: payment\r\nX-Deadline-Ms: %d\r\n"+
		"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi", id, left.Milliseconds())
	if err != nil {
		t.Fatal(err)
	}
	return time.Now()
}

// Guards against counting a message's time from when the relay read it: a relay that is not scheduled when the
// request arrives would report its end too late.
func TestDeadlineCountsFromRequestArrival(t *testing.T) {
	calls := make(chan *receivedCall, 10) // never answered
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	cmd, addr := startProcess(t, p, t.TempDir())
	checkUp(t, addr)
	const left = 3 * time.Second
	keptConn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer keptConn.Close()
	newConns := make(chan net.Conn, 1)
	sent := make(chan time.Time, 2)
	go func() {
		time.Sleep(20 * time.Millisecond) // until the process has been stopped
		sent <- writeMessage(t, keptConn, "kept", left)
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		sent <- writeMessage(t, conn, "fresh", left)
		newConns <- conn
	}()
	suspend(t, cmd, clientTimeout-30*time.Millisecond)
	conn := receive(t, newConns, "second connection")
	defer conn.Close()
	first, second := <-sent, <-sent
	for _, c := range []net.Conn{keptConn, conn} {
		status, _, err := readResponse(bufio.NewReader(c))
		if err != nil || status != http.StatusAccepted {
			t.Fatal(status, err)
		}
	}
	for range 2 {
		n := receive(t, p.notices, "notice")
		due := map[string]time.Time{"kept": first, "fresh": second}[n.ID].Add(left)
		if lateness := time.Since(due); lateness > maxEndDelay-clientTimeout/2 {
			t.Errorf("the end of %s was reported %v after its time, although the relay was scheduled long before", n.ID, lateness)
		}
	}
}

// Guards against late ends when the relay is not scheduled as they are due: messages whose deadlines fall into the
// suspension, some of them in calls that hang, all have to end in time.
func TestMessagesEndInTimeWhileSuspended(t *testing.T) {
	for range 5 {
		if messagesEndInTime(t) {
			return
		}
	}
	t.Fatal("the test's own timers were late in each round")
}

func messagesEndInTime(t *testing.T) (valid bool) {
	calls := make(chan *receivedCall, 1000) // never answered
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	cmd, addr := startProcess(t, p, t.TempDir())
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	checkUp(t, addr)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	due := map[string]time.Time{}
	start := time.Now()
	const messages = 45 // as many as a relay with most-held 50 keeps pending without making space
	for index := range messages {
		id := fmt.Sprint("m", index)
		left := 3*time.Second + time.Duration(index)*10*time.Millisecond - time.Since(start)
		due[id] = writeMessage(t, conn, id, left).Add(left)
		if status, _, err := readResponse(reader); err != nil || status != http.StatusAccepted {
			t.Fatal(status, err)
		}
	}
	type end struct {
		id string
		at time.Time
	}
	ends := make(chan end, messages)
	go func() {
		for n := range p.notices {
			ends <- end{n.ID, time.Now()}
		}
	}()
	time.Sleep(time.Until(start.Add(3100 * time.Millisecond)))
	valid = suspend(t, cmd, clientTimeout)
	for range messages {
		e := receive(t, ends, "notice")
		if lateness := e.at.Sub(due[e.id]); valid && lateness > maxEndDelay {
			t.Errorf("the end of %s was reported %v after its time", e.id, lateness)
		}
	}
	return valid
}

// Guards against a margin that does not follow the delays of the relay's timers, or that takes too much of a short
// time.
func TestEndMarginFollowsTimerDelays(t *testing.T) {
	var meter delayMeter
	meter.observe(time.Second, 30*time.Millisecond)
	meter.observe(2*time.Second, 5*time.Millisecond)
	want(t, "longest delay", meter.longest(3*time.Second), 30*time.Millisecond)
	want(t, "longest delay of the previous period", meter.longest(delayPeriod), 30*time.Millisecond)
	meter.observe(delayPeriod+time.Second, 7*time.Millisecond)
	want(t, "longest delay of two periods", meter.longest(delayPeriod+time.Second), 30*time.Millisecond)
	want(t, "longest delay after the first has expired", meter.longest(2*delayPeriod), 7*time.Millisecond)
	want(t, "longest delay after a pause", meter.longest(9*delayPeriod), 0)

	r := &Relay{startedAt: time.Now()}
	want(t, "margin with timers on time", r.endMargin(time.Minute), minEndMargin)
	want(t, "margin of a short time", r.endMargin(200*time.Millisecond), 50*time.Millisecond)
	want(t, "margin of an expired time", r.endMargin(-time.Second), 0)
	r.timerDelays.observe(r.now(), 100*time.Millisecond)
	want(t, "margin with late timers", r.endMargin(time.Minute), schedulingsBeforeNotice*100*time.Millisecond)
	r.timerDelays.observe(r.now(), time.Second)
	want(t, "margin with very late timers", r.endMargin(time.Minute), maxEndMargin)
}
