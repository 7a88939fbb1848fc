package estate

import "time"

// Gates are what waits until records of a stream count, in the order of the records. The zero value is ready.
type Gates struct{ all []gate }

type gate struct {
	next uint64        // number after the records
	at   time.Duration // when they were written
	most time.Duration // after which it is given up; 0 for never
	do   func(counts bool)
}

// Add has something done once the records before a number count, or when it is given up.
func (g *Gates) Add(next uint64, at, most time.Duration, do func(counts bool)) {
	g.all = append(g.all, gate{next, at, most, do})
}

// Len is how many wait.
func (g *Gates) Len() int { return len(g.all) }

// Pass does what waited for records before a number, or for all if that is not to be waited for, and gives up what has
// waited too long. What is done may add others.
func (g *Gates) Pass(counted uint64, all bool, now time.Duration) {
	waiting := g.all
	g.all = nil
	for _, w := range waiting {
		switch {
		case all || w.next <= counted:
			w.do(true)
		case w.most > 0 && now-w.at >= w.most:
			w.do(false)
		default:
			g.all = append(g.all, w)
		}
	}
}

// Drop gives all up.
func (g *Gates) Drop() {
	waiting := g.all
	g.all = nil
	for _, w := range waiting {
		w.do(false)
	}
}

// Forget has none of them done, in a process that is no longer the one to do it.
func (g *Gates) Forget() { g.all = nil }
