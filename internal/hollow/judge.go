// Package hollow plays a fleet of thousands without its message paths: members that have a session with real keepers,
// what they keep of it and their list, some hundreds in a process, in regions that are far from each other. It shows
// what the agreement costs at a size at which relays as processes of their own would not fit on one machine.
package hollow

import (
	"slices"
	"time"

	"larchrouter/internal/fleet/lease"
)

// Gone is the mode of a member that has no process.
const Gone lease.Mode = -1

// Act is by what a member acts from a time on.
type Act struct {
	At     time.Duration // by the machine's monotonic clock, which all processes share
	Member int
	Mode   lease.Mode
	Force  uint64
	Next   uint64 // 0 unless two are joined
}

// leased tells whether it is by a generation, under a lease that has not run out.
func (a Act) leased() bool { return a.Mode == lease.Single || a.Mode == lease.Joined }

// Asked is a change that operators asked for.
type Asked struct {
	Number uint64
	At     time.Duration
}

// Return is of members that were gone, or cut off, until a time.
type Return struct {
	At      time.Duration
	Members []int
}

// Verdict is what a history of acts shows.
type Verdict struct {
	// Contradiction is the longest time for which one member still acted without a generation and another by that alone.
	// Acting by the fallback contradicts nothing, as the lab's rules have it.
	Contradiction time.Duration
	Three         time.Duration   // the longest time for which three generations or more were in use
	InForce       []time.Duration // of each change asked for, until nobody who held a lease acted without it; below 0 for never
	Back          []time.Duration // of each return, until all of its members held a lease; below 0 for never
	Out           time.Duration   // time of all members together in which a running one acted by the fallback
	Acts          int
}

// sweep goes through a history in the order of time.
type sweep struct {
	last  time.Duration // when something changed last
	now   map[int]Act
	count map[Act]int // of those that hold a lease, with neither time nor member
	// contradiction and three are since when either has lasted; below 0 while it does not.
	contradiction, three time.Duration
	verdict              Verdict
}

// Judge tells what a history shows that ended at a time.
func Judge(acts []Act, asked []Asked, returns []Return, end time.Duration) Verdict {
	acts = slices.Clone(acts)
	slices.SortStableFunc(acts, func(a, b Act) int { return int(a.At - b.At) })
	s := &sweep{now: map[int]Act{}, count: map[Act]int{}, contradiction: -1, three: -1}
	s.verdict.Acts = len(acts)
	s.verdict.InForce, s.verdict.Back = fill(len(asked)), fill(len(returns))
	for _, a := range acts {
		// What held until now, for what is asked of a time between two acts.
		s.reached(asked, returns, a.At)
		s.take(a)
		s.look(a.At)
		s.last = a.At
	}
	s.reached(asked, returns, end)
	for _, a := range s.now {
		if a.Mode == lease.Fallback {
			s.verdict.Out += end - a.At
		}
	}
	s.end(&s.contradiction, &s.verdict.Contradiction, end)
	s.end(&s.three, &s.verdict.Three, end)
	return s.verdict
}

// fill is spans of which none is known.
func fill(n int) []time.Duration { return slices.Repeat([]time.Duration{-1}, n) }

// take has a member act by something else.
func (s *sweep) take(a Act) {
	key := func(a Act) Act { return Act{Mode: a.Mode, Force: a.Force, Next: a.Next} }
	if old, ok := s.now[a.Member]; ok {
		if old.Mode == lease.Fallback {
			s.verdict.Out += a.At - old.At
		}
		if old.leased() {
			if s.count[key(old)]--; s.count[key(old)] == 0 {
				delete(s.count, key(old))
			}
		}
	}
	s.now[a.Member] = a
	if a.leased() {
		s.count[key(a)]++
	}
}

// look tells what is wrong from a time on.
func (s *sweep) look(at time.Duration) {
	var alone uint64 // the newest by which one acts alone
	used := map[uint64]bool{}
	for a := range s.count {
		used[a.Force] = true
		if a.Next != 0 {
			used[a.Next] = true
		} else {
			alone = max(alone, a.Force)
		}
	}
	without := false
	for a := range s.count {
		without = without || max(a.Force, a.Next) < alone
	}
	delete(used, 0) // the join of no generation and the first
	s.mark(without, &s.contradiction, &s.verdict.Contradiction, at)
	s.mark(len(used) > 2, &s.three, &s.verdict.Three, at)
}

// mark begins or ends a span.
func (s *sweep) mark(on bool, since, longest *time.Duration, at time.Duration) {
	switch {
	case on && *since < 0:
		*since = at
	case !on:
		s.end(since, longest, at)
	}
}

func (s *sweep) end(since, longest *time.Duration, at time.Duration) {
	if *since >= 0 {
		*longest = max(*longest, at-*since)
	}
	*since = -1
}

// reached notes which changes are in force everywhere, and who is back, given that nothing has changed since the last act and
// before a time.
func (s *sweep) reached(asked []Asked, returns []Return, until time.Duration) {
	least, some := ^uint64(0), false
	for a := range s.count {
		least, some = min(least, a.Force), true
	}
	for i, c := range asked {
		if s.verdict.InForce[i] < 0 && some && least >= c.Number && c.At <= until {
			s.verdict.InForce[i] = max(0, s.last-c.At)
		}
	}
	for i, r := range returns {
		if s.verdict.Back[i] < 0 && r.At <= until && !slices.ContainsFunc(r.Members, func(m int) bool { return !s.now[m].leased() }) {
			s.verdict.Back[i] = max(0, s.last-r.At)
		}
	}
}
