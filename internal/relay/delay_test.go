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
	answerPatience = 400 * time.Millisecond // a client waits so long for its answer
	endLimit       = 350 * time.Millisecond // a message may end so long after its time
)

// withoutCore stops a process for a while, as a machine does that has no core for it, and tells whether this test's own
// timers kept to that while.
func withoutCore(t *testing.T, cmd *exec.Cmd, span time.Duration) bool {
	t.Helper()
	begin := time.Now()
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(span)
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	return time.Since(begin)-span < timerSlack
}

// timerSlack is how late a test's own timers may be: a round in which they are later says nothing, and is played again.
const timerSlack = 20 * time.Millisecond

// handIn writes a message whose time is short to a connection, and tells when its last byte was written.
func handIn(t *testing.T, conn net.Conn, id string, left time.Duration) time.Time {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: payment\r\nX-Deadline-Ms: %d\r\n"+
		"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi", id, left.Milliseconds())
	if err != nil {
		t.Fatal(err)
	}
	return time.Now()
}

// Guards against counting a message's time from when the relay came to read it: a relay that gets no core as the request
// arrives would tell its end later than it may.
func TestTimeCountsFromTheArrivalOfARequest(t *testing.T) {
	calls := make(chan *receivedCall, 10) // never answered
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
	cmd, addr := startProcess(t, p, t.TempDir())
	checkUp(t, addr)
	const left = 3 * time.Second
	kept, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	fresh := make(chan net.Conn, 1)
	sent := make(chan time.Time, 2)
	go func() {
		time.Sleep(20 * time.Millisecond) // the process has been stopped
		sent <- handIn(t, kept, "kept", left)
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		sent <- handIn(t, conn, "fresh", left)
		fresh <- conn
	}()
	withoutCore(t, cmd, answerPatience-30*time.Millisecond)
	conn := receive(t, fresh, "second connection")
	defer conn.Close()
	first, second := <-sent, <-sent
	for _, c := range []net.Conn{kept, conn} {
		status, _, err := answered(bufio.NewReader(c))
		if err != nil || status != http.StatusAccepted {
			t.Fatal(status, err)
		}
	}
	for range 2 {
		n := receive(t, p.notices, "notice")
		due := map[string]time.Time{"kept": first, "fresh": second}[n.ID].Add(left)
		if late := time.Since(due); late > endLimit-answerPatience/2 {
			t.Errorf("the end of %s was told %v after its time, though the relay had a core since long before", n.ID, late)
		}
	}
}

// Guards against ends that come too late where the relay gets no core as they are due: messages whose times are spread over
// the while in which it has none, some of them out in calls that hang, all end in time.
func TestEndsInTimeWithoutACore(t *testing.T) {
	for range 5 {
		if endsWithoutACore(t) {
			return
		}
	}
	t.Fatal("this machine's timers were late in each round")
}

func endsWithoutACore(t *testing.T) (valid bool) {
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
	in := bufio.NewReader(conn)
	due := map[string]time.Time{}
	begin := time.Now()
	const messages = 45 // as many as the relay holds without making room
	for k := range messages {
		id := fmt.Sprint("m", k)
		left := 3*time.Second + time.Duration(k)*10*time.Millisecond - time.Since(begin)
		due[id] = handIn(t, conn, id, left).Add(left)
		if status, _, err := answered(in); err != nil || status != http.StatusAccepted {
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
	time.Sleep(time.Until(begin.Add(3100 * time.Millisecond)))
	valid = withoutCore(t, cmd, answerPatience)
	for range messages {
		e := receive(t, ends, "notice")
		if late := e.at.Sub(due[e.id]); valid && late > endLimit {
			t.Errorf("the end of %s was told %v after its time", e.id, late)
		}
	}
	return valid
}

// Guards against a margin that does not follow the delays of the relay's timers, or that takes too much of a short time.
func TestEndMarginFollowsTheDelays(t *testing.T) {
	var d delayMeter
	d.observe(time.Second, 30*time.Millisecond)
	d.observe(2*time.Second, 5*time.Millisecond)
	want(t, "longest delay", d.longest(3*time.Second), 30*time.Millisecond)
	want(t, "longest delay of the period before", d.longest(delayMemory), 30*time.Millisecond)
	d.observe(delayMemory+time.Second, 7*time.Millisecond)
	want(t, "longest delay of two periods", d.longest(delayMemory+time.Second), 30*time.Millisecond)
	want(t, "longest delay once the first is forgotten", d.longest(2*delayMemory), 7*time.Millisecond)
	want(t, "longest delay after a rest", d.longest(9*delayMemory), 0)

	r := &Relay{startedAt: time.Now()}
	want(t, "margin of a relay that runs on time", r.endMargin(time.Minute), endMarginLeast)
	want(t, "margin of a short time", r.endMargin(200*time.Millisecond), 50*time.Millisecond)
	want(t, "margin of a time that is up", r.endMargin(-time.Second), 0)
	r.timerDelays.observe(r.now(), 100*time.Millisecond)
	want(t, "margin of a relay that runs late", r.endMargin(time.Minute), delaysToEnd*100*time.Millisecond)
	r.timerDelays.observe(r.now(), time.Second)
	want(t, "margin of one that runs far too late", r.endMargin(time.Minute), endMarginMost)
}
