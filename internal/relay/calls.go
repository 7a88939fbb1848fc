package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/settings"
)

var (
	errTimeout  = errors.New("time-out")
	errCalled   = errors.New("called off")
	errStopping = errors.New("relay stops")
)

// newTransport returns the client side towards hosts. It keeps so many idle connections at most.
func newTransport(set *settings.Settings, conns int, dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &hostConn{Conn: c}, nil
		},
		MaxIdleConns: conns,
		// A host may get all of the slots at once; the library's 2 would close the rest after each call.
		MaxIdleConnsPerHost: set.Workers,
		// Hosts end idle connections; a request that crosses that is lost as a reset.
		IdleConnTimeout:    set.ConnIdleTimeout - min(500*time.Millisecond, set.ConnIdleTimeout/4),
		DisableCompression: true,
		// The library's 10 MB for each call would put the relay's memory in the hands of its hosts.
		MaxResponseHeaderBytes: 16 << 10,
	}
}

// start builds the call here in the loop, so that its goroutine shares nothing with it.
func (r *Relay) start(c *call) {
	now := r.now()
	c.began, c.agreed = time.Now(), r.agreed.Load()
	c.longestFirst()
	for i, m := range c.members {
		m.call = c
		c.timeout = max(c.timeout, c.sends[i].Timeout)
		if b := c.sends[i].Before; b > 0 && (c.before.IsZero() || r.began.Add(b).Before(c.before)) {
			c.before = r.began.Add(b)
		}
	}
	if len(c.members) == 1 {
		c.timeout = min(c.timeout, c.members[0].due-now) // the step that decided it may be a while ago
		c.body, c.key = c.members[0].Body, c.members[0].Key
	} else {
		c.body = make([]byte, 0, c.size)
		for _, m := range c.members {
			c.body = appendFrame(c.body, m)
		}
		// The members share one connection until the longest of their time-outs. One whose own time
		// is up before that gets its end then; before it, a restart would be a second copy. A call that has not
		// gone out whole by that time must not go: it would bear a message that has ended.
		for _, m := range c.members {
			if left := m.due - now; left < c.timeout {
				if due := r.began.Add(m.due); c.before.IsZero() || due.Before(c.before) {
					c.before = due
				}
				time.AfterFunc(left, func() {
					r.post(func() { r.ended(c, m, end{outcome: choice.Timeout}, told{took: left}) })
				})
			}
		}
	}
	ctx, cancel := context.WithCancelCause(r.calls)
	c.cancel = cancel
	r.out++
	ids := make([]string, len(c.members))
	for i, m := range c.members {
		ids[i] = m.ID
	}
	go func() {
		defer cancel(nil)
		ends, told := r.exchange(ctx, c, ids)
		if errors.Is(context.Cause(ctx), errStopping) {
			r.post(func() { r.out-- }) // no outcome: the journal has it as one that may have run
			return
		}
		r.post(func() {
			r.out--
			for i, m := range c.members {
				r.ended(c, m, ends[i], told)
			}
		})
	}()
}

// exchange makes one call and tells each member's end. The time it took is taken here, so
// that no delay of the loop is learnt as latency.
func (r *Relay) exchange(ctx context.Context, c *call, ids []string) (ends []end, t told) {
	left := c.timeout
	if !c.began.IsZero() { // this goroutine may have waited for a core since
		left -= time.Since(c.began)
	}
	ctx, stop := context.WithTimeoutCause(ctx, left, errTimeout)
	defer stop()
	all := func(o choice.Outcome) []end {
		ends := make([]end, len(ids))
		for i := range ends {
			ends[i].outcome = o
		}
		return ends
	}
	begin := time.Now()
	sent := begin
	a := r.send(ctx, stop, c, ids)
	// A kept connection that had ended before anything was written is no call yet: once more on another.
	for tries := 0; a.err != nil && a.never && a.reused && ctx.Err() == nil && !a.gated.Load() && tries < 3; tries++ {
		sent = time.Now()
		a = r.send(ctx, stop, c, ids)
	}
	t.took = time.Since(begin)
	if a.err == nil {
		defer a.resp.Body.Close()
		t.wait = retryAfter(a.resp.Header)
		c.host.waiting.heed(r.now() + t.wait)
		t.report = a.resp.Header.Get("X-Load")
		if len(ids) == 1 || a.resp.StatusCode != http.StatusOK {
			defer time.AfterFunc(drainIn, stop).Stop()
			a.body() // so that the connection is kept; its outcome does not wait for more
			ends = all(choice.Error)
			for i := range ends {
				ends[i] = single(a.resp, len(ids) > 1)
			}
			return ends, t
		}
		body, err := a.body()
		if t.took = time.Since(begin); err == nil {
			return batchEnds(body, ids), t
		}
		a.never, a.err = false, err
	}
	t.report = "" // what came with an answer that was cut off is not relied on, but for the wait
	t.stale = a.resp == nil && a.reused && time.Since(sent) < staleIn
	switch cause := context.Cause(ctx); {
	case a.gated.Load():
		t.wait = c.host.waiting.left(r.now())
		return all(choice.NotSent), t
	case len(ids) == 1 && a.out.delivered.Load():
		return all(choice.Served), t
	case a.never:
		return all(choice.NoConnection), t
	case cause == errCalled:
		return all(choice.Cancelled), t
	case cause == errTimeout:
		return all(choice.Timeout), t
	}
	return all(choice.Reset), t
}

// over tells whether a time has come; the zero time never does.
func over(at time.Time) bool { return !at.IsZero() && !time.Now().Before(at) }

// sending is what became of one request.
type sending struct {
	out    *hostRequest
	conn   *hostConn // nil if none came up
	resp   *http.Response
	err    error
	never  bool        // it certainly did not run; unsure counts as one that did
	reused bool        // the connection was kept from before
	gated  atomic.Bool // nothing may go there any more
}

// body reads the rest of the answer, as far as one may be long.
func (a *sending) body() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxBody))
	if err == nil && len(body) < maxBody && a.conn != nil {
		a.conn.asked.CompareAndSwap(a.out, nil) // unless it has the next request by now
	}
	return body, err
}

// send writes one request, and waits for the head of its answer.
func (r *Relay) send(ctx context.Context, giveUp func(), c *call, ids []string) *sending {
	a := &sending{out: newHostRequest(c.body, func() { r.figures.attempted(len(ids)) })}
	if len(ids) == 1 {
		a.out.giveUp = giveUp
	}
	a.out.admit = func() (func(), error) {
		leave, err := r.admit(c, len(ids))
		if err != nil {
			a.gated.Store(true)
			return nil, err
		}
		r.logRequest(ctx, c, ids)
		return leave, nil
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			a.reused = i.Reused
			if conn, ok := i.Conn.(*hostConn); ok {
				a.conn = conn
				conn.sending.Store(a.out)
			}
			// For what a slow host leaves unread; a kept connection still has the deadline of the call before.
			i.Conn.SetWriteDeadline(c.before)
		},
	})
	path := "/receive"
	if len(ids) > 1 {
		path = "/receive-many"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.host.addr+path, nil)
	if err != nil {
		a.never, a.err = true, err
		return a
	}
	req.Body, req.ContentLength = a.out.reader(), int64(len(c.body))
	if len(ids) == 1 {
		req.Header.Set("X-Request-Id", ids[0])
		if c.key != "" {
			req.Header.Set("Idempotency-Key", c.key)
		}
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, c.timeout.Milliseconds()), 10))
	if c.agreed != nil {
		req.Header.Set("X-Agreed", c.agreed.text)
	}
	a.resp, a.err = r.hostSide.Load().RoundTrip(req)
	if rest := a.out.rests.Load(); rest != nil {
		rest.Stop()
	}
	a.never = a.err != nil && a.out.neverRan()
	return a
}
