package discovery

import "time"

// The times after which the discovery protocol counts a change of the list as notified to a relay that has not received it.
const (
	// NotifiedAfter is the time after which a change counts as notified to a relay whose call failed, was refused or was
	// abandoned. It starts when discovery has the change and can be reached.
	NotifiedAfter = 6 * time.Second
	// notifiedAfterMove is the same time, starting when the relay was given another address of discovery.
	notifiedAfterMove = 4 * time.Second
)

// Lease is the time for which a relay may act on its list. Each answer of discovery extends it. Without further answers it
// expires, because by then discovery may have changes that count as notified.
type Lease struct {
	Confirmed time.Time // the list had every change at this time or later; the start of the process, if there was no answer yet
	Expires   time.Time // from this time on a change that the list lacks may count as notified
	Failures  int       // failed calls since the last answer
	Version   int64     // of the list
}

// leaseState is the state from which a Lease is computed. It reads no clock; each method takes the times that it needs.
type leaseState struct {
	confirmed time.Time
	// cap is the earliest time from which a change that the list lacks counts as notified for a reason other than
	// the list's age; zero for none.
	cap      time.Time
	failures int
}

// newLeaseState returns the state at the start of a process, before any answer: that of the previous process's lease, or, if
// that is unknown, that of a list confirmed now.
func newLeaseState(now time.Time, previous *Lease) leaseState {
	if previous == nil {
		return leaseState{confirmed: now}
	}
	return leaseState{confirmed: previous.Confirmed, cap: previous.Expires, failures: previous.Failures}
}

// confirm records a complete answer, which had every change that discovery had at the given time.
func (l *leaseState) confirm(at time.Time) {
	if at.Before(l.confirmed) {
		at = l.confirmed
	}
	*l = leaseState{confirmed: at}
}

// recordFailure records a failed call. Changes that discovery had meanwhile count as notified after NotifiedAfter, which the
// lease's duration allows for already.
func (l *leaseState) recordFailure() { l.failures++ }

// recordUnreachable records a call, begun at startedAt, whose connection was refused. The time after which changes count as
// notified starts only when discovery can be reached again.
func (l *leaseState) recordUnreachable(startedAt time.Time) {
	if startedAt.After(l.confirmed) {
		l.confirmed = startedAt
	}
}

// recordPartialAnswer records that an answer has begun to arrive, or has arrived and cannot be used. The changes in it count as
// notified.
func (l *leaseState) recordPartialAnswer(now time.Time) { l.limitExpiry(now) }

// recordMove records that discovery has another address.
func (l *leaseState) recordMove(now time.Time) { l.limitExpiry(now.Add(notifiedAfterMove)) }

// limitExpiry lowers cap to a time, if that is earlier.
func (l *leaseState) limitExpiry(at time.Time) {
	if l.cap.IsZero() || at.Before(l.cap) {
		l.cap = at
	}
}

// leaseDuration returns for how long a list may be acted on after it was confirmed. MaxPollInterval is longer than that in large
// fleets, but it applies to a relay whose next call is answered. If that call fails, changes count as notified NotifiedAfter
// after they were made, even for messages that were sent before the call failed. While the relay acts on the list it cannot
// know how the next call will end.
func (f Fleet) leaseDuration() time.Duration {
	if !polls(f.Size) || f.MaxPollInterval <= 0 { // a watching relay always has a call in flight, so a shorter interval does not apply to it
		return NotifiedAfter
	}
	return min(f.MaxPollInterval, NotifiedAfter)
}

// snapshot returns the lease of a list that may be acted on for the given duration after it was confirmed.
func (l *leaseState) snapshot(duration time.Duration) Lease {
	expires := l.confirmed.Add(duration)
	if !l.cap.IsZero() && l.cap.Before(expires) {
		expires = l.cap
	}
	return Lease{Confirmed: l.confirmed, Expires: expires, Failures: l.failures}
}
