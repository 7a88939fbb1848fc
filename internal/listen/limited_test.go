package listen

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against peers that hold any number of connections, and against a limit that closed connections still count for.
func TestLimitedClosesConnectionsBeyondLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	limited := Limited(inner, 2)
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	dial()
	dial()
	first, second := <-accepted, <-accepted
	if _, err := dial().Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a connection beyond the limit has %v, want its end", err)
	}
	first.Close()
	first.Close()
	dial()
	third := <-accepted
	if _, err := dial().Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a connection beyond the limit, after one was closed twice, has %v, want its end", err)
	}
	second.Close()
	third.Close()
}
