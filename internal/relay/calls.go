package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/clientconn"
	"larchrouter/internal/settings"
)

var (
	errTimeout   = errors.New("time-out")
	errCancelled = errors.New("call cancelled")
	errStopping  = errors.New("relay is stopping")
)

// answerSettleTime is how long an endpoint's connection rests after an answer, for a surplus that follows separately.
const answerSettleTime = time.Millisecond

// newHostTransport returns the HTTP transport for calls to hosts, with at most maxIdleConns idle connections.
func newHostTransport(settings *settings.Settings, maxIdleConns int, dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			guarded := clientconn.New(conn, answerSettleTime)
			return &hostConn{Conn: guarded, guard: guarded}, nil
		},
		MaxIdleConns: maxIdleConns,
		// A single host may be given all call slots; net/http's default of 2 would close all but two of the connections
		// after each call.
		MaxIdleConnsPerHost: settings.Workers,
		// Hosts close idle connections. A request that is sent at the same moment is lost with a reset, so this side
		// closes them first.
		IdleConnTimeout:    settings.ConnIdleTimeout - min(500*time.Millisecond, settings.ConnIdleTimeout/4),
		DisableCompression: true,
		// net/http's default of 10 MB for each call would let hosts exhaust the relay's memory.
		MaxResponseHeaderBytes: 16 << 10,
	}
}

// startCall builds the request in the loop, so that the goroutine of the call shares no state with the loop.
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
		hostCall.timeout = min(hostCall.timeout, hostCall.members[0].due-now) // time may have passed since the step that decided on the call
		hostCall.body, hostCall.key = hostCall.members[0].Body, hostCall.members[0].Key
	} else {
		hostCall.body = make([]byte, 0, hostCall.size)
		for _, msg := range hostCall.members {
			hostCall.body = appendFrame(hostCall.body, msg)
		}
		// The members share one connection until the longest of their time-outs. A member with an earlier deadline is
		// given its result at that deadline. No retry may start before it, since that would be a second copy of the
		// message. A call that is not fully written by the earliest deadline must not be sent, since it would contain a
		// message that has ended.
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
			r.post(func() { r.callsInFlight-- }) // no outcome: in the journal the attempt stays one that may have run
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

// exchange makes one call and returns the result of each member. It measures the elapsed time itself, so that delays of
// the loop do not count as latency.
func (r *Relay) exchange(ctx context.Context, hostCall *call, ids []string) (results []memberResult, feedback hostFeedback) {
	remaining := hostCall.timeout
	if !hostCall.startedAt.IsZero() { // this goroutine may have waited for a CPU since then
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
	// A reused connection that closed before anything was written does not count as a call: try again on another one,
	// up to three times.
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
			attempt.readBody() // reads the rest, so that the connection can be reused; the outcome does not depend on it
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
	feedback.loadReport = "" // of a truncated answer, only the retry-after time is used
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

// deadlinePassed reports whether a deadline has passed. A zero deadline never passes.
func deadlinePassed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}
