// Package hollow simulates a fleet of thousands of members without message paths, for tests. Each member has a session with
// real keepers, the state that a relay stores from that session, and a list of endpoints. One process runs some hundreds of
// members, spread over regions that are far from each other. The simulation shows the cost of agreeing on a configuration at a
// size at which separate relay processes would not fit on one machine.
package hollow

import (
	"slices"
	"time"

	"larchrouter/internal/fleet/lease"
)

// Stopped is the mode of a member without a running process.
const Stopped lease.Mode = -1

// Transition states the mode and the generations by which a member acts from a time on.
type Transition struct {
	At     time.Duration // on the machine's monotonic clock, which all processes share
	Member int
	Mode   lease.Mode
	Force  uint64 // current generation; 0 for none
	Next   uint64 // next generation in mode Joined, in which both are used; else 0
}

// hasLease reports whether the member acts by a generation under a lease that has not expired.
func (a Transition) hasLease() bool { return a.Mode == lease.Single || a.Mode == lease.Joined }

// ProposedChange is a change of the configuration that operators proposed.
type ProposedChange struct {
	Number uint64        // of the generation
	At     time.Duration // on Clock, when the proposal was due
}

// Recovery names members that were stopped or cut off until At.
type Recovery struct {
	At      time.Duration // on Clock
	Members []int
}

// Verdict is the result of judging a history of transitions.
type Verdict struct {
	// Contradiction is the longest time for which one member acted by a generation alone while another member with a lease
	// did not use that generation yet. Acting by the fallback contradicts nothing, as in the lab's rules.
	Contradiction    time.Duration
	ThreeGenerations time.Duration   // longest time for which three or more generations were in use
	InEffect         []time.Duration // for each proposed change, the time until no member with a lease acted without it; -1 for never
	RecoveryTimes    []time.Duration // for each recovery, the time until all of its members had a lease; -1 for never
	FallbackTime     time.Duration   // total time, summed over all members, in which running members acted by the fallback
	Transitions      int             // number of transitions in the history
}

// analysis processes a history in the order of time.
type analysis struct {
	lastTransition time.Duration // time of the latest transition
	current        map[int]Transition
	leaseCount     map[Transition]int // members with a lease, by transition without its time and member
	// contradictionSince and threeSince are the times at which the current violation began; -1 while there is none.
	contradictionSince, threeSince time.Duration
	verdict                        Verdict
}

// Judge returns the verdict on a history of transitions that ended at a time, with the proposals and recoveries made during it.
func Judge(transitions []Transition, proposals []ProposedChange, recoveries []Recovery, end time.Duration) Verdict {
	transitions = slices.Clone(transitions)
	slices.SortStableFunc(transitions, func(a, b Transition) int { return int(a.At - b.At) })
	s := &analysis{current: map[int]Transition{}, leaseCount: map[Transition]int{}, contradictionSince: -1, threeSince: -1}
	s.verdict.Transitions = len(transitions)
	s.verdict.InEffect, s.verdict.RecoveryTimes = unsetDurations(len(proposals)), unsetDurations(len(recoveries))
	for _, a := range transitions {
		// Proposals and recoveries made between two transitions are checked against the state before the later one.
		s.recordCompletions(proposals, recoveries, a.At)
		s.apply(a)
		s.check(a.At)
		s.lastTransition = a.At
	}
	s.recordCompletions(proposals, recoveries, end)
	for _, a := range s.current {
		if a.Mode == lease.Fallback {
			s.verdict.FallbackTime += end - a.At
		}
	}
	s.endSpan(&s.contradictionSince, &s.verdict.Contradiction, end)
	s.endSpan(&s.threeSince, &s.verdict.ThreeGenerations, end)
	return s.verdict
}

// unsetDurations returns n durations of -1, which stands for an event that did not happen.
func unsetDurations(n int) []time.Duration { return slices.Repeat([]time.Duration{-1}, n) }

// apply records a member's transition.
func (s *analysis) apply(a Transition) {
	key := func(a Transition) Transition { return Transition{Mode: a.Mode, Force: a.Force, Next: a.Next} }
	if old, ok := s.current[a.Member]; ok {
		if old.Mode == lease.Fallback {
			s.verdict.FallbackTime += a.At - old.At
		}
		if old.hasLease() {
			if s.leaseCount[key(old)]--; s.leaseCount[key(old)] == 0 {
				delete(s.leaseCount, key(old))
			}
		}
	}
	s.current[a.Member] = a
	if a.hasLease() {
		s.leaseCount[key(a)]++
	}
}

// check begins or ends violations according to the state from a time on.
func (s *analysis) check(at time.Duration) {
	var newestAlone uint64 // the newest generation by which a member acts alone
	inUse := map[uint64]bool{}
	for a := range s.leaseCount {
		inUse[a.Force] = true
		if a.Next != 0 {
			inUse[a.Next] = true
		} else {
			newestAlone = max(newestAlone, a.Force)
		}
	}
	contradiction := false
	for a := range s.leaseCount {
		contradiction = contradiction || max(a.Force, a.Next) < newestAlone
	}
	delete(inUse, 0) // a member that joins the first generation has 0 as its current one
	s.updateSpan(contradiction, &s.contradictionSince, &s.verdict.Contradiction, at)
	s.updateSpan(len(inUse) > 2, &s.threeSince, &s.verdict.ThreeGenerations, at)
}

// updateSpan begins a span when the condition becomes active and ends it when it no longer is.
func (s *analysis) updateSpan(active bool, since, longest *time.Duration, at time.Duration) {
	switch {
	case active && *since < 0:
		*since = at
	case !active:
		s.endSpan(since, longest, at)
	}
}

// endSpan ends a span that has begun, and keeps the longest duration.
func (s *analysis) endSpan(since, longest *time.Duration, at time.Duration) {
	if *since >= 0 {
		*longest = max(*longest, at-*since)
	}
	*since = -1
}

// recordCompletions records which changes are in effect everywhere and which recoveries are complete, given that nothing has
// changed between the latest transition and the time until.
func (s *analysis) recordCompletions(proposals []ProposedChange, recoveries []Recovery, until time.Duration) {
	oldest, anyLease := ^uint64(0), false
	for a := range s.leaseCount {
		oldest, anyLease = min(oldest, a.Force), true
	}
	for i, c := range proposals {
		if s.verdict.InEffect[i] < 0 && anyLease && oldest >= c.Number && c.At <= until {
			s.verdict.InEffect[i] = max(0, s.lastTransition-c.At)
		}
	}
	for i, r := range recoveries {
		if s.verdict.RecoveryTimes[i] < 0 && r.At <= until && !slices.ContainsFunc(r.Members, func(m int) bool { return !s.current[m].hasLease() }) {
			s.verdict.RecoveryTimes[i] = max(0, s.lastTransition-r.At)
		}
	}
}
