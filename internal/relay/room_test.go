package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against closing a new connection over its request because every place has a request under way: it is refused. The
// requests under way keep their answers.
func TestNoRoomIsAnAnswer(t *testing.T) {
	in := newIntakes(t, 2)
	in.hold = make(chan struct{})
	var served []*bufio.Reader
	for i := range 2 {
		conn := in.dial(t)
		io.WriteString(conn, message7(fmt.Sprint(i)))
		<-in.came
		served = append(served, bufio.NewReader(conn))
	}
	for i := range 20 { // more than may wait for their other side
		conn := in.dial(t)
		io.WriteString(conn, message7(fmt.Sprint("more", i)))
		r := bufio.NewReader(conn)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer to the %dth: %v", i, err)
		}
		want(t, "answer", resp.StatusCode, http.StatusServiceUnavailable)
		want(t, "Retry-After", resp.Header.Get("Retry-After"), "1")
		wantEOF(t, "connection", r)
	}
	close(in.hold)
	for _, r := range served {
		wantStatus(t, "answer to a request under way", r, http.StatusAccepted)
	}
	want(t, "taken on", len(in.taken), 2)
}

// Guards against holding a connection for ever for which there was no place, and which stays silent.
func TestNoRoomForTheSilentIsBounded(t *testing.T) {
	in := newIntakes(t, 1)
	in.hold = make(chan struct{})
	defer close(in.hold)
	io.WriteString(in.dial(t), message7("first"))
	<-in.came
	for range 20 {
		in.dial(t)
	}
	for end := time.Now().Add(30 * time.Second); in.count() > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are held, want 1", in.count())
		}
	}
}

// Guards against closing a connection that waits for its other side over bytes that were not read: the reset takes the
// answer along that its client has not read yet.
func TestAnAnswerOnItsWayOutlivesALackOfDescriptors(t *testing.T) {
	at := newConnPausePoints()
	in := newIntakes(t, 8, at.wrap)
	conn := in.dial(t)
	io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	for ended := false; !ended; { // answered, and ended from this side
		in.each(func(c *peer) { ended = c.left })
	}
	at.read.arm()
	io.WriteString(conn, "x")
	<-at.read.reached
	io.WriteString(conn, "y") // nobody has read it as the connection is to go
	in.short(syscall.EMFILE)
	close(at.read.release)
	for in.count() > 0 {
		time.Sleep(time.Millisecond)
	}
	r := bufio.NewReader(conn)
	wantStatus(t, "answer", r, http.StatusNotFound)
	wantEOF(t, "connection", r)
	want(t, "error of the connection", socketError(t, conn), 0)
}

// socketError is the error that the system has noted for a connection: one that was reset has one, though what had come
// before can still be read.
func socketError(t *testing.T, conn net.Conn) syscall.Errno {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	if cerr := raw.Control(func(fd uintptr) { got, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); cerr != nil {
		t.Fatal(cerr)
	}
	if err != nil {
		t.Fatal(err)
	}
	return syscall.Errno(got)
}

// Guards against giving up more connections than a lack of descriptors needs, and those first that have just been ended.
func TestALackOfDescriptorsTakesTheLongestEnded(t *testing.T) {
	p := newPeers(nil, 400)
	begin := time.Now()
	for i := range 20 {
		near, _ := net.Pipe()
		c := &peer{Conn: near, all: p, left: true, client: i < 10, since: begin.Add(time.Duration(i) * time.Second)}
		p.open[c] = struct{}{}
		p.left++
	}
	p.short(syscall.EMFILE)
	var left []time.Duration
	for c := range p.open {
		left = append(left, c.since.Sub(begin))
	}
	slices.Sort(left)
	want(t, "ended connections that are left", len(left), 20-descriptorsBack)
	want(t, "the longest ended of them", left[0], descriptorsBack*time.Second)
}

// Guards against descriptors that stay open beyond all bounds for connections that gave up their place.
func TestFewConnectionsAreClosedLater(t *testing.T) {
	p := newPeers(nil, 8)
	for i := range hurriedMost + 1 {
		near, far := net.Pipe()
		defer far.Close()
		c := &peer{Conn: near, all: p, left: true}
		p.mu.Lock()
		p.open[c] = struct{}{}
		p.left++
		c.hurry()
		p.mu.Unlock()
		closed := near.SetReadDeadline(time.Time{}) != nil
		want(t, fmt.Sprint("closed at once, the ", i, "th"), closed, i >= hurriedMost)
	}
}

// Guards against a client that holds a connection which is to be closed by sending all the time.
func TestTheLastReadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		var sender sync.WaitGroup
		defer sender.Wait()
		defer near.Close()
		sender.Go(func() {
			for {
				if _, err := far.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(firstLook / 2)
			}
		})
		begin := time.Now()
		(&peer{Conn: near}).drain()
		want(t, "read for no longer", time.Since(begin) <= lastReadsIn+firstLook, true)
	})
}
