package hold

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const lease = 10 * time.Second

func told(asked time.Duration, turn, force, next uint64) Told {
	return Told{Asked: asked, Lease: lease, Turn: turn, Force: force, Next: next}
}

// Guards against a relay that acts by what it must not: before its loop has taken a turn up, by an earlier turn, or
// beyond its lease, which counts from the question and not from the answer.
func TestHolder(t *testing.T) {
	var h Holder
	acts := func(now time.Duration, mode Mode, turn uint64) {
		t.Helper()
		if a := h.Acts(now); a.Mode != mode || a.Turn != turn {
			t.Fatalf("at %v it acts %v by turn %d, want %v by %d", now, a.Mode, a.Turn, mode, turn)
		}
	}
	hear := func(now time.Duration, x Told, want error) {
		t.Helper()
		if err := h.Hear(now, x); !errors.Is(err, want) {
			t.Fatalf("%+v: %v, want %v", x, err, want)
		}
	}
	acts(0, Own, 0)
	hear(2*time.Second, told(time.Second, 0, 0, 0), nil) // the keepers have no generation yet
	acts(2*time.Second, Own, 0)
	hear(3*time.Second, told(2*time.Second, 1, 0, 1), nil)
	acts(3*time.Second, Own, 0)
	if due, ok := h.Due(); !ok || due.Turn != 1 {
		t.Fatalf("due %+v, %v", due, ok)
	}
	if err := h.Take(1); err != nil {
		t.Fatal(err)
	}
	acts(3*time.Second, Joined, 1)
	hear(5*time.Second, told(4*time.Second, 2, 1, 0), nil)
	hear(6*time.Second, told(3*time.Second, 1, 0, 1), ErrOld) // overtaken on its way
	if err := h.Take(1); !errors.Is(err, ErrOld) {
		t.Fatal(err)
	}
	if err := h.Take(2); err != nil {
		t.Fatal(err)
	}
	acts(14*time.Second-1, Alone, 2)
	acts(14*time.Second, Fallback, 2)
	acts(13*time.Second, Fallback, 2) // whatever the clock says afterwards
	hear(20*time.Second, told(19*time.Second, 2, 1, 0), nil)
	acts(20*time.Second, Alone, 2)
	for _, odd := range []Told{told(21*time.Second, 3, 1, 2), told(-1, 3, 1, 2), {Asked: 1, Turn: 3, Force: 1}, told(19*time.Second, 3, 2, 2),
		told(19*time.Second, 2, 2, 0), {Asked: 1, Lease: time.Hour, Turn: 3, Force: 1}} {
		hear(20*time.Second, odd, ErrOdd)
	}
	hear(20*time.Second, told(19*time.Second, 3, 0, 2), ErrOld) // a keeper with an older state
	if left := h.Left(25 * time.Second); left != 4*time.Second {
		t.Errorf("%v left, want 4s", left)
	}
}

// Answers that come late, twice and out of order, pauses of any length: the turn never goes back, the lease never ends
// later than the last answer that counts allows, and nothing is acted by that was not heard of.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		var now, until time.Duration
		var turn, force, next, acted uint64
		var way []Told
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0: // time passes, also while the process is stopped
				now += time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond
			case 1: // the keepers go on
				turn++
				switch {
				case next != 0 && rapid.Bool().Draw(t, "in force"):
					force, next = next, 0
				case next != 0:
					next = 0
				default:
					next = force + uint64(rapid.IntRange(1, 3).Draw(t, "number"))
				}
			case 2: // an answer is on its way
				way = append(way, told(now, turn, force, next))
			case 3: // one of those comes, and perhaps comes again
				if len(way) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(way)-1).Draw(t, "which")
				if h.Hear(now, way[i]) == nil {
					until = max(until, way[i].Asked+lease)
				}
				if rapid.Bool().Draw(t, "once") {
					way = append(way[:i], way[i+1:]...)
				}
			case 4:
				if due, ok := h.Due(); ok {
					if err := h.Take(due.Turn); err != nil {
						t.Fatal(err)
					}
				}
			}
			a := h.Acts(now)
			if a.Turn < acted || a.Turn > turn {
				t.Fatalf("it acts by turn %d after %d, of %d", a.Turn, acted, turn)
			}
			acted = a.Turn
			if (a.Mode == Alone || a.Mode == Joined) && now >= until {
				t.Fatalf("at %v it acts %v, its lease ended at %v", now, a.Mode, until)
			}
			if a.Mode == Joined && a.Next <= a.Force {
				t.Fatalf("it joins %d and %d", a.Force, a.Next)
			}
		}
	})
}
