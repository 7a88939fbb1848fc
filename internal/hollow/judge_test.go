package hollow

import (
	"slices"
	"testing"
	"time"

	"larchrouter/internal/fleet/lease"
)

func alone(at time.Duration, member int, force uint64) Act {
	return Act{At: at * time.Second, Member: member, Mode: lease.Single, Force: force}
}

func joined(at time.Duration, member int, force, next uint64) Act {
	return Act{At: at * time.Second, Member: member, Mode: lease.Joined, Force: force, Next: next}
}

// What a history of two members shows: how long they contradicted each other, how many generations were in use, when a change
// was in force everywhere and who was back when.
func TestJudge(t *testing.T) {
	out := func(at time.Duration, member int, force uint64) Act {
		return Act{At: at * time.Second, Member: member, Mode: lease.Fallback, Force: force}
	}
	gone := func(at time.Duration, member int) Act { return Act{At: at * time.Second, Member: member, Mode: Gone} }
	asked := []Asked{{Number: 2, At: 3 * time.Second}}
	for _, c := range []struct {
		name    string
		acts    []Act
		returns []Return
		want    Verdict
	}{
		{"two steps", []Act{alone(1, 0, 1), alone(1, 1, 1), joined(4, 0, 1, 2), joined(5, 1, 1, 2), alone(6, 0, 2), alone(7, 1, 2)}, nil,
			Verdict{InForce: []time.Duration{4 * time.Second}}},
		{"one goes ahead", []Act{alone(1, 0, 1), alone(1, 1, 1), joined(4, 0, 1, 2), alone(6, 0, 2), joined(8, 1, 1, 2), alone(9, 1, 2)}, nil,
			Verdict{Contradiction: 2 * time.Second, InForce: []time.Duration{6 * time.Second}}},
		{"one never follows", []Act{alone(1, 0, 1), alone(1, 1, 1), joined(4, 0, 1, 2), alone(6, 0, 2)}, nil,
			Verdict{Contradiction: 14 * time.Second, InForce: []time.Duration{-1}}},
		{"three in use", []Act{alone(1, 0, 1), alone(1, 1, 1), joined(4, 0, 1, 2), joined(5, 1, 1, 3), joined(9, 0, 1, 3)}, nil,
			Verdict{Three: 4 * time.Second, InForce: []time.Duration{-1}}},
		{"one by the fallback", []Act{alone(1, 0, 1), alone(1, 1, 1), out(5, 1, 1), alone(6, 0, 2), alone(10, 1, 2)}, []Return{{8 * time.Second, []int{1}}},
			Verdict{Out: 5 * time.Second, InForce: []time.Duration{3 * time.Second}, Back: []time.Duration{2 * time.Second}}},
		{"one gone", []Act{alone(1, 0, 1), alone(1, 1, 1), gone(2, 1), alone(4, 0, 2)}, []Return{{8 * time.Second, []int{1}}},
			Verdict{InForce: []time.Duration{time.Second}, Back: []time.Duration{-1}}},
	} {
		got := Judge(c.acts, asked, c.returns, 20*time.Second)
		if got.Contradiction != c.want.Contradiction || got.Three != c.want.Three || got.Out != c.want.Out ||
			!slices.Equal(got.InForce, c.want.InForce) || !slices.Equal(got.Back, c.want.Back) || got.Acts != len(c.acts) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
