package history

import "math"

// smallAllowanceCalls is the number of calls below which the tolerance for random variation is larger.
const smallAllowanceCalls = 30

// SlowStartMaxCalls returns how many calls a destination in slow start may receive in a span at most, from all relays together,
// if its settings allow it the given number: that number plus twice its square root plus 2, or, below 30, plus three times its
// square root plus 3. It applies to fleets of any size.
func SlowStartMaxCalls(allowed float64) float64 {
	if allowed < smallAllowanceCalls {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}
