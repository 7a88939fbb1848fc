package rules

import (
	"fmt"

	"larchrouter/internal/lab/history"
)

// Agreed is how relays went from one generation to the next, by what their calls say that they acted by.
type Agreed struct {
	Calls map[string]int `json:"calls"` // by mode
	// Contradiction is the longest time in seconds for which a relay still acted without a generation after another
	// had begun to act by that alone; 0 for never. Acting by the fallback contradicts none.
	Contradiction float64 `json:"contradiction_s"`
	// Three is the longest time for which the join of two was acted by after a third generation had been.
	Three float64 `json:"three_s"`
	Seen  []Seen  `json:"seen"` // generations, in their order
}

// Seen is when a generation was acted by, in seconds.
type Seen struct {
	Number uint64  `json:"number"`
	Joined float64 `json:"joined_s"` // the first call by it and another; below 0 for none
	Alone  float64 `json:"alone_s"`  // the first call by it alone; below 0 for none
	Last   float64 `json:"last_s"`   // the last call by it, or by a join of which it is the newer
}

// seen is the entry of a generation, in its place.
func (a *Agreed) seen(number uint64) *Seen {
	i := 0
	for i < len(a.Seen) && a.Seen[i].Number < number {
		i++
	}
	if i == len(a.Seen) || a.Seen[i].Number != number {
		a.Seen = append(a.Seen, Seen{})
		copy(a.Seen[i+1:], a.Seen[i:])
		a.Seen[i] = Seen{Number: number, Joined: -1, Alone: -1, Last: -1}
	}
	return &a.Seen[i]
}

// agreed takes in by what a call was decided. Calls are in the order of their ends, so each is held against those
// that began before it and after.
func (c *Checker) agreed(e history.Event) {
	if e.Agreed == "" {
		return
	}
	var turn, force, next uint64
	var mode string
	if _, err := fmt.Sscanf(e.Agreed, "%d %d %d %s", &turn, &force, &next, &mode); err != nil {
		c.broken(Own, e.At, e.IDs[0], fmt.Sprintf("its call says %q of what it was decided by", e.Agreed), []string{e.Relay}, e)
		return
	}
	if c.report.Agreed == nil {
		c.report.Agreed = &Agreed{Calls: map[string]int{}}
	}
	a := c.report.Agreed
	a.Calls[mode]++
	if mode != "alone" && mode != "joined" {
		return
	}
	at := float64(e.BegunAt) / 1e6
	first := func(v *float64) {
		if *v < 0 || at < *v {
			*v = at
		}
	}
	if next != 0 {
		first(&a.seen(next).Joined)
	} else {
		first(&a.seen(force).Alone)
	}
	newest := a.seen(max(force, next))
	newest.Last = max(newest.Last, at)
	for i, g := range a.Seen {
		for _, old := range a.Seen[:i] {
			if g.Alone >= 0 {
				a.Contradiction = max(a.Contradiction, old.Last-g.Alone)
			}
			begun := g.Joined
			if begun < 0 || g.Alone >= 0 && g.Alone < begun {
				begun = g.Alone
			}
			if old.Joined >= 0 && begun >= 0 && next == old.Number && at >= begun {
				a.Three = max(a.Three, at-begun)
			}
		}
	}
}

func (a *Agreed) String() string {
	return fmt.Sprintf("%d generations acted by, calls by mode %v, longest contradiction %.3f s, three in use %.3f s", len(a.Seen), a.Calls, a.Contradiction, a.Three)
}
