package relay

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/smallfile"
	"larchrouter/internal/steady"
)

// heldUp is how long a relay may be held up between its look at the clock and the first byte that it writes; the last 50 ms are
// for what the look itself takes on a busy machine.
const heldUp = 200 * time.Millisecond

// sendingMost is for how long the end of a lease waits for requests that are being written.
const sendingMost = 500 * time.Millisecond

// listLease bounds how long the relay acts on its list without another answer of discovery. A change of the list binds
// from some time on whether the relay has heard of it or not, so past that nothing may be sent by a list without it.
type listLease struct {
	// sendUntil is when the last request may go out by the list, by the relay's clock; 0 for a relay that has no lease. Any
	// goroutine reads it; leaseMutex guards its changes.
	sendUntil  atomic.Int64
	leaseMutex sync.Mutex
	renewals   int // leases told so far
	lease      discovery.Lease
	expired    bool         // as the decisions know it
	timer      *time.Timer  // for when the lease runs out
	keptUntil  atomic.Int64 // the end of the lease that the file has, steady Unix milliseconds; of the follower
}

// leaseFile has the lease in the folder that lasts: what binds a relay binds the process after a restart, too.
const leaseFile = "list"

// keptLease is what the file holds. Times are steady Unix milliseconds.
type keptLease struct {
	Confirmed int64 `json:"confirmed"`
	Expires   int64 `json:"expires"`
	Failures  int   `json:"failures"`
	Version   int64 `json:"version"` // of the list
}

// leaseBefore is the lease of a list as the process before this one kept it; nil if there was none before. A list that is older
// than the one which that process had is not covered by it.
func leaseBefore(dir string, version int64) *discovery.Lease {
	var k keptLease
	now := time.Now()
	if !smallfile.Read(filepath.Join(dir, leaseFile), &k) || k.Confirmed == 0 {
		if !journal.Exists(dir) {
			return nil
		}
		// The lease was lost: it could not be written, or was damaged. It may have been about to end.
		return &discovery.Lease{Confirmed: now, Expires: now.Add(-discovery.HeardIn), Version: version}
	}
	l := &discovery.Lease{Confirmed: now.Add(-max(0, steady.Since(k.Confirmed))), Expires: now.Add(steady.Until(k.Expires)), Failures: k.Failures,
		Version: version}
	if version < k.Version { // that process was told of what this list lacks, by then at the latest
		l.Expires = l.Confirmed
	}
	return l
}

// keepLease has the next process know of a lease. One that cannot be kept is not left to an older word that allows more.
func (r *Relay) keepLease(lease discovery.Lease) {
	k := keptLease{Confirmed: steady.UnixMilli() - time.Since(lease.Confirmed).Milliseconds(),
		Expires: steady.UnixMilli() + time.Until(lease.Expires).Milliseconds(), Failures: lease.Failures, Version: lease.Version}
	if change := k.Expires - r.keptUntil.Load(); change <= 1 && change >= -1 { // both clocks are read twice
		return
	}
	path := filepath.Join(r.conf.State, leaseFile)
	if err := smallfile.Write(path, k); err != nil {
		os.Remove(path)
		r.keptUntil.Store(0)
		slog.Warn("the list's lease is not kept", "err", err, "remedy", remedy.Of(err))
		return
	}
	r.keptUntil.Store(k.Expires)
}

// startLease has the decisions know from their first step how the process before this one held the list. Until they did, each
// call that they sent by one that has run out would be withheld, and use up one of its message's attempts.
func (r *Relay) startLease(before *discovery.Lease) {
	if before == nil {
		return
	}
	r.lease = *before
	r.checkLease()
}

// listExpired tells whether nothing may be sent by the list any more.
func (l *listLease) listExpired(now time.Duration) bool {
	until := l.sendUntil.Load()
	return until != 0 && int64(now) >= until
}

// leaseRenewed takes in how the list stands, from any goroutine.
func (r *Relay) leaseRenewed(lease discovery.Lease) {
	renewal := r.shortenLease(lease)
	if r.listExpired(r.now()) && !r.sending.settle(sendingMost) {
		slog.Warn("requests that were about to be written as the list expired are still under way", "for", sendingMost)
	}
	r.post(func() {
		r.lease = lease
		r.extendLease(lease, renewal)
		r.checkLease()
	})
	r.keepLease(lease) // last: a slow disk must not hold the others up
}

// shortenLease has calls heed a lease at once as far as it ends sooner than the one before, and returns its number.
func (r *Relay) shortenLease(lease discovery.Lease) (renewal int) {
	r.leaseMutex.Lock()
	defer r.leaseMutex.Unlock()
	r.renewals++
	if until := r.sendLimit(lease); until < r.sendUntil.Load() {
		r.bindLease(lease)
	}
	return r.renewals
}

// extendLease has calls heed the whole of a lease, in the loop: the list that it is for has been applied by then, and until then a
// call might go by the one before. Nothing is extended by a lease that another has followed.
func (r *Relay) extendLease(lease discovery.Lease, renewal int) {
	r.leaseMutex.Lock()
	defer r.leaseMutex.Unlock()
	if renewal == r.renewals {
		r.bindLease(lease)
	}
}

// sendLimit is when the last request may go out under a lease, as sendUntil has it.
func (r *Relay) sendLimit(lease discovery.Lease) int64 {
	until := lease.Expires.Sub(r.began) + r.set.Load().Rules.DrainGrace - heldUp
	return max(1, int64(until))
}

// bindLease has calls heed a lease, whatever holds before.
func (r *Relay) bindLease(lease discovery.Lease) {
	r.sendUntil.Store(r.sendLimit(lease))
	until := time.Duration(r.sendUntil.Load())
	slog.Debug("the list's lease", "send_for", until-r.now(), "age", time.Since(lease.Confirmed), "version", lease.Version, "failures", lease.Failures)
}

// checkLease tells the decisions when the lease has run out, or holds again, and looks again when it runs out.
func (r *Relay) checkLease() {
	now := r.now()
	expired := r.listExpired(now)
	if !expired {
		r.awaitExpiry(time.Duration(r.sendUntil.Load()) - now)
	}
	r.figures.listed(r.lease, expired)
	if expired == r.expired {
		return
	}
	r.expired = expired
	r.events = append(r.events, choice.ListExpiry{Expired: expired})
	level := slog.LevelDebug // an answer may be a little late
	if r.lease.Failures > 0 {
		level = slog.LevelInfo
	}
	if expired {
		slog.Log(context.Background(), level, "the list has expired: nothing is sent until discovery answers", "age", time.Since(r.lease.Confirmed), "failures", r.lease.Failures,
			"held", len(r.held))
	} else {
		slog.Log(context.Background(), level, "the list may be acted on again", "age", time.Since(r.lease.Confirmed), "held", len(r.held))
	}
}

// awaitExpiry has the lease looked at again as it runs out.
func (r *Relay) awaitExpiry(left time.Duration) {
	if r.timer == nil {
		r.timer = time.AfterFunc(left, func() { r.post(r.checkLease) })
		return
	}
	r.timer.Reset(left)
}
