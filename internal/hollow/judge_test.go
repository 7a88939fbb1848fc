package hollow

import (
	"slices"
	"testing"
	"time"

	"larchrouter/internal/fleet/lease"
)

func alone(at time.Duration, member int, force uint64) Transition {
	return Transition{At: at * time.Second, Member: member, Mode: lease.Single, Force: force}
}

func joined(at time.Duration, member int, force, next uint64) Transition {
	return Transition{At: at * time.Second, Member: member, Mode: lease.Joined, Force: force, Next: next}
}

// TestJudgeReportsViolationsAndDelays guards against a judgement that misses a violation or a delay: in histories of two members
// it checks for how long they contradicted each other, for how long three generations were in use, when a change was in effect
// everywhere and when members recovered.
func TestJudgeReportsViolationsAndDelays(t *testing.T) {
	fallback := func(at time.Duration, member int, force uint64) Transition {
		return Transition{At: at * time.Second, Member: member, Mode: lease.Fallback, Force: force}
	}
	stopped := func(at time.Duration, member int) Transition {
		return Transition{At: at * time.Second, Member: member, Mode: Stopped}
	}
	proposals := []ProposedChange{{Number: 2, At: 3 * time.Second}}
	for _, test := range []struct {
		name        string
		transitions []Transition
		recoveries  []Recovery
		want        Verdict
	}{
		{"two steps", []Transition{alone(1, 0, 1), alone(1, 1, 1), joined(4, 0, 1, 2), joined(5, 1, 1, 2), alone(6, 0, 2), alone(7, 1, 2)}, nil,
			Verdict{InEffect: []time.Duration{4 * time.Second}}},
		{"one acts alone too early", []Transition{alone(1, 0, 1), alone(1, 1, 1), joined(4, 0, 1, 2), alone(6, 0, 2), joined(8, 1, 1, 2), alone(9, 1, 2)}, nil,
			Verdict{Contradiction: 2 * time.Second, InEffect: []time.Duration{6 * time.Second}}},
		{"one never follows", []Transition{alone(1, 0, 1), alone(1, 1, 1), joined(4, 0, 1, 2), alone(6, 0, 2)}, nil,
			Verdict{Contradiction: 14 * time.Second, InEffect: []time.Duration{-1}}},
		{"three in use", []Transition{alone(1, 0, 1), alone(1, 1, 1), joined(4, 0, 1, 2), joined(5, 1, 1, 3), joined(9, 0, 1, 3)}, nil,
			Verdict{ThreeGenerations: 4 * time.Second, InEffect: []time.Duration{-1}}},
		{"one acts by the fallback", []Transition{alone(1, 0, 1), alone(1, 1, 1), fallback(5, 1, 1), alone(6, 0, 2), alone(10, 1, 2)}, []Recovery{{8 * time.Second, []int{1}}},
			Verdict{FallbackTime: 5 * time.Second, InEffect: []time.Duration{3 * time.Second}, RecoveryTimes: []time.Duration{2 * time.Second}}},
		{"one is stopped", []Transition{alone(1, 0, 1), alone(1, 1, 1), stopped(2, 1), alone(4, 0, 2)}, []Recovery{{8 * time.Second, []int{1}}},
			Verdict{InEffect: []time.Duration{time.Second}, RecoveryTimes: []time.Duration{-1}}},
	} {
		got := Judge(test.transitions, proposals, test.recoveries, 20*time.Second)
		if got.Contradiction != test.want.Contradiction || got.ThreeGenerations != test.want.ThreeGenerations || got.FallbackTime != test.want.FallbackTime ||
			!slices.Equal(got.InEffect, test.want.InEffect) || !slices.Equal(got.RecoveryTimes, test.want.RecoveryTimes) || got.Transitions != len(test.transitions) {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
