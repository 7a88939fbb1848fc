package relay

import (
	"context"
	"sync"
	"time"

	"larchrouter/internal/discovery"
)

// Serve runs the relay until Drain has ended it.
func (r *Relay) Serve() {
	ctx, cancel := context.WithCancel(context.Background())
	r.endPlatform = cancel
	if r.heritage != nil {
		r.attend(r.heritage)
	}
	r.awaitHeir()
	go r.list.Follow(ctx, func(l discovery.List) { r.post(func() { r.listed(l) }) })
	go r.notices.run(ctx)
	if r.kept != nil {
		go r.carry(ctx, r.session())
	}
	go r.clientServer.Serve(r.clientListener)
	r.whenReady()
	r.loop()
	close(r.halted)
	cancel()
	if r.heir != nil {
		r.heir.finish()
	}
	if r.heirs != nil {
		r.heirs.Close()
	}
	r.endCalls(errStopping)
	r.closeAfterResponse.Store(true)
	r.closeConnections()
}

// endConnections ends all that came in, on both addresses at once: the time for it is short.
func (r *Relay) closeConnections() {
	var closing sync.WaitGroup
	closing.Go(func() { r.clientListener.closeAll(r.clientServer) })
	if r.adminServer != nil {
		closing.Go(func() { r.adminListener.closeAll(r.adminServer) })
	}
	closing.Wait()
}

// The times of an orderly stop, from SIGTERM. New connections come for 0.4 s
// more, SIGKILL after 3.7 s.
const (
	closeIdleAfter       = 500 * time.Millisecond  // then connections end between requests
	stopAcceptAfter      = 800 * time.Millisecond  // then those that wait are accepted, and no more
	handedOverCloseAfter = 2300 * time.Millisecond // after a hand-over: then connections without a request end
	stopCallsAfter       = 2600 * time.Millisecond // then no more calls go out
	stopAfter            = 3300 * time.Millisecond // then calls still out are left to the journal
)

// Drain stops the relay in order: it takes on and delivers while clients still
// come, lets calls out finish, and leaves the rest to the journal.
func (r *Relay) Drain() {
	r.draining.Store(true)
	start, closeAfter, acceptUntil := time.Now(), closeIdleAfter, stopAcceptAfter
	if r.passedAt.Load() > 0 {
		// The clients' connections end with their next answer, none of them under a request.
		closeAfter, acceptUntil = handedOverCloseAfter, handedOverCloseAfter
	}
	r.clientListener.setResponseDeadline(start.Add(stopAfter + closeAllTimeout))
	time.Sleep(closeAfter - time.Since(start))
	r.closeAfterResponse.Store(true)
	for elapsed := time.Since(start); elapsed < stopAfter; elapsed = time.Since(start) {
		listenerClosed := elapsed >= acceptUntil && r.clientListener.stopAccepting()
		openConns := r.clientListener.closeIdle(elapsed >= stopCallsAfter)
		idle := make(chan bool, 1)
		r.post(func() {
			r.stopped = r.stopped || elapsed >= stopCallsAfter
			idle <- r.isIdle()
		})
		select {
		case <-r.quit:
			return
		case isIdle := <-idle:
			if isIdle && listenerClosed && openConns == 0 {
				r.stop()
				return
			}
			time.Sleep(20 * time.Millisecond)
		case <-time.After(20 * time.Millisecond):
		}
	}
	r.stop()
}

// idle tells whether nothing is left that a relay which stops should wait for.
func (r *Relay) isIdle() bool {
	inFlight := r.out
	if r.heritage != nil { // the process before this one may have calls out, whose ends come here
		inFlight += len(r.heritage.calls)
	}
	if r.heir != nil {
		return inFlight == 0 && len(r.asked) == 0
	}
	if r.copies.waiting() { // clients among them: they are answered, or their messages taken out of the record
		return false
	}
	return inFlight == 0 && (r.stopped || len(r.held)+r.owed == 0)
}

// stop ends the relay as it is; the journal has the rest.
func (r *Relay) stop() { r.once.Do(func() { close(r.quit) }) }

func (r *Relay) now() time.Duration { return time.Since(r.began) }

// post hands the loop something to do.
func (r *Relay) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.quit:
	}
}

// atOnce is always ready.
var alwaysReady = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

func (r *Relay) loop() {
	for {
		if r.kept != nil { // a process that was stopped acts by nothing that has run out meanwhile
			r.look()
		}
		r.step()
		if r.heir == nil {
			r.metrics.setTotals(len(r.held)+r.overflow.len(), len(r.hosts), r.chooser.Excluded())
			if r.overflow != nil {
				r.metrics.setBacklog(r.overflow)
			}
		}
		var runAgain <-chan struct{}
		if len(r.events) > 0 { // the step left some; nothing else may come in for long
			runAgain = alwaysReady
		} else if len(r.askers) > 0 && !r.copies.waiting() {
			r.handOverToFirst()
			runAgain = alwaysReady // there may be a second one
		} else if r.overflow.unfinished() {
			runAgain = alwaysReady
		}
		select {
		case f := <-r.inbox:
			f()
		case <-r.wake.C:
			r.woken = true
			r.observeWakeDelay()
		case <-r.overflow.tick():
		case <-runAgain:
		case <-r.quit:
			r.lastWord()
			r.flush()
			r.overflow.shut()
			return
		}
		for n := 1; n < batchMost; n++ {
			select {
			case f := <-r.inbox:
				f()
				continue
			default:
			}
			break
		}
	}
}
