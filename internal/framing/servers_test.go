package framing_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"larchrouter/internal/keeper"
	"larchrouter/internal/loopback"
	"larchrouter/internal/replication"
)

// startReplicaServer starts a replica server and returns its address.
func startReplicaServer(t *testing.T) string {
	t.Helper()
	server, err := replication.OpenReplicaServer(t.TempDir(), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Serve(listener)
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// startKeeper starts a keeper that is alone and returns its address.
func startKeeper(t *testing.T) string {
	t.Helper()
	config := keeper.Default()
	config.Name, config.HTTP, config.Raft, config.Dir = "keeper/0", loopback.FreeAddress(t), loopback.FreeAddress(t), t.TempDir()
	config.Peers = []keeper.Peer{{Name: config.Name, HTTP: config.HTTP, Raft: config.Raft}}
	k, err := keeper.New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close() })
	return config.HTTP
}

// Guards against a server of the fleet that goes on with a connection whose sender may have meant the Content-Length beside
// a Transfer-Encoding: the rest of the body would be the next call.
func TestFleetServersCloseAfterChunkedCall(t *testing.T) {
	for name, addr := range map[string]string{"replica": startReplicaServer(t), "keeper": startKeeper(t)} {
		inner := "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
		_, more := exchange(t, addr, fmt.Sprintf("POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(inner)+5, inner))
		if more != io.EOF {
			t.Errorf("%s: %v behind the answer, want the end of the connection", name, more)
		}
	}
}

// Guards against a server of the fleet that answers "OPTIONS *" without a check of its framing, and reads its body as the
// next call.
func TestFleetServersRejectOptionsWithUnclearEnd(t *testing.T) {
	for name, addr := range map[string]string{"replica": startReplicaServer(t), "keeper": startKeeper(t)} {
		status, more := exchange(t, addr, "OPTIONS * HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n35\r\n"+
			"POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		if status != http.StatusHTTPVersionNotSupported || more != io.EOF {
			t.Errorf("%s: status %d, then %v, want 505 and the end of the connection", name, status, more)
		}
	}
}
