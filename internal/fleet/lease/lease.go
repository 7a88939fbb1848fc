// Package lease is a state machine for the lease under which a relay acts on generations of the replicated configuration. Times
// are readings of the relay's own monotonic clock, passed with each call: nothing here reads a clock, and no time of another
// machine is compared with them.
//
// A revision is the keepers' number of a state of the configuration: which generation is in effect, and which one is prepared. A
// relay adopts revisions in their order and never returns to an earlier one, even if answers arrive late, twice or out of order.
// When its lease has expired, it acts by the fallback of the generations that it acted on last, until an answer renews the lease.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Mode is the kind of settings by which a relay acts.
type Mode int

// The modes.
const (
	OwnFile  Mode = iota // the relay's own file; it has never adopted a generation
	Single               // one generation, the one in effect
	Joined               // what both the generation in effect and the prepared one allow
	Fallback             // the lease has expired: what the last adopted generations and the relay's own file allow
)

func (m Mode) String() string { return [...]string{"own", "alone", "joined", "fallback"}[m] }

// Status is what a relay acts on at a time.
type Status struct {
	Mode     Mode
	Revision uint64
	// Current and Next are the numbers of the generation in effect and of the prepared one; Next is 0 unless two are joined. In
	// mode Fallback they are those of the last adopted revision.
	Current, Next uint64
}

// Grant is the answer of the keepers to a request: the present revision, and the duration of the lease on it.
type Grant struct {
	// RequestedAt is when the request was sent, by the relay's clock. The lease starts then, so it ends no later than by the
	// keeper's count, which starts later.
	RequestedAt   time.Duration
	Duration      time.Duration
	Revision      uint64
	Current, Next uint64
}

// Lease is the state of one relay's lease. The zero value is that of a relay that has never had one. It is not safe for concurrent
// use.
type Lease struct {
	received Grant         // newest accepted answer
	adopted  Grant         // the revision that the relay acts on
	expires  time.Duration // when the lease ends
	granted  bool          // Renew has succeeded in this process
	latest   time.Duration // latest time seen, so that a clock that seems to run backwards prolongs no lease
}

// The reasons for which an answer is rejected.
var (
	// ErrStale reports an answer of an earlier revision than one received before: it was overtaken on its way, or comes from a
	// keeper that lags behind.
	ErrStale = errors.New("the answer is of an earlier revision")
	// ErrInvalid reports an answer that contradicts itself or an earlier answer of the same revision.
	ErrInvalid = errors.New("the answer is invalid")
)

// maxDuration is the longest lease that is accepted, so that a faulty keeper cannot have a relay act on a generation for ever.
const maxDuration = 10 * time.Minute

// Renew processes an answer that arrived by now. An accepted answer extends the lease, and its revision becomes pending if it is
// newer than the adopted one. A rejected answer changes nothing; the error is ErrStale or ErrInvalid with details.
func (l *Lease) Renew(now time.Duration, grant Grant) error {
	now = l.advance(now)
	switch {
	case grant.RequestedAt > now || grant.RequestedAt < 0 || grant.Duration <= 0 || grant.Duration > maxDuration:
		return fmt.Errorf("%w: requested at %v, now %v, lease %v", ErrInvalid, grant.RequestedAt, now, grant.Duration)
	case grant.Next != 0 && grant.Next <= grant.Current || grant.Revision == 0 && (grant.Current != 0 || grant.Next != 0):
		return fmt.Errorf("%w: revision %d, generations %d and %d", ErrInvalid, grant.Revision, grant.Current, grant.Next)
	case grant.Revision < l.received.Revision || grant.Current < l.received.Current:
		return fmt.Errorf("%w: %d after %d", ErrStale, grant.Revision, l.received.Revision)
	case grant.Revision == l.received.Revision && l.granted && (grant.Current != l.received.Current || grant.Next != l.received.Next):
		return fmt.Errorf("%w: revision %d has other generations than before", ErrInvalid, grant.Revision)
	}
	l.received, l.granted = grant, true
	l.expires = max(l.expires, grant.RequestedAt+grant.Duration)
	return nil
}

// Resume starts from the revision that an earlier process of the relay acted on. Its lease counts as expired, as no clock has
// measured the time since.
func (l *Lease) Resume(grant Grant) {
	grant.RequestedAt, grant.Duration = 0, 0
	l.received, l.adopted, l.expires = grant, grant, 0
}

// Pending returns the received revision that the relay has yet to adopt, if there is one.
func (l *Lease) Pending() (grant Grant, ok bool) {
	return l.received, l.received.Revision > l.adopted.Revision
}

// Adopt records that the relay acts on a revision from now on. The relay confirms a revision to the keepers only after this. Adopt
// returns ErrStale for a revision other than the newest received one, which the relay must not act on.
func (l *Lease) Adopt(revision uint64) error {
	if revision != l.received.Revision || revision < l.adopted.Revision {
		return fmt.Errorf("%w: %d is not the newest one, %d", ErrStale, revision, l.received.Revision)
	}
	l.adopted = l.received
	return nil
}

// Status returns what the relay acts on now. The relay's loop calls it before any other work, so a process that was stopped for
// longer than its lease learns of that first.
func (l *Lease) Status(now time.Duration) Status {
	now = l.advance(now)
	status := Status{Revision: l.adopted.Revision, Current: l.adopted.Current, Next: l.adopted.Next}
	switch {
	case l.adopted.Current == 0 && l.adopted.Next == 0:
		status.Mode = OwnFile
	case now >= l.expires:
		status.Mode = Fallback
	case l.adopted.Next != 0:
		status.Mode = Joined
	default:
		status.Mode = Single
	}
	return status
}

// Remaining returns the rest of the lease; 0 if it has expired.
func (l *Lease) Remaining(now time.Duration) time.Duration { return max(0, l.expires-l.advance(now)) }

// advance returns the later of now and the latest time seen.
func (l *Lease) advance(now time.Duration) time.Duration {
	l.latest = max(l.latest, now)
	return l.latest
}
