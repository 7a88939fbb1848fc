package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"syscall"
	"time"
)

// errOlder says that a list is older than the one that discovery told before.
var errStaleList = errors.New("a list of an older version than the last one")

// olderIn is how long such answers are left alone: then discovery has begun another history, as after a loss of its
// record, and counts its versions anew; what it tells now is due within HeardIn. One alone is a copy of it that lags, or an
// answer that was long on its way; by that an endpoint would come back that drains.
const historyChangeAfter = 3 * time.Second

// doubtFor is how long after a change of history calls still come as after a failed one: it may have been a copy that lagged
// for long.
const historyChangeCaution = time.Minute

// follower is where a source stands.
type follower struct {
	*Platform
	pacer
	leaseState
	version              int64
	needFullList         bool          // ask for the whole list: what is known may be old
	versionFromDiscovery bool          // version is that of a list which discovery itself told
	staleSince           time.Time     // the first of the answers in a row that were of an older version
	historyChangedAt     time.Time     // another history was begun
	roundTripTime        time.Duration // to discovery and back: what the last connection took to come up
	lastWatchAnswer      time.Time     // the last answer of a watch came; zero if another call was answered or failed since
}

// Follow keeps up with discovery until the context ends. The list counts as told while the next call
// comes within 200 ms of the last answer, so a watch is renewed at once.
func (p *Platform) Follow(ctx context.Context, onList func(List)) {
	f := &follower{Platform: p, pacer: pacer{rand: rand.New(rand.NewPCG(p.Seed, 1))}, leaseState: newLeaseState(time.Now(), p.PreviousLease),
		version: p.Version, needFullList: true}
	f.publishLease()
	addr, valid := p.Address.Get()
	var pause time.Duration
	if p.HasList {
		fleet := p.Fleet()
		pause = f.initialPause(fleet, fleet.maxInterval())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-valid.Done():
		case <-time.After(pause):
		}
		c := &call{startedAt: time.Now(), fullList: f.needFullList, onFirstByte: func() { f.recordPartialAnswer(time.Now()); f.publishLease() }}
		slog.Debug("a call for the list goes out", "whole", c.fullList, "version", f.version)
		if valid.Err() == nil {
			f.fetch(ctx, valid, addr, f.version, c)
		}
		if ctx.Err() != nil {
			return
		}
		if valid.Err() != nil { // what the old address said last may be older than what the new one says
			addr, valid = p.Address.Get()
			f.recordMove(time.Now())
			f.publishLease()
			f.needFullList, f.versionFromDiscovery, f.staleSince, pause = true, false, time.Time{}, f.initialPause(p.Fleet(), maxPauseAfterMove)
			continue
		}
		c.duration = time.Since(c.startedAt)
		pause = f.handleCall(c, onList)
	}
}

// publish tells how the list stands now.
func (f *follower) publishLease() {
	if f.LeaseChanged != nil {
		lease := f.snapshot(f.Fleet().leaseDuration())
		lease.Version = f.version
		f.LeaseChanged(lease)
	}
}

// take acts on a call that is over, and returns the pause before the next one.
func (f *follower) handleCall(c *call, onList func(List)) (pause time.Duration) {
	var changed bool
	if c.err == nil {
		changed, c.err = f.applyAnswer(&c.list)
	}
	fleet := f.Fleet()
	if c.err != nil {
		return f.handleFailure(c, fleet)
	}
	if f.leaseState.failures > 0 {
		slog.Info("the list is heard of again", "whole", c.fullList, "took", c.duration, "failures", f.leaseState.failures, "version", f.version,
			"age", c.startedAt.Sub(f.confirmed))
	}
	slog.Debug("a call for the list is answered", "whole", c.fullList, "took", c.duration, "version", c.list.Version, "news", changed)
	f.confirm(c.currentAt())
	f.lastWatchAnswer = time.Time{}
	if !c.fullList {
		f.lastWatchAnswer = time.Now()
	}
	if changed {
		onList(c.list)
	}
	f.publishLease()
	if c.connectTime > 0 {
		f.roundTripTime = c.connectTime
	}
	serverTime := max(0, c.duration-c.connectTime-f.roundTripTime)
	switch {
	case polls(fleet.Size):
		if f.needFullList, pause = true, f.pauseAfterAnswer(fleet, c.duration, serverTime)-c.duration; !f.historyChangedAt.IsZero() && time.Since(f.historyChangedAt) < historyChangeCaution {
			pause = min(pause, f.pauseAfterFailure(fleet, c.duration))
		}
	case changed || c.duration >= minPause: // else asking at once would go round and round
		f.pauseAfterAnswer(fleet, c.duration, serverTime)
	default:
		pause = f.pauseAfterAnswer(fleet, c.duration, serverTime)
	}
	return pause
}

// takeFailure acts on a call that failed.
func (f *follower) handleFailure(c *call, fleet Fleet) (pause time.Duration) {
	age := c.startedAt.Sub(f.confirmed)
	switch {
	case errors.Is(c.err, errStaleList):
		f.recordPartialAnswer(time.Now())
		pause = f.pauseAfterFailure(fleet, c.duration)
	case errors.Is(c.err, syscall.ECONNREFUSED):
		f.recordUnreachable(c.startedAt)
		pause = f.pauseAfterFailure(fleet, c.duration)
	default:
		pause = f.pauseAfterCongestion(fleet, c.duration)
	}
	if !f.lastWatchAnswer.IsZero() && c.duration < watchRenewal { // the watch did not go on, and what changed meanwhile counts as told
		f.recordPartialAnswer(f.lastWatchAnswer)
	}
	f.lastWatchAnswer = time.Time{}
	f.recordFailure()
	f.publishLease()
	slog.Warn("a call for the list failed", "err", c.err, "whole", c.fullList, "took", c.duration, "failures", f.leaseState.failures,
		"version", f.version, "age", age, "next", pause)
	return pause
}

// heed takes in an answer, and tells whether it is news.
func (f *follower) applyAnswer(l *List) (changed bool, err error) {
	if l.Version < f.version && (f.versionFromDiscovery || !l.Full) {
		if f.staleSince.IsZero() {
			f.staleSince = time.Now()
		}
		if !l.Full || time.Since(f.staleSince) < historyChangeAfter { // changes cannot be built on another history
			f.needFullList = true
			return false, errStaleList
		}
		f.historyChangedAt = time.Now()
	}
	f.staleSince, f.needFullList = time.Time{}, false
	changed = len(l.Servers) > 0 && !l.Full || l.Full && !(f.versionFromDiscovery && l.Version == f.version)
	f.version, f.versionFromDiscovery = l.Version, f.versionFromDiscovery || l.Full
	return changed, nil
}
