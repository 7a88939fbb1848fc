package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
)

// callAttempt is the state of one request to a host.
type callAttempt struct {
	request    *hostRequest
	conn       *hostConn // nil if no connection was established
	response   *http.Response
	err        error
	neverRan   bool        // the request certainly did not run; an uncertain one counts as one that did
	reusedConn bool        // the connection had served an earlier request
	withheld   atomic.Bool // the request was not written because sending was forbidden by then
}

// readBody reads the rest of the answer, up to maxBody bytes.
func (a *callAttempt) readBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxBodyBytes))
	if err == nil && len(body) < maxBodyBytes && a.conn != nil {
		a.conn.unanswered.CompareAndSwap(a.request, nil) // unless the connection already carries the next request
	}
	return body, err
}

// sendRequest writes one request, and waits for the header of its answer.
func (r *Relay) sendRequest(ctx context.Context, cancel func(), hostCall *call, ids []string) *callAttempt {
	attempt := &callAttempt{request: newHostRequest(hostCall.body, func() { r.metrics.countAttempts(len(ids)) })}
	if len(ids) == 1 {
		attempt.request.cancel = cancel
	}
	attempt.request.admit = func() (func(), error) {
		leave, err := r.beginSend(hostCall, len(ids))
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
			// The deadline applies if a slow host does not read the request. A reused connection still has the deadline
			// of its previous call, so it is set in any case.
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
