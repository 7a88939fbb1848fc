package discovery

import "time"

// When a change of the list counts as told to a relay that has not heard of it (protocol page, "Discovery", and the terms of
// the fleet pages).
const (
	// HeardIn is how long after a change discovery counts as having told it to a relay whose call failed, was refused or
	// given up, from when discovery had it and could be reached.
	NotifiedAfter = 6 * time.Second
	// movedIn is the same after the relay was told of another address.
	notifiedAfterMove = 4 * time.Second
)

// Lease is how a list stands that a relay acts on. The relay holds it for a while after each answer; it runs out where no
// further answer comes, since discovery may have changes that count as told by then.
type Lease struct {
	Confirmed time.Time // the list had all that discovery had at this time, or later; the start, if there was no answer yet
	Expires   time.Time // from then on something that the list lacks may count as told
	Failures  int       // calls that failed since the last answer
	Version   int64     // of the list
}

// lease is the state behind a Lease: pure, with the time as an argument.
type leaseState struct {
	confirmed time.Time
	// cap is the earliest time from which something that the list lacks counts as told for another reason than its age;
	// zero for none.
	expiryLimit time.Time
	failures    int
}

// newLease is the lease of a list that was not heard of in this process: as the process before held it, or, where nothing is
// known of that, as if it had been heard of now.
func newLeaseState(now time.Time, previous *Lease) leaseState {
	if previous == nil {
		return leaseState{confirmed: now}
	}
	return leaseState{confirmed: previous.Confirmed, expiryLimit: previous.Expires, failures: previous.Failures}
}

// confirm takes in an answer that came whole and told all that discovery had at a time.
func (l *leaseState) confirm(at time.Time) {
	if at.Before(l.confirmed) {
		at = l.confirmed
	}
	*l = leaseState{confirmed: at}
}

// fail takes in a call that failed. What discovery had and could tell meanwhile counts as told; the lease allows for that already.
func (l *leaseState) recordFailure() { l.failures++ }

// unreachable takes in a call that nobody was there to take, begun at a time: what changes counts from the time at which
// discovery can be reached again.
func (l *leaseState) recordUnreachable(startedAt time.Time) {
	if startedAt.After(l.confirmed) {
		l.confirmed = startedAt
	}
}

// written takes in that an answer has begun to come, or came and could not be used: what it tells counts as told.
func (l *leaseState) recordPartialAnswer(now time.Time) { l.limitExpiry(now) }

// move takes in that discovery is at another address.
func (l *leaseState) recordMove(now time.Time) { l.limitExpiry(now.Add(notifiedAfterMove)) }

func (l *leaseState) limitExpiry(at time.Time) {
	if l.expiryLimit.IsZero() || at.Before(l.expiryLimit) {
		l.expiryLimit = at
	}
}

// span is for how long a list may be acted on after it was confirmed. The settings' time for asking is longer in large fleets, but
// it is for a relay whose next call is answered. If that one fails, changes count as told HeardIn after they were made, also
// for what was sent before it; and how it will end is not known while the list is acted on.
func (f Fleet) leaseDuration() time.Duration {
	if !polls(f.Size) || f.MaxPollInterval <= 0 { // one that watches asks all the time, so a shorter time says nothing of it
		return NotifiedAfter
	}
	return min(f.MaxPollInterval, NotifiedAfter)
}

// state is how the list stands where it may be acted on for a time after it was confirmed.
func (l *leaseState) snapshot(duration time.Duration) Lease {
	expires := l.confirmed.Add(duration)
	if !l.expiryLimit.IsZero() && l.expiryLimit.Before(expires) {
		expires = l.expiryLimit
	}
	return Lease{Confirmed: l.confirmed, Expires: expires, Failures: l.failures}
}
