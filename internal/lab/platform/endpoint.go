package platform

import (
	"fmt"
	"math"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// endpoint is one server of a destination.
type endpoint struct {
	name, id       string // for example endpoint/3 in scenario and history, and s-3 in the list
	dest           *destination
	workers        int    // calls that it executes at the same time
	busy           int    // calls in execution
	waiting        []*job // queued calls, in order of arrival
	conns          int    // open connections
	drained        bool   // it refuses all calls because it is decommissioned
	faults         EndpointFaults
	appliedKeys    map[string]time.Time // idempotency keys of executed messages, with their times
	loadReport     string               // latest X-Load header, with its line end
	loadReportedAt time.Time
}

// job is a call that an endpoint has received.
type job struct {
	call  int64
	relay string
	conn  *link.Conn
	batch bool // a call with several messages
	ids   []string
	keys  []string
	cost  float64 // relative to a call with a single message
	done  func()  // must be called once, when the call has ended
}

func (e *endpoint) serve(relay string, c *link.Conn) {
	d := e.dest
	time.Sleep(time.Duration(d.partners.Draw.Handshake * float64(time.Second)))
	d.mu.Lock()
	overLimit := e.conns >= d.Conns
	e.conns++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		e.conns--
		d.mu.Unlock()
	}()
	const idleTimeout = 10 * time.Second
	c.SetReadDeadline(time.Now().Add(idleTimeout))
	var call int64
	serveRequests(c, maxBodyBytes, func(a *request) bool {
		c.SetReadDeadline(time.Time{})
		ended := make(chan struct{})
		call = e.receive(relay, a, overLimit, func() { close(ended) })
		select {
		case <-ended: // the answer has been written to the relay, or there will be none
		case <-c.PeerClosed(): // the relay has closed the connection
			d.partners.Record(history.Event{At: c.PeerClosedAt(), Kind: history.CallAbandoned, Relay: relay, Call: call})
			return false
		}
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		return !overLimit
	})
	if at := c.PeerClosedAt(); at > 0 && call > 0 { // the relay may have closed the connection while the last answer arrived, without having read it
		d.partners.Record(history.Event{At: at, Kind: history.CallAbandoned, Relay: relay, Call: call})
	}
}

// receive handles an arriving call: it executes, queues or refuses it. Calls on a connection over the limit are refused with 503.
func (e *endpoint) receive(relay string, a *request, overLimit bool, done func()) (call int64) {
	d, p := e.dest, e.dest.partners
	j := &job{call: p.calls.Add(1), relay: relay, conn: a.conn, done: done, cost: 1}
	bodies := [][]byte{a.body}
	var err error
	switch {
	case a.Method == "POST" && a.URL.Path == "/receive":
		j.ids, j.keys = []string{a.Header.Get("X-Request-Id")}, []string{a.Header.Get("Idempotency-Key")}
		if j.ids[0] == "" {
			err = fmt.Errorf("call without X-Request-Id")
		}
	case a.Method == "POST" && a.URL.Path == "/receive-many":
		j.batch = true
		j.ids, j.keys, bodies, err = parseFrames(a.body)
		j.cost += d.ItemCost * float64(len(j.ids)-1)
	default:
		err = fmt.Errorf("unexpected request %s %s", a.Method, a.URL.Path)
	}
	if err != nil {
		p.Record(history.Event{At: p.Clock.Now(), Kind: history.InvalidCall, Relay: relay, Endpoint: e.name, Text: err.Error()})
		e.answer(j, 400, 0)
		return j.call
	}
	event := history.Event{At: p.Clock.Now(), Kind: history.CallReceived, Relay: relay, Call: j.call, IDs: j.ids, Endpoint: e.name, Dest: d.Number,
		BegunAt: a.firstByteAt, CompleteAt: a.lastByteAt, Agreed: a.Header.Get("X-Agreed")}
	for i, b := range bodies {
		event.BodySums = append(event.BodySums, Checksum(append([]byte(j.keys[i]+"\n"), b...)))
	}
	p.Record(event)
	if j.batch && len(j.ids) > p.Draw.Kinds[d.Kind].PerCall {
		e.answer(j, 413, 0)
		return j.call
	}
	d.mu.Lock()
	now := time.Now()
	d.countArrival(relay, now)
	status, wait := 503, time.Duration(0)
	if !overLimit {
		status, wait = e.admit(j, now)
	}
	if status != 0 {
		d.mu.Unlock()
		e.answer(j, status, wait)
		return j.call
	}
	if e.waiting = append(e.waiting, j); e.busy < e.workers && d.outage != Hanging {
		e.startNext()
	}
	d.mu.Unlock()
	return j.call
}

// startNext starts the call that waits longest. The destination's lock must be held.
func (e *endpoint) startNext() {
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.start(next)
}

// start starts to execute a call. The destination's lock must be held.
func (e *endpoint) start(j *job) {
	d := e.dest
	e.busy++
	seconds := d.Median * math.Exp(d.Sigma*d.rand.NormFloat64()) * d.slowFactor * e.faults.SlowFactor / d.warmShare(time.Now()) * j.cost
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() { e.finish(j) })
}

// finish ends the execution of a call, answers it, and starts the next one in the queue.
func (e *endpoint) finish(j *job) {
	d := e.dest
	now := time.Now()
	d.mu.Lock()
	e.busy--
	if d.outage == Hanging { // it is executed anew after the outage, before those that came later
		e.waiting = append([]*job{j}, e.waiting...)
		d.mu.Unlock()
		return
	}
	if len(e.waiting) > 0 && e.busy < e.workers {
		e.startNext()
	}
	if d.outage == Refusing || d.collapsed { // the destination failed during the call
		d.mu.Unlock()
		j.done()
		return
	}
	status, failed := 200, max(d.errorShare, e.faults.ErrorShare)
	if d.rand.Float64() < max(d.partners.Draw.Error, failed) {
		status = 500
	} else {
		for _, key := range j.keys {
			if key != "" {
				e.appliedKeys[key] = now
			}
		}
		if len(e.appliedKeys) > 4096 {
			for key, at := range e.appliedKeys {
				if now.Sub(at) > time.Minute {
					delete(e.appliedKeys, key)
				}
			}
		}
	}
	d.mu.Unlock()
	if status == 200 {
		d.partners.Record(history.Event{At: d.partners.Clock.At(now), Kind: history.CallTookEffect, Call: j.call})
	}
	e.answer(j, status, 0)
}
