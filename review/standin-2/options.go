package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["options"] = playOptions }

// playOptions has a stranger send a request whose body holds the text of a message. No client ever sends that message.
func playOptions(r *rig) {
	honest := submission{ID: r.id(), Class: "order-msg", Key: r.id() + "k", Dest: 1, Deadline: 24000, Body: "an order"}
	h := r.newHost("e1", func(c call, w http.ResponseWriter, req *http.Request) {
		if c.ID != honest.ID { // no client handed it in
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(200 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	})
	p := r.newPlatform(endpoint{ID: "s-1", Addr: h.addr, Zone: "sibiu-dc1", Kind: "small-partners", Cell: 1, State: "active", Weight: 20})
	relay := r.startRelay(relaySpec{name: "n0", addr: freeAddr(), state: r.dir + "/state", platform: p.addr, known: p.known(), settings: settings(nil)})
	relay.awaitUp()

	if r.handIn(relay.addr, honest) != http.StatusAccepted {
		panic(unplayable{"a message of a client was not taken on"})
	}

	if r.trouble {
		inner := submission{ID: r.id(), Class: "order-msg", Key: r.id() + "k", Dest: 1, Deadline: 24000, Body: "an order that nobody gave"}.text()
		body := "0\r\n\r\n" + inner
		outer := fmt.Sprintf("OPTIONS * HTTP/1.1\r\nHost: api.internal\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(body), body)
		s, err := dialClient(relay.addr)
		check(err)
		r.log("a stranger sends %q", outer)
		s.conn.SetDeadline(time.Now().Add(3 * time.Second))
		io.WriteString(s.conn, outer)
		reader := bufio.NewReader(s.conn)
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				r.log("the stranger's connection ended: %v", err)
				break
			}
			io.Copy(io.Discard, resp.Body)
			r.log("the stranger got %s", resp.Status)
		}
	}
	time.Sleep(2 * time.Second)
	if len(h.callsOf(honest.ID)) != 1 {
		panic(unplayable{"the message of the client did not reach the endpoint"})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.calls {
		if c.ID != honest.ID {
			r.breaks("endpoint e1 got message %s, which stood in the body of another request and which no client sent", c.ID)
		}
	}
}
