package history

import "math"

// smallAllowance is the number of calls below which chance is given more room.
const smallAllowance = 30

// SlowStartMost is how many calls a destination in slow start may get in a span at most, from all relays together, where its
// settings allow it so many: twice the root and 2 more, below 30 three times the root and 3 more. It holds for fleets of any size.
func SlowStartMost(allowed float64) float64 {
	if allowed < smallAllowance {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}
