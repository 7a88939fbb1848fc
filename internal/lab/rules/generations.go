package rules

import (
	"fmt"

	"larchrouter/internal/lab/history"
)

// GenerationUse describes how relays moved from one generation of the configuration to the next, according to what
// their calls report (X-Agreed).
type GenerationUse struct {
	Calls map[string]int `json:"calls"` // number of calls by mode
	// Contradiction is the longest time in seconds for which a relay still acted without a generation after another relay
	// had begun to act by that generation alone; 0 for never. Acting by the fallback contradicts nothing.
	Contradiction float64 `json:"contradiction_s"`
	// ThreeInUse is the longest time in seconds for which the join of two generations was still acted by after a third had
	// come into use.
	ThreeInUse  float64           `json:"three_s"`
	Generations []GenerationTimes `json:"seen"` // in ascending order of their numbers
}

// GenerationTimes says when calls acted by a generation, in seconds since the start of the run.
type GenerationTimes struct {
	Number uint64  `json:"number"`
	Joined float64 `json:"joined_s"` // first call by this generation joined with another; negative for none
	Alone  float64 `json:"alone_s"`  // first call by this generation alone; negative for none
	Last   float64 `json:"last_s"`   // last call by this generation, or by a join of which it is the newer
}

// generation returns the entry of a generation, which it inserts in order if it is missing.
func (u *GenerationUse) generation(number uint64) *GenerationTimes {
	i := 0
	for i < len(u.Generations) && u.Generations[i].Number < number {
		i++
	}
	if i == len(u.Generations) || u.Generations[i].Number != number {
		u.Generations = append(u.Generations, GenerationTimes{})
		copy(u.Generations[i+1:], u.Generations[i:])
		u.Generations[i] = GenerationTimes{Number: number, Joined: -1, Alone: -1, Last: -1}
	}
	return &u.Generations[i]
}

// recordGenerations records the generations by which a call was decided. Calls arrive in the order of their ends, not
// of their starts, so each is compared with calls that began before it and after it.
func (c *Checker) recordGenerations(e history.Event) {
	if e.Agreed == "" {
		return
	}
	var revision, inEffect, next uint64
	var mode string
	if _, err := fmt.Sscanf(e.Agreed, "%d %d %d %s", &revision, &inEffect, &next, &mode); err != nil {
		c.addViolation(Own, e.At, e.IDs[0], fmt.Sprintf("its call says %q of what it was decided by", e.Agreed), []string{e.Relay}, e)
		return
	}
	if c.report.Generations == nil {
		c.report.Generations = &GenerationUse{Calls: map[string]int{}}
	}
	use := c.report.Generations
	use.Calls[mode]++
	if mode != "alone" && mode != "joined" {
		return
	}
	begunAt := float64(e.BegunAt) / 1e6
	setEarliest := func(earliest *float64) {
		if *earliest < 0 || begunAt < *earliest {
			*earliest = begunAt
		}
	}
	if next != 0 {
		setEarliest(&use.generation(next).Joined)
	} else {
		setEarliest(&use.generation(inEffect).Alone)
	}
	newest := use.generation(max(inEffect, next))
	newest.Last = max(newest.Last, begunAt)
	for i, newer := range use.Generations {
		for _, older := range use.Generations[:i] {
			if newer.Alone >= 0 {
				use.Contradiction = max(use.Contradiction, older.Last-newer.Alone)
			}
			newerBegun := newer.Joined
			if newerBegun < 0 || newer.Alone >= 0 && newer.Alone < newerBegun {
				newerBegun = newer.Alone
			}
			if older.Joined >= 0 && newerBegun >= 0 && next == older.Number && begunAt >= newerBegun {
				use.ThreeInUse = max(use.ThreeInUse, begunAt-newerBegun)
			}
		}
	}
}

func (u *GenerationUse) String() string {
	return fmt.Sprintf("%d generations acted by, calls by mode %v, longest contradiction %.3f s, three in use %.3f s", len(u.Generations), u.Calls, u.Contradiction, u.ThreeInUse)
}
