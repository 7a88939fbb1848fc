package relay

import (
	"context"
	"sync"
	"time"

	"larchrouter/internal/discovery"
)

// Serve runs the relay until Drain has stopped it. When it returns, nothing of this process writes to the state directory any
// more.
func (r *Relay) Serve() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancelPlatform = cancel
	if r.previousProcess != nil {
		r.followPrevious(r.previousProcess)
	}
	r.listenForNextProcess()
	var following sync.WaitGroup // the list's lease is stored from there
	following.Go(func() {
		r.listSource.Follow(ctx, func(l discovery.List) { r.post(func() { r.applyList(l) }) })
	})
	go r.notices.run(ctx)
	if r.fleetConfig != nil {
		go r.runReplication(ctx, r.newKeeperSession())
	}
	go r.clientServer.Serve(r.clientListener)
	r.reportReady()
	r.loop()
	close(r.loopEnded)
	cancel()
	if r.nextProcess != nil {
		r.nextProcess.finish()
	}
	if r.handoverListener != nil {
		r.handoverListener.Close()
	}
	r.cancelCalls(errStopping)
	r.closeAfterResponse.Store(true)
	r.closeConnections()
	following.Wait()
}

// closeConnections closes the connections at both addresses concurrently, since time is short.
func (r *Relay) closeConnections() {
	var closing sync.WaitGroup
	closing.Go(func() { r.clientListener.closeAll(r.clientServer) })
	if r.adminServer != nil {
		closing.Go(func() { r.adminListener.closeAll(r.adminServer) })
	}
	closing.Wait()
}

// Times of an orderly stop, counted from SIGTERM. New connections arrive for another 0.4 s; SIGKILL follows after
// 3.7 s.
const (
	closeIdleAfter       = 500 * time.Millisecond  // then idle connections are closed
	stopAcceptAfter      = 800 * time.Millisecond  // then the connections in the queue are accepted, and no more
	handedOverCloseAfter = 2300 * time.Millisecond // after a handover: then connections without a request are closed
	stopCallsAfter       = 2600 * time.Millisecond // then no more calls are started
	stopAfter            = 3300 * time.Millisecond // then calls still in flight are left to the journal
)

// Drain stops the relay in order: it accepts and delivers while clients still connect, lets calls in flight finish,
// and leaves the rest to the journal.
func (r *Relay) Drain() {
	r.draining.Store(true)
	start, closeAfter, acceptUntil := time.Now(), closeIdleAfter, stopAcceptAfter
	if r.handedOverAt.Load() > 0 {
		// Clients' connections end with their next response, so none is closed during a request.
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

// isIdle reports whether a stopping relay has nothing left to wait for.
func (r *Relay) isIdle() bool {
	inFlight := r.callsInFlight
	if r.previousProcess != nil { // the previous process may have calls in flight, whose outcomes arrive here
		inFlight += len(r.previousProcess.calls)
	}
	if r.nextProcess != nil {
		return inFlight == 0 && len(r.forwardedRequests) == 0
	}
	if r.replication.hasUncommitted() { // clients wait for some: they get an answer, or their messages are removed from the record
		return false
	}
	return inFlight == 0 && (r.stopped || len(r.pending)+r.pendingNotices == 0)
}

// stop ends the loop at once; everything else is in the journal.
func (r *Relay) stop() { r.stopOnce.Do(func() { close(r.quit) }) }

// now returns the time since the relay was created, its clock for all decisions.
func (r *Relay) now() time.Duration { return time.Since(r.startedAt) }

// post queues a function for the loop.
func (r *Relay) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.quit:
	}
}

// alwaysReady is a closed channel.
var alwaysReady = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

// loop runs the functions in the inbox, in batches of up to maxBatch, and takes a step after each batch, until the
// relay stops.
func (r *Relay) loop() {
	for {
		if r.fleetConfig != nil { // a process that was suspended must not act on agreements that expired meanwhile
			r.refreshAgreed()
		}
		r.step()
		if r.nextProcess == nil {
			r.metrics.setTotals(len(r.pending)+r.overflow.len(), len(r.hosts), r.chooser.Excluded())
			if r.overflow != nil {
				r.metrics.setBacklog(r.overflow)
			}
		}
		var runAgain <-chan struct{}
		if len(r.events) > 0 { // the step left events, which must not wait long for other input
			runAgain = alwaysReady
		} else if len(r.handoverRequests) > 0 && !r.replication.hasUncommitted() {
			r.handOverToFirst()
			runAgain = alwaysReady // there may be another one
		} else if r.overflow.hasMoreWork() {
			runAgain = alwaysReady
		}
		select {
		case f := <-r.inbox:
			f()
		case <-r.wakeTimer.C:
			r.wakeDue = true
			r.observeWakeDelay()
		case <-r.overflow.tick():
		case <-runAgain:
		case <-r.quit:
			r.answerAtExit()
			r.flush()
			r.overflow.closeStore()
			return
		}
		for n := 1; n < maxBatch; n++ {
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
