package link

import (
	"context"
	"io"
	"net"
	"testing"

	"larchrouter/internal/lab/history"
)

// Guards against a request that counts as read although it was not, and one that was read but does not count as read.
func TestPeerHasRead(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	network := NewNet(history.NewClock())
	defer network.Close()
	c, err := network.Dial(context.Background(), "client/0", "relay/0", "", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	send(c)
	if c.PeerHasRead() {
		t.Error("the connection is not accepted yet, but the written bytes count as read")
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
		t.Error("half of the request was read, but all of it counts as read")
	}
	if _, err := io.ReadFull(peer, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	if !c.PeerHasRead() {
		t.Error("the whole request was read, but does not count as read")
	}
	if c.PeerClosedAfterReading() {
		t.Error("an open connection counts as closed")
	}
	if err := peer.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if c.PeerHasRead() {
		t.Error("the request counts as read although the peer has ended its sending, after which this cannot be known")
	}
	if c.PeerClosedAfterReading() {
		t.Error("a connection counts as closed although the peer has only ended its sending")
	}
	peer.Close()
	if !c.PeerClosedAfterReading() {
		t.Error("the peer has read everything and closed, but this is not detected")
	}
	if c.Broken() {
		t.Error("a close by the peer counts as a reset by the network")
	}
	network.Link("client/0", "relay/0").Reset()
	if !c.Broken() {
		t.Error("a reset by the network does not count as one")
	}
}

// Guards against bytes that count as read although the peer closed the connection with them unread, or before they arrived.
func TestUnreadBytesAreNotCountedAsRead(t *testing.T) {
	for name, sendAndClose := range map[string]func(c *Conn, peer net.Conn){
		"closed with unread bytes": func(c *Conn, peer net.Conn) { send(c); peer.Close() },
		"bytes after the close":    func(c *Conn, peer net.Conn) { peer.Close(); send(c) },
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		network := NewNet(history.NewClock())
		c, err := network.Dial(context.Background(), "client/0", "relay/0", "", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		sendAndClose(c, peer)
		if c.PeerClosedAfterReading() || c.PeerHasRead() {
			t.Errorf("%s: unread bytes count as read", name)
		}
		network.Close()
		l.Close()
	}
}

// send sends a request and returns once it is written at the front.
func send(c *Conn) {
	written := make(chan struct{})
	c.Send([]byte("a request"), func(int64, bool) { close(written) })
	<-written
}

// Guards against a reply about a socket that no longer exists being read as the state of one that has read everything.
func TestUnknownSocketIsAnError(t *testing.T) {
	var d diag
	defer d.close()
	nowhere := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	if s, err := d.query(nowhere, nowhere); err == nil {
		t.Errorf("got %+v for a socket that does not exist", s)
	}
	for _, reply := range [][]byte{nil, make([]byte, 3), make([]byte, 16), make([]byte, 200)} {
		if _, err := parseDiag(reply); err == nil {
			t.Errorf("a reply of %d zero bytes was accepted", len(reply))
		}
	}
}
