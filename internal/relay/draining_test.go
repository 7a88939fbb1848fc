package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// stalled is a listener in a process that gets no core: from the moment at which it is armed nothing is accepted, until
// somebody has asked for its end.
type stalled struct {
	*net.TCPListener
	stall *instant
	asked chan struct{}
	once  sync.Once
}

func newStalled(l net.Listener) *stalled {
	return &stalled{TCPListener: l.(*net.TCPListener), stall: newInstant(), asked: make(chan struct{})}
}

// Accept stalls with the connection that it has in its hands.
func (l *stalled) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	l.stall.pass()
	return conn, err
}

func (l *stalled) SetDeadline(t time.Time) error {
	l.once.Do(func() { close(l.asked) })
	return l.TCPListener.SetDeadline(t)
}

func (l *stalled) Close() error {
	defer l.once.Do(func() { close(l.asked) })
	return l.TCPListener.Close()
}

// Guards against closing the listener over connections that were not accepted yet: the reset takes their requests along.
// The process gets no core from before they come until the listener is to close.
func TestWhoWaitsInTheQueueIsAnswered(t *testing.T) {
	calls := make(chan *seen, 100)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	conf, err := readTestConfig(t, testConfig(t, p), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(conf)
	if err != nil {
		t.Fatal(err)
	}
	l := newStalled(r.listener.Listener)
	r.listener.Listener = l
	l.stall.arm()
	ended := make(chan struct{})
	go func() { r.Serve(); close(ended) }()
	var conns []net.Conn
	for i := range 20 {
		conn, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(30 * time.Second))
		fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: m%d\r\nX-Class: status-update\r\nX-Deadline-Ms: 15000\r\n"+
			"X-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi", i)
		conns = append(conns, conn)
	}
	<-l.stall.reached
	go r.Drain()
	<-l.asked
	close(l.stall.release)
	for i, conn := range conns {
		wantStatus(t, fmt.Sprint("answer to m", i), bufio.NewReader(conn), http.StatusAccepted)
	}
	for range conns {
		wait(t, calls, "call").answer <- 200
	}
	<-ended
}

// Guards against a listener that stays open because somebody comes all the time.
func TestTheQueueEndsWhileOthersCome(t *testing.T) {
	in := newIntakes(t, 64)
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * queueWait):
			}
			if conn, err := net.Dial("tcp", in.Addr().String()); err == nil {
				conn.Close()
			}
		}
	})
	for end := time.Now().Add(30 * time.Second); !in.stopAccepting(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Error("the listener is still open")
			break
		}
	}
	close(stop)
	all.Wait()
}
