package keeper

import "time"

// leaseTable tracks the leases of members' sessions at the leader. It reads no clock: callers pass the time, by this
// process's monotonic clock. A session ends only when its lease has certainly expired by the member's own clock. The
// member counts the lease from before its call; here it counts from the later time at which the call is answered, and is
// longer by the drift of the clocks.
type leaseTable struct {
	duration  time.Duration            // the lease, extended by the drift
	electedAt time.Time                // zero while this keeper is not the leader
	renewedAt map[sessionKey]time.Time // time of the last renewal
	ending    map[sessionKey]bool      // sessions whose end is being committed; they cannot be renewed
}

// sessionKey identifies the session of one process of a member.
type sessionKey struct{ name, instance string }

func newLeaseTable(lease time.Duration, drift float64) *leaseTable {
	return &leaseTable{duration: lease + time.Duration(float64(lease)*drift), renewedAt: map[sessionKey]time.Time{}, ending: map[sessionKey]bool{}}
}

// elect starts with an empty table. Calls that an earlier leader answered were made before now, so each session lasts at
// most for the extended lease from now on unless it is renewed.
func (l *leaseTable) elect(now time.Time) {
	l.electedAt = now
	clear(l.renewedAt)
	clear(l.ending)
}

// depose clears the table, as another keeper may be the leader.
func (l *leaseTable) depose() { l.elect(time.Time{}) }

// isLeader reports whether sessions may be renewed.
func (l *leaseTable) isLeader() bool { return !l.electedAt.IsZero() }

// renew starts the lease of a session anew and returns true, unless the session is ending already.
func (l *leaseTable) renew(key sessionKey, now time.Time) bool {
	if !l.isLeader() || l.ending[key] {
		return false
	}
	l.renewedAt[key] = now
	return true
}

// remaining returns the time that is left of a session; 0 if it has expired.
func (l *leaseTable) remaining(key sessionKey, now time.Time) time.Duration {
	from, ok := l.renewedAt[key]
	if !ok || from.Before(l.electedAt) {
		from = l.electedAt
	}
	return max(0, l.duration-now.Sub(from))
}

// expire reports whether a session has expired. If so, it marks the session as ending, so that it cannot be renewed.
func (l *leaseTable) expire(key sessionKey, now time.Time) bool {
	if !l.isLeader() || l.ending[key] || l.remaining(key, now) > 0 {
		return false
	}
	l.ending[key] = true
	return true
}

// remove removes a session once its end has been committed or could not be, or if it could not be begun.
func (l *leaseTable) remove(key sessionKey) {
	delete(l.ending, key)
	delete(l.renewedAt, key)
}
