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
	if r.previousProcess != nil {
		r.followPrevious(r.previousProcess)
	}
	r.listenForNextProcess()
	go r.list.Follow(ctx, func(l discovery.List) { r.post(func() { r.listed(l) }) })
	go r.notices.run(ctx)
	if r.kept != nil {
		go r.runReplication(ctx, r.session())
	}
	go r.server.Serve(r.listener)
	r.reportReady()
	r.loop()
	close(r.halted)
	cancel()
	if r.nextProcess != nil {
		r.nextProcess.finish()
	}
	if r.handoverListener != nil {
		r.handoverListener.Close()
	}
	r.endCalls(errStopping)
	r.closing.Store(true)
	r.endConnections()
}

// endConnections ends all that came in, on both addresses at once: the time for it is short.
func (r *Relay) endConnections() {
	var all sync.WaitGroup
	all.Go(func() { r.listener.empty(r.server) })
	if r.admin != nil {
		all.Go(func() { r.adminPeers.empty(r.admin) })
	}
	all.Wait()
}

// The times of an orderly stop, from SIGTERM. New connections come for 0.4 s
// more, SIGKILL after 3.7 s.
const (
	stopKeeping = 500 * time.Millisecond  // then connections end between requests
	stopTaking  = 800 * time.Millisecond  // then those that wait are accepted, and no more
	stopPassing = 2300 * time.Millisecond // after a hand-over: then connections without a request end
	stopSending = 2600 * time.Millisecond // then no more calls go out
	stopAll     = 3300 * time.Millisecond // then calls still out are left to the journal
)

// Drain stops the relay in order: it takes on and delivers while clients still
// come, lets calls out finish, and leaves the rest to the journal.
func (r *Relay) Drain() {
	r.draining.Store(true)
	begin, from, taking := time.Now(), stopKeeping, stopTaking
	if r.handedOverAt.Load() > 0 {
		// The clients' connections end with their next answer, none of them under a request.
		from, taking = stopPassing, stopPassing
	}
	r.listener.answerUntil(begin.Add(stopAll + emptyIn))
	time.Sleep(from - time.Since(begin))
	r.closing.Store(true)
	for took := time.Since(begin); took < stopAll; took = time.Since(begin) {
		accepted := took >= taking && r.listener.stopAccepting()
		peers := r.listener.retire(took >= stopSending)
		idle := make(chan bool, 1)
		r.post(func() {
			r.stopped = r.stopped || took >= stopSending
			idle <- r.idle()
		})
		select {
		case <-r.quit:
			return
		case is := <-idle:
			if is && accepted && peers == 0 {
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
func (r *Relay) idle() bool {
	out := r.out
	if r.previousProcess != nil { // the process before this one may have calls out, whose ends come here
		out += len(r.previousProcess.calls)
	}
	if r.nextProcess != nil {
		return out == 0 && len(r.forwardedIntakes) == 0
	}
	if r.replication.hasUncommitted() { // clients among them: they are answered, or their messages taken out of the record
		return false
	}
	return out == 0 && (r.stopped || len(r.pending)+r.pendingNotices == 0)
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
var atOnce = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

func (r *Relay) loop() {
	for {
		if r.kept != nil { // a process that was stopped acts by nothing that has run out meanwhile
			r.look()
		}
		r.step()
		if r.nextProcess == nil {
			r.figures.hold(len(r.pending)+r.overflow.len(), len(r.hosts), r.chooser.Excluded())
			if r.overflow != nil {
				r.figures.waiting(r.overflow)
			}
		}
		var again <-chan struct{}
		if len(r.events) > 0 { // the step left some; nothing else may come in for long
			again = atOnce
		} else if len(r.handoverRequests) > 0 && !r.replication.hasUncommitted() {
			r.handOverToFirst()
			again = atOnce // there may be a second one
		} else if r.overflow.hasMoreWork() {
			again = atOnce
		}
		select {
		case f := <-r.inbox:
			f()
		case <-r.wake.C:
			r.woken = true
			r.observeWake()
		case <-r.overflow.tick():
		case <-again:
		case <-r.quit:
			r.answerAtExit()
			r.flush()
			r.overflow.closeStore()
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
