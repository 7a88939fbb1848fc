package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalled is a listener in a process that gets no core: from the moment at which it is armed nothing is accepted, until
// somebody has asked for its end.
type stalled struct {
	*net.TCPListener
	stall *pausePoint
	asked chan struct{}
	once  sync.Once
}

func newStalled(l net.Listener) *stalled {
	return &stalled{TCPListener: l.(*net.TCPListener), stall: newPausePoint(), asked: make(chan struct{})}
}

// Accept stalls with the connection that it has in its hands.
func (l *stalled) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	l.stall.reach()
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
	calls := make(chan *receivedCall, 100)
	p := newFakePlatform(t, testEndpoint("s-1", newFakeHost(t, "a", calls), "taller"))
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
		receive(t, calls, "call").answer <- 200
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

// emptied runs a server on the fake clock whose only request is answered after some time, ends its connections, and tells
// how long that took and what the client read.
func emptied(t *testing.T, takes, most time.Duration, clientEnds bool) (took time.Duration, status int) {
	pipe := &pipes{come: make(chan net.Conn), end: make(chan struct{})}
	l := newPeers(pipe, 8)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", func(http.ResponseWriter, *http.Request) { time.Sleep(takes) })
	s := newServer(mux, l)
	s.WriteTimeout = time.Hour
	go s.Serve(l)
	conn := pipe.dial()
	defer conn.Close()
	go func() {
		io.WriteString(conn, message7("slow"))
		status, _, _ = answered(bufio.NewReader(conn))
		if clientEnds {
			conn.Close()
		}
	}()
	synctest.Wait()
	begin := time.Now()
	l.answerUntil(begin.Add(most))
	l.empty(s)
	took = time.Since(begin)
	synctest.Wait()
	return took, status
}

// Guards against cutting an answer that is under way as the process ends, though the stop has time left.
func TestAnswersUnderWayOutliveTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 4 * emptyIn
		defer time.Sleep(takes)
		took, status := emptied(t, takes, 2*takes, true)
		want(t, "answer", status, http.StatusOK)
		want(t, "ended by its client, not by the time", took < takes+emptyIn, true)
	})
}

// Guards against a stop that an answer under way, or a client that does not end its side, holds beyond its time.
func TestTheEndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4 * emptyIn
		defer time.Sleep(time.Minute)
		took, status := emptied(t, time.Minute, most, true)
		want(t, "answer", status, 0)
		want(t, "the end took no longer", took <= most+10*time.Millisecond, true)
	})
	in := newIntakes(t, 8)
	conn := in.dial(t)
	ask(t, conn, bufio.NewReader(conn), "first")
	in.idles(t, 1)
	in.answerUntil(time.Now().Add(time.Hour))
	in.empty(in.s) // the client leaves its side open
}
