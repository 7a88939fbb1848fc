package platform

import (
	"fmt"
	"math"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// endpoint is one machine of a destination.
type endpoint struct {
	name, id string // endpoint/3 in scenario and history, s-3 on the list
	of       *partner
	workers  int
	busy     int
	waiting  []*job
	conns    int
	refuses  bool // it has drained
	trouble  Trouble
	applied  map[string]time.Time // keys that took effect
	report   string
	reported time.Time
}

// job is a call that an endpoint has taken.
type job struct {
	call   int64
	relay  string
	conn   *link.Conn
	many   bool
	ids    []string
	keys   []string
	weight float64
	done   func() // once
}

func (e *endpoint) serve(relay string, c *link.Conn) {
	d := e.of
	time.Sleep(time.Duration(d.all.Draw.Handshake * float64(time.Second)))
	d.mu.Lock()
	over := e.conns >= d.Conns
	e.conns++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		e.conns--
		d.mu.Unlock()
	}()
	const idle = 10 * time.Second
	c.SetReadDeadline(time.Now().Add(idle))
	var call int64
	requests(c, maxBody, func(a *asked) bool {
		c.SetReadDeadline(time.Time{})
		ended := make(chan struct{})
		call = e.take(relay, a, over, func() { close(ended) })
		select {
		case <-ended: // the answer is written at the front, or there will be none
		case <-c.PeerClosed(): // whether the relay still waits is known at the front alone
			d.all.Record(history.Event{At: c.PeerClosedAt(), Kind: history.CallAbandoned, Relay: relay, Call: call})
			return false
		}
		c.SetReadDeadline(time.Now().Add(idle))
		return !over
	})
	if at := c.PeerClosedAt(); at > 0 && call > 0 { // perhaps as the last answer came, and without having read it
		d.all.Record(history.Event{At: at, Kind: history.CallAbandoned, Relay: relay, Call: call})
	}
}

// take decides what becomes of a call, as it comes. One on a connection too many is turned away.
func (e *endpoint) take(relay string, a *asked, over bool, done func()) (call int64) {
	d, p := e.of, e.of.all
	j := &job{call: p.calls.Add(1), relay: relay, conn: a.conn, done: done, weight: 1}
	bodies := [][]byte{a.body}
	var err error
	switch {
	case a.Method == "POST" && a.URL.Path == "/receive":
		j.ids, j.keys = []string{a.Header.Get("X-Request-Id")}, []string{a.Header.Get("Idempotency-Key")}
		if j.ids[0] == "" {
			err = fmt.Errorf("a call without id")
		}
	case a.Method == "POST" && a.URL.Path == "/receive-many":
		j.many = true
		j.ids, j.keys, bodies, err = frames(a.body)
		j.weight += d.ItemCost * float64(len(j.ids)-1)
	default:
		err = fmt.Errorf("%s %s", a.Method, a.URL.Path)
	}
	if err != nil {
		p.Record(history.Event{At: p.Clock.Now(), Kind: history.InvalidCall, Relay: relay, Endpoint: e.name, Text: err.Error()})
		e.answer(j, 400, 0)
		return j.call
	}
	came := history.Event{At: p.Clock.Now(), Kind: history.CallReceived, Relay: relay, Call: j.call, IDs: j.ids, Endpoint: e.name, Dest: d.Number,
		BegunAt: a.begun, CompleteAt: a.whole, Agreed: a.Header.Get("X-Agreed")}
	for i, b := range bodies {
		came.BodySums = append(came.BodySums, Sum(append([]byte(j.keys[i]+"\n"), b...)))
	}
	p.Record(came)
	if j.many && len(j.ids) > p.Draw.Kinds[d.Kind].PerCall {
		e.answer(j, 413, 0)
		return j.call
	}
	d.mu.Lock()
	now := time.Now()
	d.count(relay, now)
	status, wait := 503, time.Duration(0)
	if !over {
		status, wait = e.admit(j, now)
	}
	if status != 0 {
		d.mu.Unlock()
		e.answer(j, status, wait)
		return j.call
	}
	if e.busy < e.workers {
		e.begin(j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	d.mu.Unlock()
	return j.call
}

// begin starts on a call. The lock is held.
func (e *endpoint) begin(j *job) {
	d := e.of
	e.busy++
	takes := d.Median * math.Exp(d.Sigma*d.rand.NormFloat64()) * d.slow * e.trouble.Slow / d.warmth(time.Now()) * j.weight
	time.AfterFunc(time.Duration(takes*float64(time.Second)), func() { e.finish(j) })
}

// finish ends a call that has run, and starts on the next.
func (e *endpoint) finish(j *job) {
	d := e.of
	now := time.Now()
	d.mu.Lock()
	e.busy--
	if len(e.waiting) > 0 && e.busy < e.workers {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.begin(next)
	}
	if d.out || d.fallen { // its machine went down under it
		d.mu.Unlock()
		j.done()
		return
	}
	status, failed := 200, max(d.fails, e.trouble.Fails)
	if d.rand.Float64() < max(d.all.Draw.Error, failed) {
		status = 500
	} else {
		for _, key := range j.keys {
			if key != "" {
				e.applied[key] = now
			}
		}
		if len(e.applied) > 4096 {
			for key, at := range e.applied {
				if now.Sub(at) > time.Minute {
					delete(e.applied, key)
				}
			}
		}
	}
	d.mu.Unlock()
	if status == 200 {
		d.all.Record(history.Event{At: d.all.Clock.At(now), Kind: history.CallTookEffect, Call: j.call})
	}
	e.answer(j, status, 0)
}
