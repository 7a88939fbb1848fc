package rules

import (
	"fmt"

	"larchrouter/internal/lab/history"
)

// Agreed is how relays went from one generation to the next, by what their calls say that they acted by.
type GenerationUse struct {
	Calls map[string]int `json:"calls"` // by mode
	// Contradiction is the longest time in seconds for which a relay still acted without a generation after another
	// had begun to act by that alone; 0 for never. Acting by the fallback contradicts none.
	Contradiction float64 `json:"contradiction_s"`
	// Three is the longest time for which the join of two was acted by after a third generation had been.
	ThreeInUse  float64           `json:"three_s"`
	Generations []GenerationTimes `json:"seen"` // generations, in their order
}

// Seen is when a generation was acted by, in seconds.
type GenerationTimes struct {
	Number uint64  `json:"number"`
	Joined float64 `json:"joined_s"` // the first call by it and another; below 0 for none
	Alone  float64 `json:"alone_s"`  // the first call by it alone; below 0 for none
	Last   float64 `json:"last_s"`   // the last call by it, or by a join of which it is the newer
}

// seen is the entry of a generation, in its place.
func (use *GenerationUse) generation(number uint64) *GenerationTimes {
	i := 0
	for i < len(use.Generations) && use.Generations[i].Number < number {
		i++
	}
	if i == len(use.Generations) || use.Generations[i].Number != number {
		use.Generations = append(use.Generations, GenerationTimes{})
		copy(use.Generations[i+1:], use.Generations[i:])
		use.Generations[i] = GenerationTimes{Number: number, Joined: -1, Alone: -1, Last: -1}
	}
	return &use.Generations[i]
}

// agreed takes in by what a call was decided. Calls are in the order of their ends, so each is held against those
// that began before it and after.
func (c *Checker) recordGenerations(e history.Event) {
	if e.Agreed == "" {
		return
	}
	var revision, inEffect, next uint64
	var mode string
	if _, err := fmt.Sscanf(e.Agreed, "%d %d %d %s", &revision, &inEffect, &next, &mode); err != nil {
		c.addViolation(Own, e.T, e.IDs[0], fmt.Sprintf("its call says %q of what it was decided by", e.Agreed), []string{e.Relay}, e)
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
	begunAt := float64(e.Begun) / 1e6
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

func (a *GenerationUse) String() string {
	return fmt.Sprintf("%d generations acted by, calls by mode %v, longest contradiction %.3f s, three in use %.3f s", len(a.Generations), a.Calls, a.Contradiction, a.ThreeInUse)
}
