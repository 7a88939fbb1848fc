package main

import (
	"io"
	"net"
	"net/http"
	"time"
)

// newEndpoint starts a sound endpoint that runs each call for the given time and answers 200. A message that no client
// handed in gets 400. For the time shut, from now on, the endpoint is shut: it answers 503 and runs nothing.
func (w *world) newEndpoint(name string, dest int, takes, shut time.Duration) (server, error) {
	opensAt := time.Now().Add(shut)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return server{}, err
	}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		id := req.Header.Get("X-Request-Id")
		if err != nil || req.URL.Path != "/receive" || id == "" {
			w.log("%s: call to %s that is not in the form of the pages", name, req.URL.Path)
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		w.logLocked("%s: call with %s and the body %q", name, id, body)
		stray := w.messages[id] == nil
		if stray {
			w.strays[id]++
			w.logLocked("%s: %s is answered 400, no client handed it in", name, id)
		}
		w.mu.Unlock()
		if stray {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if time.Now().Before(opensAt) {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(takes)
		w.mu.Lock()
		if m := w.messages[id]; m != nil {
			if m.runs++; m.deliveredAt.IsZero() && req.Context().Err() == nil { // the relay still waits for the answer
				m.deliveredAt = time.Now()
			}
		}
		w.logLocked("%s: ran %s", name, id)
		w.mu.Unlock()
	})
	go http.Serve(l, handler)
	return server{ID: name, Addr: l.Addr().String(), Zone: "sibiu-dc1", Kind: "small-partners", Cell: dest, State: "active", Weight: 40}, nil
}

// endSlack is how long after its time is up a message's end may come: 300 ms, and 50 ms for each limit on sockets.
const endSlack = 350 * time.Millisecond

// judgeEnds records the messages that were taken on and have neither been delivered nor ended by a notice in time, and
// returns their number. A message that its client has not heard to be taken on counts for nothing.
func (w *world) judgeEnds() (broken int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	accepted := 0
	for _, m := range w.messages {
		if m.acceptedAt.IsZero() {
			continue
		}
		accepted++
		limit := m.due.Add(endSlack)
		inTime := func(at time.Time) bool { return !at.IsZero() && !at.After(limit) }
		if time.Now().Before(limit) || inTime(m.deliveredAt) || inTime(m.noticeAt) {
			continue
		}
		broken++
		w.logLocked("BROKEN: %s was taken on at %.3f, its time was up at %.3f, and at %.3f it has no end", m.id, m.acceptedAt.Sub(w.start).Seconds(),
			m.due.Sub(w.start).Seconds(), limit.Sub(w.start).Seconds())
	}
	w.logLocked("%d messages handed in, %d taken on, %d of these without an end in time", len(w.messages), accepted, broken)
	return broken
}
