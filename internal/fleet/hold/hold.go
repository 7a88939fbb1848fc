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
	Own      Mode = iota // its own file and discovery's list: it never had a generation
	Alone                // one generation
	Joined               // the join of two neighbours
	Fallback             // the fallback of the last one that it held: its lease has run out
)

func (m Mode) String() string { return [...]string{"own", "alone", "joined", "fallback"}[m] }

// Acts is by what a relay acts at a time.
type Acts struct {
	Mode Mode
	Turn uint64
	// Force and Next are numbers of generations; Next is 0 unless two are joined. In a fallback they are those of
	// the last turn, of which the relay takes what both allow.
	Force, Next uint64
}

// Told is what the keepers answer to a question: which turn it is, and for how long the session holds.
type Told struct {
	// Asked is when the question went out, by the relay's clock: the lease counts from then, for the keeper counts
	// it from a later time.
	Asked       time.Duration
	Lease       time.Duration
	Turn        uint64
	Force, Next uint64
}

// Holder is one relay's. The zero value holds nothing.
type Holder struct {
	told  Told          // of the newest turn heard of
	acts  Told          // of the turn taken up
	until time.Duration // when the lease ends
	had   bool          // it has held a lease
	now   time.Duration // the latest time seen: a clock that seems to run backwards ends no lease later
}

// Why an answer is not taken.
var (
	// ErrOld says that an answer is of an earlier turn than one heard of before: it was overtaken on its way, or
	// comes from a keeper that has been left behind.
	ErrOld = errors.New("the answer is of an earlier turn")
	// ErrOdd says that an answer contradicts itself or what was told of the same turn.
	ErrOdd = errors.New("the answer makes no sense")
)

// leaseMost bounds what a keeper can tell: one that is wrong must not have a relay act for ever.
const leaseMost = 10 * time.Minute

// Hear takes in an answer. Its lease counts if the answer does.
func (h *Holder) Hear(now time.Duration, t Told) error {
	now = h.at(now)
	switch {
	case t.Asked > now || t.Asked < 0 || t.Lease <= 0 || t.Lease > leaseMost:
		return fmt.Errorf("%w: asked at %v, now %v, lease %v", ErrOdd, t.Asked, now, t.Lease)
	case t.Next != 0 && t.Next <= t.Force || t.Turn == 0 && (t.Force != 0 || t.Next != 0):
		return fmt.Errorf("%w: turn %d, generations %d and %d", ErrOdd, t.Turn, t.Force, t.Next)
	case t.Turn < h.told.Turn || t.Force < h.told.Force:
		return fmt.Errorf("%w: %d, after %d", ErrOld, t.Turn, h.told.Turn)
	case t.Turn == h.told.Turn && h.had && (t.Force != h.told.Force || t.Next != h.told.Next):
		return fmt.Errorf("%w: turn %d is told in two ways", ErrOdd, t.Turn)
	}
	h.told, h.had = t, true
	h.until = max(h.until, t.Asked+t.Lease)
	return nil
}

// Resume takes up what an earlier process of the relay acted by. No clock has been running since: its lease is over.
func (h *Holder) Resume(t Told) {
	t.Asked, t.Lease = 0, 0
	h.told, h.acts, h.until = t, t, 0
}

// Due is the turn that the relay has heard of and has yet to take up, if there is one.
func (h *Holder) Due() (t Told, ok bool) { return h.told, h.told.Turn > h.acts.Turn }

// Take says that the relay's loop acts by a turn from now on. It is told so, and confirmed to the keepers, only
// after that is so; a turn other than the newest heard of is refused, for it must not be acted by.
func (h *Holder) Take(turn uint64) error {
	if turn != h.told.Turn || turn < h.acts.Turn {
		return fmt.Errorf("%w: %d is not the newest, %d", ErrOld, turn, h.told.Turn)
	}
	h.acts = h.told
	return nil
}

// Acts tells by what the relay acts now. It is asked before each turn of the loop, and so also by a process that was
// stopped for longer than its lease, before it does anything.
func (h *Holder) Acts(now time.Duration) Acts {
	now = h.at(now)
	a := Acts{Turn: h.acts.Turn, Force: h.acts.Force, Next: h.acts.Next}
	switch {
	case h.acts.Force == 0 && h.acts.Next == 0:
		a.Mode = Own
	case now >= h.until:
		a.Mode = Fallback
	case h.acts.Next != 0:
		a.Mode = Joined
	default:
		a.Mode = Alone
	}
	return a
}

// Left is how much of the lease there is; 0 once it has run out.
func (h *Holder) Left(now time.Duration) time.Duration { return max(0, h.until-h.at(now)) }

// at keeps time from running backwards.
func (h *Holder) at(now time.Duration) time.Duration {
	h.now = max(h.now, now)
	return h.now
}
