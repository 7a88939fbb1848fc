package platform

import (
	"net/http"
	"time"
)

// pipelinedRequest is one of two requests that are sent on one connection without waiting for the first answer.
type pipelinedRequest struct {
	message    *message
	id         string
	timeLeft   time.Duration
	status     int // status of its answer; 0 for none
	retryAfter time.Duration
	outcome    string // why there is no answer; empty if there is one
	resend     bool   // the request may be sent again on another connection
}

// submitPipelined submits two messages on one connection, both requests before the first answer, and reads both answers. A
// message without an answer is then submitted as by a client that sends one request at a time.
func (c *Clients) submitPipelined(first, second *message) {
	relay, addr := c.Relays.next()
	if relay == "" { // no relay is usable
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

// exchange sends the requests and reads the answers up to the first that is missing.
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

// finishPipelined handles the outcome of the exchange for one of the messages: it sends the request again if it may, and
// submits the message again if the client does.
func (c *Clients) finishPipelined(h *pipelinedRequest, relay, addr string) {
	if h.resend {
		h.status, h.retryAfter, h.outcome = c.try(h.message, h.id, relay, addr, "", h.timeLeft)
	}
	if retryMark, retry := c.finishSubmission(h.message, h.id, relay, h.status, h.retryAfter, h.outcome); retry {
		c.submit(h.message, retryMark)
	}
}
