package link

import (
	"context"
	"io"
	"net"
	"testing"

	"larchrouter/internal/lab/history"
)

// Guards against a request that counts as read though it was not, and against one that was read and is not seen to be.
func TestPeerHasRead(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	all := NewNet(history.NewClock())
	defer all.Close()
	c, err := all.Dial(context.Background(), "client/0", "relay/0", "", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	send(c)
	if c.PeerHasRead() {
		t.Error("nobody has accepted the connection, and what was written counts as read")
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	half := make([]byte, 4)
	if _, err := io.ReadFull(peer, half); err != nil {
		t.Fatal(err)
	}
	if c.PeerHasRead() {
		t.Error("half of a request was read, and it counts as read")
	}
	if _, err := io.ReadFull(peer, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	if !c.PeerHasRead() {
		t.Error("a request was read, and is not seen to be")
	}
	if c.PeerClosedAfterReading() {
		t.Error("an open connection counts as closed")
	}
	if err := peer.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if c.PeerHasRead() {
		t.Error("the other side has ended the connection: whether it had read the request before is not known")
	}
	if c.PeerClosedAfterReading() {
		t.Error("a connection of which the other side has ended its sending alone counts as closed")
	}
	peer.Close()
	if !c.PeerClosedAfterReading() {
		t.Error("the other side has read all and closed, and it is not seen")
	}
	if c.Broken() {
		t.Error("the other side's end counts as a break of the network")
	}
	all.Link("client/0", "relay/0").Reset()
	if !c.Broken() {
		t.Error("a reset by the network does not count as a break")
	}
}

// Guards against bytes that count as read because the connection was closed over them, or that came after the close.
func TestClosedUnread(t *testing.T) {
	for name, closes := range map[string]func(c *Conn, peer net.Conn){
		"closed over them": func(c *Conn, peer net.Conn) { send(c); peer.Close() },
		"come afterwards":  func(c *Conn, peer net.Conn) { peer.Close(); send(c) },
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all := NewNet(history.NewClock())
		c, err := all.Dial(context.Background(), "client/0", "relay/0", "", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		closes(c, peer)
		if c.PeerClosedAfterReading() || c.PeerHasRead() {
			t.Errorf("%s: they count as read", name)
		}
		all.Close()
		l.Close()
	}
}

// send writes something, and returns once it is written at the front.
func send(c *Conn) {
	written := make(chan struct{})
	c.Send([]byte("a request"), func(int64, bool) { close(written) })
	<-written
}

// Guards against an answer about a socket that is gone being taken for one about a socket that has read all.
func TestNoSuchSocket(t *testing.T) {
	var d diag
	defer d.close()
	nowhere := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	if s, err := d.look(nowhere, nowhere); err == nil {
		t.Errorf("%+v of a socket that is not there", s)
	}
	for _, reply := range [][]byte{nil, make([]byte, 3), make([]byte, 16), make([]byte, 200)} {
		if _, err := parseDiag(reply); err == nil {
			t.Errorf("an answer of %d bytes of nothing is read", len(reply))
		}
	}
}
