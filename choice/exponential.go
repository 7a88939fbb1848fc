package choice

import "math"

// math.Exp and math.Exp2 differ between machines in the last bit, as some have them in assembly. Decisions must not:
// the same events have to give the same actions everywhere. The functions here use operations that IEEE 754 fixes.

const (
	// ln2High and ln2Low are the parts of the natural logarithm of 2.
	ln2High = 0.69314718055966295651160180568695068359375
	ln2Low  = 0.28235290563031577122588448175013436025525412068e-12
	// expHalvings is how often the argument of the series is halved, and its result squared.
	expHalvings = 4
)

// taylorCoefficients are those of (e**x - 1) / x, from the highest degree down to 1/2.
var taylorCoefficients = [...]float64{1.0 / 40320, 1.0 / 5040, 1.0 / 720, 1.0 / 120, 1.0 / 24, 1.0 / 6, 1.0 / 2, 1}

// exp returns e**x.
func exp(x float64) float64 {
	if math.IsNaN(x) || math.Abs(x) > 700 { // not finite, or close to it
		return math.Exp(x)
	}
	exponent := math.RoundToEven(x * math.Log2E)
	rest := math.FMA(-exponent, ln2High, x)
	rest = math.FMA(-exponent, ln2Low, rest) / (1 << expHalvings)
	series := taylorCoefficients[0]
	for _, coefficient := range taylorCoefficients[1:] {
		series = math.FMA(series, rest, coefficient)
	}
	minusOne := rest * series // e**rest - 1
	for range expHalvings - 1 {
		minusOne *= minusOne + 2
	}
	return math.Ldexp(math.FMA(minusOne+2, minusOne, 1), int(exponent))
}
