package platform

import (
	"net/http"
	"time"
)

// handed is one of two messages whose requests go out one behind the other.
type handed struct {
	m      *message
	id     string
	left   time.Duration
	status int // of its answer; 0 for none
	after  time.Duration
	how    string // it was left without one
	anew   bool   // its request may be written anew
}

// handBoth hands two messages in on one connection, the second one's request behind the first one's, and reads both answers.
// What gets none is handed in as a client does that sends one request at a time.
func (c *Clients) handBoth(first, second *message) {
	relay, addr := c.Front.next()
	if relay == "" { // none is up
		c.wait.Go(func() { c.hand(first, "") })
		c.hand(second, "")
		return
	}
	both := []*handed{{m: first}, {m: second}}
	var requests []byte
	for _, h := range both {
		h.left = h.m.class.Deadline - time.Since(h.m.begun)
		h.id = c.begin(h.m, relay, h.left)
		requests = append(requests, h.m.request(h.id, "", h.left)...)
	}
	c.exchange(both, requests, relay, addr)
	for _, h := range both {
		c.wait.Go(func() { c.goOn(h, relay, addr) })
	}
}

// exchange writes the requests and reads the answers, as far as they come.
func (c *Clients) exchange(both []*handed, requests []byte, relay, addr string) {
	end := time.Now().Add(patience)
	conn, err := c.connect(both[0].m.client, relay, addr, end, false)
	if err != nil {
		for _, h := range both {
			h.how = noConnection
		}
		return
	}
	conn.send(requests, end)
	var last *http.Response
	for i, h := range both {
		resp, err := conn.answer()
		if err != nil {
			how, anew := conn.ended(end)
			for _, rest := range both[i:] {
				rest.how, rest.anew = how, anew
			}
			return
		}
		h.status, h.after = resp.StatusCode, c.heard(h.id, relay, conn, resp)
		last = resp
	}
	c.keep(both[0].m.client, relay, conn, last)
}

// goOn does for one message what comes after the exchange.
func (c *Clients) goOn(h *handed, relay, addr string) {
	if h.anew {
		h.status, h.after, h.how = c.try(h.m, h.id, relay, addr, "", h.left)
	}
	if mark, again := c.settle(h.m, h.id, relay, h.status, h.after, h.how); again {
		c.hand(h.m, mark)
	}
}
