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

// maxWriteDelay is how long the relay may be delayed between its last check of the lease and the first byte of a
// request. The last 50 ms of it are for the check itself on a busy machine.
const maxWriteDelay = 200 * time.Millisecond

// maxSettleWait is how long the end of a lease waits for requests that are being written.
const maxSettleWait = 500 * time.Millisecond

// listLease limits how long the relay acts on its list without another answer of discovery. A change of the list is
// binding from a certain time on, whether or not the relay has received it. After that time nothing may be sent by a
// list that lacks the change.
type listLease struct {
	// sendUntil is the time until which requests may be sent by the list, in nanoseconds by the relay's clock; 0 for a
	// relay that has no lease. Any goroutine may read it; leaseMutex guards its changes.
	sendUntil       atomic.Int64
	leaseMutex      sync.Mutex
	leaseCount      int // number of leases received so far
	currentLease    discovery.Lease
	reportedExpired bool        // the Chooser was told that the lease has expired
	expiryTimer     *time.Timer // fires when the lease expires
	// storedUntil is the end of the lease in the file, in Unix milliseconds of the steady clock. Only the goroutine that
	// follows the list uses it.
	storedUntil atomic.Int64
}

// leaseFile is the name of the lease's file in the state directory. A lease is binding for the process after a restart,
// too.
const leaseFile = "list"

// storedLease is the content of the file. Times are Unix milliseconds of the steady clock.
type storedLease struct {
	Confirmed int64 `json:"confirmed"`
	Expires   int64 `json:"expires"`
	Failures  int   `json:"failures"`
	Version   int64 `json:"version"` // version of the list
}

// loadLease returns the lease that the previous process stored for its list; nil if there was no previous process. The
// lease does not cover a list that is older than the one which that process had.
func loadLease(dir string, version int64) *discovery.Lease {
	var stored storedLease
	now := time.Now()
	if !smallfile.Read(filepath.Join(dir, leaseFile), &stored) || stored.Confirmed == 0 {
		if !journal.Exists(dir) {
			return nil
		}
		// The lease could not be written or is damaged. It may have been about to end.
		return &discovery.Lease{Confirmed: now, Expires: now.Add(-discovery.NotifiedAfter), Version: version}
	}
	lease := &discovery.Lease{Confirmed: now.Add(-max(0, steady.Since(stored.Confirmed))), Expires: now.Add(steady.Until(stored.Expires)), Failures: stored.Failures,
		Version: version}
	if version < stored.Version { // the previous process received changes that this list lacks; they were binding by then at the latest
		lease.Expires = lease.Confirmed
	}
	return lease
}

// storeLease stores a lease for the next process. If that fails, the file is removed, so that no older lease remains
// that allows more.
func (r *Relay) storeLease(lease discovery.Lease) {
	stored := storedLease{Confirmed: steady.UnixMilli() - time.Since(lease.Confirmed).Milliseconds(),
		Expires: steady.UnixMilli() + time.Until(lease.Expires).Milliseconds(), Failures: lease.Failures, Version: lease.Version}
	if change := stored.Expires - r.storedUntil.Load(); change <= 1 && change >= -1 { // both clocks are read twice, which rounds by up to 1 ms
		return
	}
	path := filepath.Join(r.config.StateDir, leaseFile)
	if err := smallfile.Write(path, stored); err != nil {
		os.Remove(path)
		r.storedUntil.Store(0)
		slog.Warn("lease of the endpoint list could not be stored", "err", err, "remedy", remedy.Of(err))
		return
	}
	r.storedUntil.Store(stored.Expires)
}

// resumeLease reports the previous process's lease to the Chooser before its first step. Otherwise each call that it
// decides on under an expired lease would be withheld, and would use up one of its message's attempts.
func (r *Relay) resumeLease(stored *discovery.Lease) {
	if stored == nil {
		return
	}
	r.currentLease = *stored
	r.checkLease()
}

// listExpired reports whether nothing may be sent by the list any more.
func (l *listLease) listExpired(now time.Duration) bool {
	until := l.sendUntil.Load()
	return until != 0 && int64(now) >= until
}

// leaseRenewed applies a new lease of the list. Any goroutine may call it. If the lease has expired, leaseRenewed waits
// for requests that are being written, up to maxSettleWait.
func (r *Relay) leaseRenewed(lease discovery.Lease) {
	renewal := r.shortenLease(lease)
	if r.listExpired(r.now()) && !r.writeGate.drain(maxSettleWait) {
		slog.Warn("requests that were about to be written when the endpoint list expired are still in progress", "for", maxSettleWait)
	}
	r.post(func() {
		r.currentLease = lease
		r.extendLease(lease, renewal)
		r.checkLease()
	})
	r.storeLease(lease) // last, so that a slow disk does not delay the rest
}

// shortenLease applies a lease at once if it ends before the current one, and returns the lease's number.
func (r *Relay) shortenLease(lease discovery.Lease) (renewal int) {
	r.leaseMutex.Lock()
	defer r.leaseMutex.Unlock()
	r.leaseCount++
	if until := r.sendLimit(lease); until < r.sendUntil.Load() {
		r.setSendUntil(lease)
	}
	return r.leaseCount
}

// extendLease applies the whole of a lease. It runs in the loop, after the list of the lease has been applied; before
// that, a call might still be sent by the previous list. It does nothing if a later lease has been received.
func (r *Relay) extendLease(lease discovery.Lease, renewal int) {
	r.leaseMutex.Lock()
	defer r.leaseMutex.Unlock()
	if renewal == r.leaseCount {
		r.setSendUntil(lease)
	}
}

// sendLimit returns the time until which requests may be sent under a lease, as in sendUntil.
func (r *Relay) sendLimit(lease discovery.Lease) int64 {
	until := lease.Expires.Sub(r.startedAt) + r.settings.Load().Rules.DrainGrace - maxWriteDelay
	return max(1, int64(until))
}

// setSendUntil replaces sendUntil by the limit of a lease.
func (r *Relay) setSendUntil(lease discovery.Lease) {
	r.sendUntil.Store(r.sendLimit(lease))
	until := time.Duration(r.sendUntil.Load())
	slog.Debug("lease of the endpoint list set", "send_for", until-r.now(), "age", time.Since(lease.Confirmed), "version", lease.Version, "failures", lease.Failures)
}

// checkLease reports to the Chooser when the lease has expired, or is valid again, and schedules the check at its
// expiry.
func (r *Relay) checkLease() {
	now := r.now()
	expired := r.listExpired(now)
	if !expired {
		r.scheduleExpiryCheck(time.Duration(r.sendUntil.Load()) - now)
	}
	r.metrics.setListLease(r.currentLease, expired)
	if expired == r.reportedExpired {
		return
	}
	r.reportedExpired = expired
	r.events = append(r.events, choice.ListExpiry{Expired: expired})
	level := slog.LevelDebug // an answer of discovery may be slightly late
	if r.currentLease.Failures > 0 {
		level = slog.LevelInfo
	}
	if expired {
		slog.Log(context.Background(), level, "endpoint list expired: nothing is sent until discovery answers", "age", time.Since(r.currentLease.Confirmed), "failures", r.currentLease.Failures,
			"held", len(r.pending))
	} else {
		slog.Log(context.Background(), level, "endpoint list is valid again", "age", time.Since(r.currentLease.Confirmed), "held", len(r.pending))
	}
}

// scheduleExpiryCheck schedules checkLease for the expiry of the lease.
func (r *Relay) scheduleExpiryCheck(remaining time.Duration) {
	if r.expiryTimer == nil {
		r.expiryTimer = time.AfterFunc(remaining, func() { r.post(r.checkLease) })
		return
	}
	r.expiryTimer.Reset(remaining)
}
