package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// innerCase has peers connect that send something that is no proper request: by HTTP/1.0, with Transfer-Encoding and
// Content-Length at once. The chunk that is the body of each holds the text of another message. The rule is broken for
// each of these inner messages that reaches the endpoint.
func innerCase(w *world, trouble bool) (broken int, err error) {
	var servers []server
	for dest := range 7 {
		endpoint, err := w.newEndpoint(fmt.Sprintf("s-%d", dest), dest, 50*time.Millisecond, 0)
		if err != nil {
			return 0, err
		}
		servers = append(servers, endpoint)
	}
	d, err := w.newDiscovery("A", servers)
	if err != nil {
		return 0, err
	}
	r, err := w.newRelay(d, settings(class("order-msg", "deduplicated", 3, 24, 15)))
	if err != nil {
		return 0, err
	}
	if _, err := r.startProcess(); err != nil {
		return 0, err
	}
	var clients sync.WaitGroup
	var inner []string
	for i := range 12 {
		clients.Go(func() { r.send("order-msg", fmt.Sprintf("%032x", i), 0, 24*time.Second, "order confirmation") })
		time.Sleep(250 * time.Millisecond)
		if trouble && i%2 == 0 {
			id := fmt.Sprintf("5badbadbad%06x", i)
			if err := r.sendImproper(fmt.Sprintf("0ddba110dd%06x", i), id, 1+i/2); err != nil {
				return 0, err
			}
			inner = append(inner, id)
		}
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	for _, id := range inner {
		if calls := w.strays[id]; calls > 0 {
			broken++
			w.logLocked("BROKEN: %s, which only stood in the body of another request, came to an endpoint in %d calls", id, calls)
		}
	}
	w.logLocked("%d improper requests, %d inner messages came to an endpoint", len(inner), broken)
	w.mu.Unlock()
	return broken, nil
}

// sendImproper connects as a peer that is no client and sends one improper request.
func (r *relay) sendImproper(id, innerID string, dest int) error {
	head := func(proto, id, rest string) string {
		return "POST /api HTTP/" + proto + "\r\nHost: api.internal\r\nX-Request-Id: " + id + "\r\nX-Class: order-msg\r\nX-Tenant: sibiu\r\nX-Deadline-Ms: 5000\r\n" +
			fmt.Sprintf("X-Addressing: dest=%d\r\nIdempotency-Key: ", dest) + id + "\r\n" + rest + "\r\n"
	}
	text := head("1.1", innerID, "Content-Length: 7\r\n") + "invoice"
	size := fmt.Sprintf("%x\r\n", len(text))
	request := head("1.0", id, fmt.Sprintf("Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(size))) +
		size + text + "\r\n0\r\n\r\n"
	c, err := net.Dial("tcp4", r.listen)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	r.w.log("peer: sends %q", request)
	c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
	answer, _ := io.ReadAll(c)
	r.w.log("peer: reads %q", strings.TrimSpace(string(answer)))
	return nil
}
