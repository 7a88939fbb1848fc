package choice

import (
	"math"
	"math/big"
	"testing"
)

// bigExp returns e**x with far more digits than a float64 has.
func bigExp(x float64) *big.Float {
	const precision, halvings, terms = 300, 40, 30
	rest := new(big.Float).SetPrec(precision).SetFloat64(x)
	rest.SetMantExp(rest, -halvings)
	sum, term := big.NewFloat(1).SetPrec(precision), big.NewFloat(1).SetPrec(precision)
	for n := 1; n <= terms; n++ {
		term.Mul(term, rest)
		term.Quo(term, new(big.Float).SetPrec(precision).SetInt64(int64(n)))
		sum.Add(sum, term)
	}
	for range halvings {
		sum.Mul(sum, sum)
	}
	return sum
}

// Guards against an exponential that is off by more than rounding, over all that the decay of a rate can ask for.
func TestExpIsAccurate(t *testing.T) {
	for _, x := range []float64{0, -1e-9, -0.001, -0.5, -math.Ln2, -1, -3.7, -12, -100, -600, 0.25, 5, 50} {
		got := new(big.Float).SetPrec(300).SetFloat64(exp(x))
		want := bigExp(x)
		difference := new(big.Float).Sub(got, want)
		relative, _ := difference.Quo(difference, want).Float64()
		if math.Abs(relative) > 0x1p-51 {
			t.Errorf("exp(%v) is off by %g of it", x, relative)
		}
	}
}

// Guards against results that depend on the machine.
func TestExpIsTheSameEverywhere(t *testing.T) {
	if got := exp(0); got != 1 {
		t.Errorf("exp(0) is %v", got)
	}
	for x, want := range map[float64]float64{math.Inf(-1): 0, math.Inf(1): math.Inf(1), -1000: 0} {
		if got := exp(x); got != want {
			t.Errorf("exp(%v) is %v, want %v", x, got, want)
		}
	}
	if !math.IsNaN(exp(math.NaN())) {
		t.Error("exp of no number is a number")
	}
	digest := uint64(0)
	for i := range 100000 {
		digest = digest*31 + math.Float64bits(exp(-float64(i)/1000))
	}
	if digest != 0x487f91a93b6411e2 {
		t.Errorf("the digest of 100,000 results is %#x", digest)
	}
}
