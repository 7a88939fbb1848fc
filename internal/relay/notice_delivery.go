package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/bits"
	"net/http"
	"slices"
	"time"
)

// The platform answers a POST of notices at once. A POST that has no answer after a short time was most likely sent on
// a connection that is dead but was not closed. The same POST is then sent on a new connection (a hedged request):
// accepting a notice twice does no harm, and accepting it late breaks the limit of 300 ms.
const (
	// noticeRetryInterval is the longest time from one attempt at a batch to the next.
	noticeRetryInterval = 80 * time.Millisecond
	// noticeBackoff is the pause after the first failed attempt. It doubles with each failure, up to
	// noticeRetryInterval.
	noticeBackoff = 10 * time.Millisecond
	// noticeTimeout is the time limit of one attempt.
	noticeTimeout = time.Second
)

// errUnanswered reports that an unanswered attempt was cancelled for a later one.
var errUnanswered = errors.New("no answer from the platform yet")

// noticeAttempt is one POST of a batch.
type noticeAttempt struct {
	addr   string
	cancel context.CancelFunc
	err    error // set once it has ended
}

// rejectedError reports an answer of the platform that does not accept a batch.
type rejectedError struct{ status int }

func (e *rejectedError) Error() string {
	return fmt.Sprintf("platform answered with status %d", e.status)
}

// Remedy returns what an operator can do about the error.
func (e *rejectedError) Remedy() string {
	return "see the platform's log for why it does not accept notices; they are sent again until it does"
}

// noticeDelivery sends one batch until the platform has accepted it.
type noticeDelivery struct {
	sender    *noticeSender
	batch     noticeBatch
	running   []*noticeAttempt // oldest first; at most two, the second one only with a hedge
	ownsHedge bool             // it holds one of the sender's hedges
	ended     chan *noticeAttempt
	nextTimer *time.Timer // fires when the next attempt is due
	nextAt    time.Time
	failures  uint
}

// deliver sends a batch until the platform has accepted it. It returns an error only if the context ends first.
func (s *noticeSender) deliver(ctx context.Context, batch noticeBatch) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels attempts that are still running
	_, valid := s.addresses.current()
	delivery := &noticeDelivery{sender: s, batch: batch, ended: make(chan *noticeAttempt), nextTimer: time.NewTimer(noticeRetryInterval)}
	defer delivery.nextTimer.Stop()
	defer delivery.releaseHedge()
	delivery.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-valid.Done(): // the platform's address has changed
			delivery.cancelAll()
			_, valid = s.addresses.current()
			delivery.restart(ctx)
		case <-delivery.nextTimer.C:
			if delivery.prepareAttempt() {
				delivery.restart(ctx)
			} else {
				delivery.scheduleNext(noticeRetryInterval)
			}
		case a := <-delivery.ended:
			if a.err == nil {
				return nil
			}
			delivery.attemptFailed(a)
		}
	}
}

// restart starts another attempt, on a connection that has not been idle.
func (d *noticeDelivery) restart(ctx context.Context) {
	d.sender.transport.CloseIdleConnections()
	d.start(ctx)
}

// start starts an attempt, and sets the time of the next one.
func (d *noticeDelivery) start(ctx context.Context) {
	attemptCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
	addr, _ := d.sender.addresses.current()
	attempt := &noticeAttempt{addr: addr, cancel: cancel}
	d.running = append(d.running, attempt)
	go func() {
		defer cancel()
		attempt.err = d.sender.post(attemptCtx, addr, d.batch.body)
		select {
		case d.ended <- attempt:
		case <-ctx.Done():
		}
	}()
	d.scheduleNext(noticeRetryInterval)
}

func (d *noticeDelivery) scheduleNext(after time.Duration) {
	d.nextAt = time.Now().Add(after)
	d.nextTimer.Reset(after)
}

// prepareAttempt reports whether one more attempt may start, and cancels the second running one to that end. The oldest
// attempt is left running until its own time limit, since the platform may just be slow.
func (d *noticeDelivery) prepareAttempt() bool {
	switch len(d.running) {
	case 0:
		return true
	case 1:
		return d.acquireHedge()
	}
	second := d.running[1]
	d.running = d.running[:1]
	second.cancel()
	d.warn(errUnanswered)
	return true
}

// acquireHedge reports whether this batch may have a second attempt beside the first.
func (d *noticeDelivery) acquireHedge() bool {
	select {
	case d.sender.hedges <- struct{}{}:
		d.ownsHedge = true
	default:
	}
	return d.ownsHedge
}

// releaseHedge returns the hedge, if this batch has one.
func (d *noticeDelivery) releaseHedge() {
	if d.ownsHedge {
		<-d.sender.hedges
		d.ownsHedge = false
	}
}

func (d *noticeDelivery) cancelAll() {
	d.releaseHedge()
	for _, a := range d.running {
		a.cancel()
	}
	d.running = nil
}

// attemptFailed schedules the next attempt earlier after a failed one.
func (d *noticeDelivery) attemptFailed(attempt *noticeAttempt) {
	i := slices.Index(d.running, attempt)
	if i < 0 { // it was cancelled
		return
	}
	d.running = slices.Delete(d.running, i, i+1)
	d.releaseHedge()
	if rejected := (*rejectedError)(nil); !errors.As(attempt.err, &rejected) {
		d.sender.addresses.unreachable(attempt.addr)
	}
	pause := min(noticeBackoff<<min(d.failures, 8), noticeRetryInterval)
	if time.Now().Add(pause).Before(d.nextAt) {
		d.scheduleNext(pause)
	}
	d.warn(attempt.err)
}

// warn counts a failure, and logs it if the count is a power of two, since failures may continue for a long time.
func (d *noticeDelivery) warn(err error) {
	d.failures++
	if bits.OnesCount(d.failures) == 1 {
		slog.Warn("platform did not accept notices", "notices", len(d.batch.notices), "attempts", d.failures, "err", err)
	}
}

// attemptKey is the key of a context value that holds the context itself.
type attemptKey struct{}

// attemptContext returns the context of the attempt for which a connection is dialed. The context that net/http passes
// to a dialer outlives its request, so that connections to a machine which does not respond would pile up.
func attemptContext(dialContext context.Context) context.Context {
	if ctx, ok := dialContext.Value(attemptKey{}).(context.Context); ok {
		return ctx
	}
	return dialContext
}

// post sends one POST.
func (s *noticeSender) post(ctx context.Context, addr string, body []byte) error {
	ctx = context.WithValue(ctx, attemptKey{}, ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/status", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return &rejectedError{resp.StatusCode}
	}
	return nil
}
