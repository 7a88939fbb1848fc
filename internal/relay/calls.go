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
	errTimeout   = errors.New("time-out")
	errCancelled = errors.New("called off")
	errStopping  = errors.New("relay stops")
)

// newTransport returns the client side towards hosts. It keeps so many idle connections at most.
func newHostTransport(settings *settings.Settings, maxIdleConns int, dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &hostConn{Conn: conn}, nil
		},
		MaxIdleConns: maxIdleConns,
		// A host may get all of the slots at once; the library's 2 would close the rest after each call.
		MaxIdleConnsPerHost: settings.Workers,
		// Hosts end idle connections; a request that crosses that is lost as a reset.
		IdleConnTimeout:    settings.IdleConn - min(500*time.Millisecond, settings.IdleConn/4),
		DisableCompression: true,
		// The library's 10 MB for each call would put the relay's memory in the hands of its hosts.
		MaxResponseHeaderBytes: 16 << 10,
	}
}

// start builds the call here in the loop, so that its goroutine shares nothing with it.
func (r *Relay) startCall(hostCall *call) {
	now := r.now()
	hostCall.startedAt, hostCall.agreed = time.Now(), r.currentAgreed.Load()
	hostCall.putLongestFirst()
	for i, msg := range hostCall.members {
		msg.call = hostCall
		hostCall.timeout = max(hostCall.timeout, hostCall.sends[i].Timeout)
		if before := hostCall.sends[i].Before; before > 0 && (hostCall.writeBy.IsZero() || r.startedAt.Add(before).Before(hostCall.writeBy)) {
			hostCall.writeBy = r.startedAt.Add(before)
		}
	}
	if len(hostCall.members) == 1 {
		hostCall.timeout = min(hostCall.timeout, hostCall.members[0].due-now) // the step that decided it may be a while ago
		hostCall.body, hostCall.key = hostCall.members[0].Body, hostCall.members[0].Key
	} else {
		hostCall.body = make([]byte, 0, hostCall.size)
		for _, msg := range hostCall.members {
			hostCall.body = appendFrame(hostCall.body, msg)
		}
		// The members share one connection until the longest of their time-outs. One whose own time
		// is up before that gets its end then; before it, a restart would be a second copy. A call that has not
		// gone out whole by that time must not go: it would bear a message that has ended.
		for _, msg := range hostCall.members {
			if remaining := msg.due - now; remaining < hostCall.timeout {
				if deadline := r.startedAt.Add(msg.due); hostCall.writeBy.IsZero() || deadline.Before(hostCall.writeBy) {
					hostCall.writeBy = deadline
				}
				time.AfterFunc(remaining, func() {
					r.post(func() {
						r.attemptEnded(hostCall, msg, memberResult{outcome: choice.Timeout}, hostFeedback{elapsed: remaining})
					})
				})
			}
		}
	}
	ctx, cancel := context.WithCancelCause(r.callContext)
	hostCall.cancel = cancel
	r.callsInFlight++
	ids := make([]string, len(hostCall.members))
	for i, msg := range hostCall.members {
		ids[i] = msg.ID
	}
	go func() {
		defer cancel(nil)
		results, feedback := r.exchange(ctx, hostCall, ids)
		if errors.Is(context.Cause(ctx), errStopping) {
			r.post(func() { r.callsInFlight-- }) // no outcome: the journal has it as one that may have run
			return
		}
		r.post(func() {
			r.callsInFlight--
			for i, msg := range hostCall.members {
				r.attemptEnded(hostCall, msg, results[i], feedback)
			}
		})
	}()
}

// exchange makes one call and tells each member's end. The time it took is taken here, so
// that no delay of the loop is learnt as latency.
func (r *Relay) exchange(ctx context.Context, hostCall *call, ids []string) (results []memberResult, feedback hostFeedback) {
	remaining := hostCall.timeout
	if !hostCall.startedAt.IsZero() { // this goroutine may have waited for a core since
		remaining -= time.Since(hostCall.startedAt)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, remaining, errTimeout)
	defer cancel()
	sameResult := func(outcome choice.Outcome) []memberResult {
		results := make([]memberResult, len(ids))
		for i := range results {
			results[i].outcome = outcome
		}
		return results
	}
	startedAt := time.Now()
	sentAt := startedAt
	attempt := r.sendRequest(ctx, cancel, hostCall, ids)
	// A kept connection that had ended before anything was written is no call yet: once more on another.
	for tries := 0; attempt.err != nil && attempt.neverRan && attempt.reusedConn && ctx.Err() == nil && !attempt.withheld.Load() && tries < 3; tries++ {
		sentAt = time.Now()
		attempt = r.sendRequest(ctx, cancel, hostCall, ids)
	}
	feedback.elapsed = time.Since(startedAt)
	if attempt.err == nil {
		defer attempt.response.Body.Close()
		feedback.retryAfter = parseRetryAfter(attempt.response.Header)
		hostCall.host.wait.extend(r.now() + feedback.retryAfter)
		feedback.loadReport = attempt.response.Header.Get("X-Load")
		if len(ids) == 1 || attempt.response.StatusCode != http.StatusOK {
			defer time.AfterFunc(drainTimeout, cancel).Stop()
			attempt.readBody() // so that the connection is kept; its outcome does not wait for more
			results = sameResult(choice.Error)
			for i := range results {
				results[i] = singleResult(attempt.response, len(ids) > 1)
			}
			return results, feedback
		}
		body, err := attempt.readBody()
		if feedback.elapsed = time.Since(startedAt); err == nil {
			return parseBatchResults(body, ids), feedback
		}
		attempt.neverRan, attempt.err = false, err
	}
	feedback.loadReport = "" // what came with an answer that was cut off is not relied on, but for the wait
	feedback.staleConn = attempt.response == nil && attempt.reusedConn && time.Since(sentAt) < staleConnWindow
	switch cause := context.Cause(ctx); {
	case attempt.withheld.Load():
		feedback.retryAfter = hostCall.host.wait.remaining(r.now())
		return sameResult(choice.NotSent), feedback
	case len(ids) == 1 && attempt.request.delivered.Load():
		return sameResult(choice.Served), feedback
	case attempt.neverRan:
		return sameResult(choice.NoConnection), feedback
	case cause == errCancelled:
		return sameResult(choice.Cancelled), feedback
	case cause == errTimeout:
		return sameResult(choice.Timeout), feedback
	}
	return sameResult(choice.Reset), feedback
}

// over tells whether a time has come; the zero time never does.
func deadlinePassed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// sending is what became of one request.
type callAttempt struct {
	request    *hostRequest
	conn       *hostConn // nil if none came up
	response   *http.Response
	err        error
	neverRan   bool        // it certainly did not run; unsure counts as one that did
	reusedConn bool        // the connection was kept from before
	withheld   atomic.Bool // nothing may go there any more
}

// body reads the rest of the answer, as far as one may be long.
func (a *callAttempt) readBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxBody))
	if err == nil && len(body) < maxBody && a.conn != nil {
		a.conn.unanswered.CompareAndSwap(a.request, nil) // unless it has the next request by now
	}
	return body, err
}

// send writes one request, and waits for the head of its answer.
func (r *Relay) sendRequest(ctx context.Context, cancel func(), hostCall *call, ids []string) *callAttempt {
	attempt := &callAttempt{request: newHostRequest(hostCall.body, func() { r.figures.attempted(len(ids)) })}
	if len(ids) == 1 {
		attempt.request.cancel = cancel
	}
	attempt.request.admit = func() (func(), error) {
		leave, err := r.admit(hostCall, len(ids))
		if err != nil {
			attempt.withheld.Store(true)
			return nil, err
		}
		r.logRequest(ctx, hostCall, ids)
		return leave, nil
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			attempt.reusedConn = info.Reused
			if conn, ok := info.Conn.(*hostConn); ok {
				attempt.conn = conn
				conn.writing.Store(attempt.request)
			}
			// For what a slow host leaves unread; a kept connection still has the deadline of the call before.
			info.Conn.SetWriteDeadline(hostCall.writeBy)
		},
	})
	path := "/receive"
	if len(ids) > 1 {
		path = "/receive-many"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostCall.host.addr+path, nil)
	if err != nil {
		attempt.neverRan, attempt.err = true, err
		return attempt
	}
	req.Body, req.ContentLength = attempt.request.requestBody(), int64(len(hostCall.body))
	if len(ids) == 1 {
		req.Header.Set("X-Request-Id", ids[0])
		if hostCall.key != "" {
			req.Header.Set("Idempotency-Key", hostCall.key)
		}
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, hostCall.timeout.Milliseconds()), 10))
	if hostCall.agreed != nil {
		req.Header.Set("X-Agreed", hostCall.agreed.header)
	}
	attempt.response, attempt.err = r.hostTransport.Load().RoundTrip(req)
	if timer := attempt.request.answerTimer.Load(); timer != nil {
		timer.Stop()
	}
	attempt.neverRan = attempt.err != nil && attempt.request.neverRan()
	return attempt
}
