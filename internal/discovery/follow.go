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
var errOlder = errors.New("a list of an older version than the last one")

// olderIn is how long such answers are left alone: then discovery has begun another history, as after a loss of its
// record, and counts its versions anew; what it tells now is due within HeardIn. One alone is a copy of it that lags, or an
// answer that was long on its way; by that an endpoint would come back that drains.
const olderIn = 3 * time.Second

// doubtFor is how long after a change of history calls still come as after a failed one: it may have been a copy that lagged
// for long.
const doubtFor = time.Minute

// follower is where a source stands.
type follower struct {
	*Platform
	pacer
	lease
	version int64
	full    bool          // ask for the whole list: what is known may be old
	held    bool          // version is that of a list which discovery itself told
	older   time.Time     // the first of the answers in a row that were of an older version
	turned  time.Time     // another history was begun
	trip    time.Duration // to discovery and back: what the last connection took to come up
	watched time.Time     // the last answer of a watch came; zero if another call was answered or failed since
}

// Follow keeps up with discovery until the context ends. The list counts as told while the next call
// comes within 200 ms of the last answer, so a watch is renewed at once.
func (s *Platform) Follow(ctx context.Context, tell func(List)) {
	f := &follower{Platform: s, pacer: pacer{rand: rand.New(rand.NewPCG(s.Seed, 1))}, lease: newLease(time.Now(), s.Before),
		version: s.Version, full: true}
	f.publish()
	addr, valid := s.At.Get()
	var pause time.Duration
	if s.Known {
		fleet := s.Fleet()
		pause = f.first(fleet, fleet.slow())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-valid.Done():
		case <-time.After(pause):
		}
		c := &call{begun: time.Now(), whole: f.full, begins: func() { f.written(time.Now()); f.publish() }}
		slog.Debug("a call for the list goes out", "whole", c.whole, "version", f.version)
		if valid.Err() == nil {
			f.ask(ctx, valid, addr, f.version, c)
		}
		if ctx.Err() != nil {
			return
		}
		if valid.Err() != nil { // what the old address said last may be older than what the new one says
			addr, valid = s.At.Get()
			f.move(time.Now())
			f.publish()
			f.full, f.held, f.older, pause = true, false, time.Time{}, f.first(s.Fleet(), moveIn)
			continue
		}
		c.took = time.Since(c.begun)
		pause = f.take(c, tell)
	}
}

// publish tells how the list stands now.
func (f *follower) publish() {
	if f.Renewed != nil {
		lease := f.state(f.Fleet().span())
		lease.Version = f.version
		f.Renewed(lease)
	}
}

// take acts on a call that is over, and returns the pause before the next one.
func (f *follower) take(c *call, tell func(List)) (pause time.Duration) {
	var news bool
	if c.err == nil {
		news, c.err = f.heed(&c.list)
	}
	fleet := f.Fleet()
	if c.err != nil {
		return f.takeFailure(c, fleet)
	}
	if f.lease.failures > 0 {
		slog.Info("the list is heard of again", "whole", c.whole, "took", c.took, "failures", f.lease.failures, "version", f.version,
			"age", c.begun.Sub(f.confirmed))
	}
	slog.Debug("a call for the list is answered", "whole", c.whole, "took", c.took, "version", c.list.Version, "news", news)
	f.confirm(c.current())
	f.watched = time.Time{}
	if !c.whole {
		f.watched = time.Now()
	}
	if news {
		tell(c.list)
	}
	f.publish()
	if c.connect > 0 {
		f.trip = c.connect
	}
	handled := max(0, c.took-c.connect-f.trip)
	switch {
	case polls(fleet.Size):
		if f.full, pause = true, f.next(fleet, c.took, handled)-c.took; !f.turned.IsZero() && time.Since(f.turned) < doubtFor {
			pause = min(pause, f.failed(fleet, c.took))
		}
	case news || c.took >= firstPause: // else asking at once would go round and round
		f.next(fleet, c.took, handled)
	default:
		pause = f.next(fleet, c.took, handled)
	}
	return pause
}

// takeFailure acts on a call that failed.
func (f *follower) takeFailure(c *call, fleet Fleet) (pause time.Duration) {
	age := c.begun.Sub(f.confirmed)
	switch {
	case errors.Is(c.err, errOlder):
		f.written(time.Now())
		pause = f.failed(fleet, c.took)
	case errors.Is(c.err, syscall.ECONNREFUSED):
		f.unreachable(c.begun)
		pause = f.failed(fleet, c.took)
	default:
		pause = f.crowdedOut(fleet, c.took)
	}
	if !f.watched.IsZero() && c.took < watchGap { // the watch did not go on, and what changed meanwhile counts as told
		f.written(f.watched)
	}
	f.watched = time.Time{}
	f.fail()
	f.publish()
	slog.Warn("a call for the list failed", "err", c.err, "whole", c.whole, "took", c.took, "failures", f.lease.failures,
		"version", f.version, "age", age, "next", pause)
	return pause
}

// heed takes in an answer, and tells whether it is news.
func (f *follower) heed(l *List) (news bool, err error) {
	if l.Version < f.version && (f.held || !l.Full) {
		if f.older.IsZero() {
			f.older = time.Now()
		}
		if !l.Full || time.Since(f.older) < olderIn { // changes cannot be built on another history
			f.full = true
			return false, errOlder
		}
		f.turned = time.Now()
	}
	f.older, f.full = time.Time{}, false
	news = len(l.Servers) > 0 && !l.Full || l.Full && !(f.held && l.Version == f.version)
	f.version, f.held = l.Version, f.held || l.Full
	return news, nil
}
