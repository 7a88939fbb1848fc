// Package hollow plays a fleet of thousands without its message paths: members that have a session with real keepers,
// what they keep of it and their list, some hundreds in a process, in regions that are far from each other. It shows
// what the agreement costs at a size at which relays as processes of their own would not fit on one machine.
package hollow

import (
	"slices"
	"time"

	"larchrouter/internal/fleet/hold"
)

// Gone is the mode of a member that has no process.
const Stopped hold.Mode = -1

// Act is by what a member acts from a time on.
type Transition struct {
	At     time.Duration // by the machine's monotonic clock, which all processes share
	Member int
	Mode   hold.Mode
	Force  uint64
	Next   uint64 // 0 unless two are joined
}

// leased tells whether it is by a generation, under a lease that has not run out.
func (a Transition) hasLease() bool { return a.Mode == hold.Alone || a.Mode == hold.Joined }

// Asked is a change that operators asked for.
type ProposedChange struct {
	Number uint64
	At     time.Duration
}

// Return is of members that were gone, or cut off, until a time.
type Recovery struct {
	At      time.Duration
	Members []int
}

// Verdict is what a history of acts shows.
type Verdict struct {
	// Contradiction is the longest time for which one member still acted without a generation and another by that alone.
	// Acting by the fallback contradicts nothing, as the lab's rules have it.
	Contradiction    time.Duration
	ThreeGenerations time.Duration   // the longest time for which three generations or more were in use
	InEffect         []time.Duration // of each change asked for, until nobody who held a lease acted without it; below 0 for never
	RecoveryTimes    []time.Duration // of each return, until all of its members held a lease; below 0 for never
	FallbackTime     time.Duration   // time of all members together in which a running one acted by the fallback
	Transitions      int
}

// sweep goes through a history in the order of time.
type analysis struct {
	lastTransition time.Duration // when something changed last
	current        map[int]Transition
	leaseCount     map[Transition]int // of those that hold a lease, with neither time nor member
	// contradiction and three are since when either has lasted; below 0 while it does not.
	contradictionSince, threeSince time.Duration
	verdict                        Verdict
}

// Judge tells what a history shows that ended at a time.
func Judge(transitions []Transition, proposals []ProposedChange, recoveries []Recovery, end time.Duration) Verdict {
	transitions = slices.Clone(transitions)
	slices.SortStableFunc(transitions, func(a, b Transition) int { return int(a.At - b.At) })
	s := &analysis{current: map[int]Transition{}, leaseCount: map[Transition]int{}, contradictionSince: -1, threeSince: -1}
	s.verdict.Transitions = len(transitions)
	s.verdict.InEffect, s.verdict.RecoveryTimes = unsetDurations(len(proposals)), unsetDurations(len(recoveries))
	for _, a := range transitions {
		// What held until now, for what is asked of a time between two acts.
		s.recordCompletions(proposals, recoveries, a.At)
		s.apply(a)
		s.check(a.At)
		s.lastTransition = a.At
	}
	s.recordCompletions(proposals, recoveries, end)
	for _, a := range s.current {
		if a.Mode == hold.Fallback {
			s.verdict.FallbackTime += end - a.At
		}
	}
	s.endSpan(&s.contradictionSince, &s.verdict.Contradiction, end)
	s.endSpan(&s.threeSince, &s.verdict.ThreeGenerations, end)
	return s.verdict
}

// fill is spans of which none is known.
func unsetDurations(n int) []time.Duration { return slices.Repeat([]time.Duration{-1}, n) }

// take has a member act by something else.
func (s *analysis) apply(a Transition) {
	key := func(a Transition) Transition { return Transition{Mode: a.Mode, Force: a.Force, Next: a.Next} }
	if old, ok := s.current[a.Member]; ok {
		if old.Mode == hold.Fallback {
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

// look tells what is wrong from a time on.
func (s *analysis) check(at time.Duration) {
	var newestAlone uint64 // the newest by which one acts alone
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
	delete(inUse, 0) // the join of no generation and the first
	s.updateSpan(contradiction, &s.contradictionSince, &s.verdict.Contradiction, at)
	s.updateSpan(len(inUse) > 2, &s.threeSince, &s.verdict.ThreeGenerations, at)
}

// mark begins or ends a span.
func (s *analysis) updateSpan(active bool, since, longest *time.Duration, at time.Duration) {
	switch {
	case active && *since < 0:
		*since = at
	case !active:
		s.endSpan(since, longest, at)
	}
}

func (s *analysis) endSpan(since, longest *time.Duration, at time.Duration) {
	if *since >= 0 {
		*longest = max(*longest, at-*since)
	}
	*since = -1
}

// reached notes which changes are in force everywhere, and who is back, given that nothing has changed since the last act and
// before a time.
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
