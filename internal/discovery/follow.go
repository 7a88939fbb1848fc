package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"syscall"
	"time"
)

// errStaleList reports a list that is older than the last one that discovery sent.
var errStaleList = errors.New("the list has an older version than the last one received")

// historyChangeAfter is how long answers of an older version are rejected. If they go on for longer, discovery has begun another
// history of versions, as after a loss of its records, and its changes have to be applied within NotifiedAfter. A single such
// answer comes from a replica of discovery that lags, or was delayed on its way; applied, it could bring back an endpoint that
// is draining.
const historyChangeAfter = 3 * time.Second

// historyChangeCaution is how long after a change of history the pauses between calls stay as short as after a failed call: the
// answers may have come from a replica of discovery that lagged for long.
const historyChangeCaution = time.Minute

// follower is the state of Platform.Follow. It is used by one goroutine only.
type follower struct {
	*Platform
	pacer
	leaseState
	version              int64
	needFullList         bool          // the next call requests the full list, as the known one may be outdated
	versionFromDiscovery bool          // version is that of a list received from discovery in this process and not from an earlier address
	staleSince           time.Time     // first of the latest answers in a row with an older version; zero if the last one was not
	historyChangedAt     time.Time     // when another history of versions was accepted; zero for never
	roundTripTime        time.Duration // network round trip to discovery: the time that the last connection took to establish
	lastWatchAnswer      time.Time     // when the last watch was answered; zero if another call was answered or failed since
}

// Follow implements Source. A watch is renewed at once after each answer, as changes within 200 ms of an answer (watchRenewal)
// count as notified whether the next call has arrived or not.
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
		slog.Debug("calling discovery for the list", "whole", c.fullList, "version", f.version)
		if valid.Err() == nil {
			f.fetch(ctx, valid, addr, f.version, c)
		}
		if ctx.Err() != nil {
			return
		}
		if valid.Err() != nil { // the address was replaced: the list from the old one may be outdated
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

// publishLease passes the present lease to LeaseChanged.
func (f *follower) publishLease() {
	if f.LeaseChanged != nil {
		lease := f.snapshot(f.Fleet().leaseDuration())
		lease.Version = f.version
		f.LeaseChanged(lease)
	}
}

// handleCall processes a call that has ended, and returns the pause before the next one.
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
		slog.Info("discovery answers again", "whole", c.fullList, "took", c.duration, "failures", f.leaseState.failures, "version", f.version,
			"age", c.startedAt.Sub(f.confirmed))
	}
	slog.Debug("discovery answered a call for the list", "whole", c.fullList, "took", c.duration, "version", c.list.Version, "news", changed)
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
	case changed || c.duration >= minPause: // without a change or a wait, calling again at once would loop without pause
		f.pauseAfterAnswer(fleet, c.duration, serverTime)
	default:
		pause = f.pauseAfterAnswer(fleet, c.duration, serverTime)
	}
	return pause
}

// handleFailure processes a failed call, and returns the pause before the next one.
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
	if !f.lastWatchAnswer.IsZero() && c.duration < watchRenewal { // the watch was not renewed in time, so changes since its last answer count as notified
		f.recordPartialAnswer(f.lastWatchAnswer)
	}
	f.lastWatchAnswer = time.Time{}
	f.recordFailure()
	f.publishLease()
	slog.Warn("call to discovery for the list failed", "err", c.err, "whole", c.fullList, "took", c.duration, "failures", f.leaseState.failures,
		"version", f.version, "age", age, "next", pause)
	return pause
}

// applyAnswer updates the version by an answer, and reports whether the list has changed. It returns errStaleList for a list that
// must not be used.
func (f *follower) applyAnswer(l *List) (changed bool, err error) {
	if l.Version < f.version && (f.versionFromDiscovery || !l.Full) {
		if f.staleSince.IsZero() {
			f.staleSince = time.Now()
		}
		if !l.Full || time.Since(f.staleSince) < historyChangeAfter { // an incremental list cannot be applied to another history
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
