package platform

import (
	"net/http"
	"time"
)

// handed is one of two messages whose requests go out one behind the other.
type pipelinedRequest struct {
	message    *message
	id         string
	timeLeft   time.Duration
	status     int // of its answer; 0 for none
	retryAfter time.Duration
	outcome    string // it was left without one
	resend     bool   // its request may be written anew
}

// handBoth hands two messages in on one connection, the second one's request behind the first one's, and reads both answers.
// What gets none is handed in as a client does that sends one request at a time.
func (c *Clients) submitPipelined(first, second *message) {
	relay, addr := c.Relays.next()
	if relay == "" { // none is up
		c.inProgress.Go(func() { c.submit(first, "") })
		c.submit(second, "")
		return
	}
	pair := []*pipelinedRequest{{message: first}, {message: second}}
	var requests []byte
	for _, h := range pair {
		h.timeLeft = h.message.class.Deadline - time.Since(h.message.createdAt)
		h.id = c.startSubmission(h.message, relay, h.timeLeft)
		requests = append(requests, h.message.request(h.id, "", h.timeLeft)...)
	}
	c.exchange(pair, requests, relay, addr)
	for _, h := range pair {
		c.inProgress.Go(func() { c.finishPipelined(h, relay, addr) })
	}
}

// exchange writes the requests and reads the answers, as far as they come.
func (c *Clients) exchange(pair []*pipelinedRequest, requests []byte, relay, addr string) {
	deadline := time.Now().Add(answerTimeout)
	conn, err := c.connect(pair[0].message.client, relay, addr, deadline, false)
	if err != nil {
		for _, h := range pair {
			h.outcome = noConnection
		}
		return
	}
	conn.send(requests, deadline)
	var last *http.Response
	for i, h := range pair {
		resp, err := conn.readAnswer()
		if err != nil {
			outcome, resend := conn.giveUp(deadline)
			for _, rest := range pair[i:] {
				rest.outcome, rest.resend = outcome, resend
			}
			return
		}
		h.status, h.retryAfter = resp.StatusCode, c.recordAnswer(h.id, relay, conn, resp)
		last = resp
	}
	c.releaseConn(pair[0].message.client, relay, conn, last)
}

// goOn does for one message what comes after the exchange.
func (c *Clients) finishPipelined(h *pipelinedRequest, relay, addr string) {
	if h.resend {
		h.status, h.retryAfter, h.outcome = c.try(h.message, h.id, relay, addr, "", h.timeLeft)
	}
	if retryMark, retry := c.finishSubmission(h.message, h.id, relay, h.status, h.retryAfter, h.outcome); retry {
		c.submit(h.message, retryMark)
	}
}
