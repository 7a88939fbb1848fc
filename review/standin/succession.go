package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// newLossyEndpoint starts an endpoint that runs each call. Of every second message the answer to the first call is lost:
// the connection is reset after the message has run.
func (w *world) newLossyEndpoint(name string, dest int) (server, error) {
	messages := 0
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return server{}, err
	}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		m := w.messages[id]
		if m == nil {
			w.mu.Unlock()
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if m.runs++; m.runs == 1 {
			messages++
		}
		lost := m.runs == 1 && messages%2 == 1
		if !lost && m.deliveredAt.IsZero() {
			m.deliveredAt = time.Now()
		}
		w.logLocked("%s: ran %s, run %d, answer lost %t", name, id, m.runs, lost)
		w.mu.Unlock()
		if !lost {
			return
		}
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			panic(err)
		}
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	})
	go http.Serve(l, handler)
	return server{ID: name, Addr: l.Addr().String(), Zone: "sibiu-dc1", Kind: "small-partners", Cell: dest, State: "active", Weight: 40}, nil
}

// clientsKnowAfter is how long after a new configuration clients begin to use it.
const clientsKnowAfter = 1200 * time.Millisecond

// successionCase replaces the configuration three times in quick succession: the class payment is dropped, a new class of
// that name with another effect is added, and the attempts are reduced. Clients go on by the first configuration for
// 1.2 s, as the pages say; by that a payment may run once only.
func successionCase(w *world, trouble bool) (broken int, err error) {
	endpoint, err := w.newLossyEndpoint("s-7", 7)
	if err != nil {
		return 0, err
	}
	d, err := w.newDiscovery("A", []server{endpoint})
	if err != nil {
		return 0, err
	}
	orders := class("order-msg", "deduplicated", 3, 24, 15)
	r, err := w.newRelay(d, settings(orders, class("payment", "at_most_once", 3, 8, 0)))
	if err != nil {
		return 0, err
	}
	process, err := r.startProcess()
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	dropped, added, reduced := settings(orders), settings(orders, class("payment", "idempotent", 3, 8, 0)), settings(orders, class("payment", "idempotent", 3, 8, 0))
	reduced["bounds"].(map[string]any)["max-attempts"] = 6
	begin := time.Now()
	next := func(after time.Duration, what string, settings map[string]any) {
		time.AfterFunc(after, func() {
			r.configuration["settings"] = settings
			if err := r.writeConfig(); err != nil {
				panic(err)
			}
			w.log("platform: new configuration (%s); SIGHUP", what)
			process.Process.Signal(syscall.SIGHUP)
		})
	}
	if trouble {
		next(0, "class payment dropped", dropped)
		next(300*time.Millisecond, "class payment added, idempotent", added)
		next(600*time.Millisecond, "6 attempts instead of 8", reduced)
	}
	var clients sync.WaitGroup
	for time.Since(begin) < clientsKnowAfter-100*time.Millisecond { // by the configuration before all of these
		clients.Go(func() { r.send("payment", "", 7, 8*time.Second, "payment") })
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(8*time.Second + 2*endSlack)
	w.log("relay: %s", r.metrics("svc.reloads"))
	w.mu.Lock()
	for _, m := range w.messages {
		if m.class == "payment" && m.runs > 1 {
			broken++
			w.logLocked("BROKEN: %s, handed in at %.3f as at_most_once, ran %d times", m.id, m.sentAt.Sub(w.start).Seconds(), m.runs)
		}
	}
	w.mu.Unlock()
	return broken + w.judgeEnds(), nil
}
