// Package hold is what a relay holds by lease from the keepers, and by what it acts, as a pure state machine. Time is
// the relay's own monotonic clock, handed in with each call; nothing here reads one, and no other machine's time is
// compared with it.
//
// A relay takes turns up in their order and never goes back to an earlier one, whatever comes late, twice or out of
// order. When its lease has run out it acts by the fallback of the generation that it acted by last, until it hears
// of the present turn again.
package hold

import (
	"errors"
	"fmt"
	"time"
)

// Mode says by what a relay acts.
type Mode int

// The modes.
const (
	OwnFile  Mode = iota // its own file and discovery's list: it never had a generation
	Single               // one generation
	Joined               // the join of two neighbours
	Fallback             // the fallback of the last one that it held: its lease has run out
)

func (m Mode) String() string { return [...]string{"own", "alone", "joined", "fallback"}[m] }

// Acts is by what a relay acts at a time.
type Status struct {
	Mode     Mode
	Revision uint64
	// Force and Next are numbers of generations; Next is 0 unless two are joined. In a fallback they are those of
	// the last turn, of which the relay takes what both allow.
	Current, Next uint64
}

// Told is what the keepers answer to a question: which turn it is, and for how long the session holds.
type Grant struct {
	// Asked is when the question went out, by the relay's clock: the lease counts from then, for the keeper counts
	// it from a later time.
	RequestedAt   time.Duration
	Duration      time.Duration
	Revision      uint64
	Current, Next uint64
}

// Holder is one relay's. The zero value holds nothing.
type Lease struct {
	received Grant         // of the newest turn heard of
	adopted  Grant         // of the turn taken up
	expires  time.Duration // when the lease ends
	granted  bool          // it has held a lease
	latest   time.Duration // the latest time seen: a clock that seems to run backwards ends no lease later
}

// Why an answer is not taken.
var (
	// ErrOld says that an answer is of an earlier turn than one heard of before: it was overtaken on its way, or
	// comes from a keeper that has been left behind.
	ErrStale = errors.New("the answer is of an earlier turn")
	// ErrOdd says that an answer contradicts itself or what was told of the same turn.
	ErrInvalid = errors.New("the answer makes no sense")
)

// leaseMost bounds what a keeper can tell: one that is wrong must not have a relay act for ever.
const maxDuration = 10 * time.Minute

// Hear takes in an answer. Its lease counts if the answer does.
func (l *Lease) Renew(now time.Duration, grant Grant) error {
	now = l.advance(now)
	switch {
	case grant.RequestedAt > now || grant.RequestedAt < 0 || grant.Duration <= 0 || grant.Duration > maxDuration:
		return fmt.Errorf("%w: asked at %v, now %v, lease %v", ErrInvalid, grant.RequestedAt, now, grant.Duration)
	case grant.Next != 0 && grant.Next <= grant.Current || grant.Revision == 0 && (grant.Current != 0 || grant.Next != 0):
		return fmt.Errorf("%w: turn %d, generations %d and %d", ErrInvalid, grant.Revision, grant.Current, grant.Next)
	case grant.Revision < l.received.Revision || grant.Current < l.received.Current:
		return fmt.Errorf("%w: %d, after %d", ErrStale, grant.Revision, l.received.Revision)
	case grant.Revision == l.received.Revision && l.granted && (grant.Current != l.received.Current || grant.Next != l.received.Next):
		return fmt.Errorf("%w: turn %d is told in two ways", ErrInvalid, grant.Revision)
	}
	l.received, l.granted = grant, true
	l.expires = max(l.expires, grant.RequestedAt+grant.Duration)
	return nil
}

// Resume takes up what an earlier process of the relay acted by. No clock has been running since: its lease is over.
func (l *Lease) Resume(grant Grant) {
	grant.RequestedAt, grant.Duration = 0, 0
	l.received, l.adopted, l.expires = grant, grant, 0
}

// Due is the turn that the relay has heard of and has yet to take up, if there is one.
func (l *Lease) Pending() (grant Grant, ok bool) {
	return l.received, l.received.Revision > l.adopted.Revision
}

// Take says that the relay's loop acts by a turn from now on. It is told so, and confirmed to the keepers, only
// after that is so; a turn other than the newest heard of is refused, for it must not be acted by.
func (l *Lease) Adopt(revision uint64) error {
	if revision != l.received.Revision || revision < l.adopted.Revision {
		return fmt.Errorf("%w: %d is not the newest, %d", ErrStale, revision, l.received.Revision)
	}
	l.adopted = l.received
	return nil
}

// Acts tells by what the relay acts now. It is asked before each turn of the loop, and so also by a process that was
// stopped for longer than its lease, before it does anything.
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

// Left is how much of the lease there is; 0 once it has run out.
func (l *Lease) Remaining(now time.Duration) time.Duration { return max(0, l.expires-l.advance(now)) }

// at keeps time from running backwards.
func (l *Lease) advance(now time.Duration) time.Duration {
	l.latest = max(l.latest, now)
	return l.latest
}
