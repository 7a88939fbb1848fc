package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"larchrouter/choice"
	"larchrouter/internal/fleet"
)

// surpluses are what an answer may be followed by on its connection, other than a part of it.
var surpluses = map[string]string{
	"a second copy":          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"a second copy in part":  "HTTP/1.1 200 OK\r\n",
	"another good answer":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
	"an informational head":  "HTTP/1.1 102 Processing\r\n\r\n",
	"noise":                  "\x00noise\r\n\r\n",
	"a line end":             "\r\n",
	"noise with a good line": "\r\nHTTP/1.1 200 OK\r\n\r\n",
}

// newSurplusHost starts a host that answers a message of an id with "good" by 200 and a surplus, and every other by 500.
func newSurplusHost(t *testing.T, surplus string, goodAnswer string) string {
	return newRawHost(t, func(conn net.Conn) {
		for reader := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if strings.HasPrefix(req.Header.Get("X-Request-Id"), "good") {
				io.WriteString(conn, goodAnswer+surplus)
				continue
			}
			io.WriteString(conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

// Guards against a call that takes what an endpoint sent beyond the answer to an earlier call for its own answer.
func TestSurplusOfAnswerIsNotAnotherCallsAnswer(t *testing.T) {
	const calls, workers = 400, 4
	for name, surplus := range surpluses {
		for form, goodAnswer := range map[string]string{
			"no body": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			"a body":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
			"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		} {
			t.Run(name+" after "+form, func(t *testing.T) {
				t.Parallel()
				relay, addr := newCallingRelay(), newSurplusHost(t, surplus, goodAnswer)
				var wrong, lost atomic.Int64
				var running sync.WaitGroup
				for worker := range workers {
					running.Go(func() {
						for i := range calls / workers {
							good := i%2 == 0
							id := map[bool]string{true: "good", false: "bad"}[good] + fmt.Sprint(worker, "-", i)
							results, _ := relay.exchange(context.Background(), newSingleCall(addr, "x"), []string{id})
							switch {
							case !good && results[0].outcome == choice.Served:
								wrong.Add(1)
							case good && results[0].outcome != choice.Served:
								lost.Add(1)
							}
						}
					})
				}
				running.Wait()
				if wrong.Load() > 0 || lost.Load() > 0 {
					t.Errorf("of %d calls %d took a surplus for their answer, and %d lost their own", calls, wrong.Load(), lost.Load())
				}
			})
		}
	}
}

// Guards against a client of the relay whose connections pass a surplus on: for lists, notices, keepers or replicas.
func TestEveryClientIgnoresSurplus(t *testing.T) {
	p := newFakePlatform(t, testEndpoint("s-1", "127.0.0.1:1", "taller"))
	config, err := readTestConfig(t, testConfig(t, p), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	config.Name, config.Fleet = "n0", &fleet.Config{Keepers: []string{"127.0.0.1:1"}, Listen: "127.0.0.1:0", Copies: 1}
	relay, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.tcpListener.Close()
	defer relay.cancelCalls(errStopping)
	for name, transport := range map[string]http.RoundTripper{
		"lists": relay.platformClient.Transport, "notices": relay.notices.transport, "replicas": relay.replication.client.Transport,
		"session with the keepers": relay.newKeeperSession().Client.HTTP.Transport, "groups at the keepers": relay.newGroupKeeperClient().HTTP.Transport,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := newSurplusHost(t, surpluses["a second copy"], "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			for i := range 200 {
				id := []string{"good", "bad"}[i%2]
				req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader("x"))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Request-Id", id)
				response, err := transport.RoundTrip(req)
				if err != nil {
					t.Fatalf("call %d: %v", i, err)
				}
				response.Body.Close()
				if served := response.StatusCode == http.StatusOK; served != (id == "good") {
					t.Fatalf("call %d, %s: status %d", i, id, response.StatusCode)
				}
			}
		})
	}
}
