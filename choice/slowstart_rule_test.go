package choice

import (
	"math"
	"slices"
	"testing"
	"time"
)

// rateAt returns the listed rate at a time.
func (s *slowStartPlay) rateAt(at time.Duration) float64 {
	if s.rateFactor > 0 && at >= s.rateChangeAt {
		return s.rate * s.rateFactor
	}
	return s.rate
}

func (s *slowStartPlay) inOutage(now time.Duration) bool {
	return slices.ContainsFunc(s.outages, func(o [2]time.Duration) bool { return now >= o[0] && now < o[1] })
}

// recordCall counts a call to a cold endpoint. Where relays call it seldom, those that don't know
// of the outage are left out.
func (s *slowStartPlay) recordCall(relay *slowStartRelay, host string, now time.Duration) {
	if now >= s.returnedAt && (relay.knowsOutage || s.manual || s.fleet <= 30 && s.secondOutageAfter == 0) {
		s.calls[host] = append(s.calls[host], now)
	}
}

// allowed returns N of a window that ends at the given time. Calls before a change of the rate, or
// before all relays received it, were allowed by the earlier rate.
func (s *slowStartPlay) allowed(at time.Duration) float64 {
	rules := s.settings(0).Rules
	rate := max(s.rateAt(at), s.rateAt(at-rules.OverloadWindow-slowStartDelay))
	share := min(1, rules.ColdShare+(1-rules.ColdShare)*(at-s.returnedAt).Seconds()/rules.WarmUp.Seconds())
	return rules.OverloadFactor * rate * share * rules.OverloadWindow.Seconds()
}

// slowStartBound returns the most calls in a window, where the settings allow n in the mean.
func slowStartBound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// worst returns the window that exceeds its bound the most, or comes nearest to it.
func (s *slowStartPlay) worst() (got, bound float64) {
	excess, fall := math.Inf(-1), s.settings(0).Rules.OverloadWindow
	for _, calls := range s.calls {
		first := 0
		for i, at := range calls {
			for at-calls[first] > fall {
				first++
			}
			count, most := float64(i-first+1), slowStartBound(s.allowed(at))
			if count-most > excess {
				excess, got, bound = count-most, count, most
			}
		}
	}
	return got, bound
}

// slowStartSizes are fleet sizes, with the calls in an overload window at the return and the number
// of seeds.
var slowStartSizes = []struct {
	fleet  int
	window float64
	draws  uint64
}{{1, 25, 1}, {1, 60, 3}, {1, 200, 1}, {2, 2, 1}, {2, 60, 2}, {6, 8, 1}, {6, 31, 2}, {6, 60, 1}, {20, 2, 1}, {20, 31, 2},
	{20, 60, 1}, {30, 8, 1}, {30, 25, 3}, {30, 31, 1}, {30, 60, 1}, {30, 200, 1}, {300, 8, 1}, {300, 25, 1},
	{300, 200, 1}}

// checkSlowStart plays cases with fleets of every size.
func checkSlowStart(t *testing.T, cases map[string]slowStartCase) {
	t.Helper()
	for name, p := range cases {
		t.Run(name, func(t *testing.T) {
			plays, playsWithCalls, excess, worst, bound := 0, 0, math.Inf(-1), 0.0, 0.0
			for _, size := range slowStartSizes {
				if testing.Short() && size.fleet*int(size.window) > 1000 {
					continue
				}
				rules := p.settings(0).Rules
				p.fleet, p.rate = size.fleet, size.window/(rules.OverloadFactor*rules.ColdShare*rules.OverloadWindow.Seconds())
				for p.seed = range size.draws {
					got, most := p.play(t).worst()
					if got > most {
						t.Errorf("fleet of %d, %g calls at the return, seed %d: %.0f calls in a window of %.1f",
							p.fleet, size.window, p.seed, got, most)
					}
					if plays++; got > 0 {
						playsWithCalls++
					}
					if got > 0 && got-most > excess {
						excess, worst, bound = got-most, got, most
					}
				}
			}
			if playsWithCalls < plays*3/4 { // in a large fleet, none of the relays that know of the outage may call during the warm-up
				t.Errorf("calls in only %d of %d plays", playsWithCalls, plays)
			}
			t.Logf("%d plays, worst window %.0f of %.1f", plays, worst, bound)
		})
	}
}

// TestSlowStartAfterAnOutage guards against relays that restart during the warm-up, forget what
// they sent and make their first trials together.
func TestSlowStartAfterAnOutage(t *testing.T) {
	shortGap, longGaps := []time.Duration{700 * ms}, []time.Duration{2100 * ms, 1500 * ms}
	checkSlowStart(t, map[string]slowStartCase{
		"equal traffic":      {load: 1},
		"unequal traffic":    {load: 1.5, skew: 1},
		"one restarts":       {load: 1.5, restartPercent: 1},
		"40% restart, twice": {load: 1.5, skew: 1, restartPercent: 40, restartGaps: []time.Duration{1200 * ms}},
		"all restart":        {load: 1.5, restartPercent: 100, restartTogether: true},
		"all restart twice":  {load: 1.5, restartPercent: 100, restartTogether: true, restartGaps: shortGap},
		"all restart three times": {load: 1.5, skew: 1, restartPercent: 100, restartTogether: true,
			restartGaps: longGaps},
		"separate routes":             {load: 1.5, routes: 2},
		"shared calls":                {load: 1.5, perCall: 2, restartPercent: 100, restartTogether: true},
		"the rate is raised":          {load: 1.5, rateFactor: 3},
		"the rate is lowered, uneven": {load: 1.5, rateFactor: 0.4, skew: 1},
	})
}

// TestSlowStartAfterASecondOutage guards against a destination that goes down again during its
// warm-up, and is taken for healthy once it answers.
func TestSlowStartAfterASecondOutage(t *testing.T) {
	checkSlowStart(t, map[string]slowStartCase{
		"early in the warm-up": {load: 1.5, secondOutageAfter: 3 * time.Second, secondOutageSpan: 4 * time.Second},
		"late in the warm-up":  {load: 1.5, secondOutageAfter: 8 * time.Second, secondOutageSpan: 4 * time.Second},
		"for a second":         {load: 1.5, secondOutageAfter: 3 * time.Second, secondOutageSpan: time.Second},
		"late, for a second":   {load: 1.5, secondOutageAfter: 8 * time.Second, secondOutageSpan: time.Second},
		"one restarts": {load: 1.5, skew: 1, secondOutageAfter: 5 * time.Second,
			secondOutageSpan: 4 * time.Second, restartPercent: 1},
	})
}

// TestSlowStartAfterManualEnable guards against relays that restart during the warm-up of an
// endpoint that operators enabled, and start a window of their own.
func TestSlowStartAfterManualEnable(t *testing.T) {
	shortGap := []time.Duration{700 * ms}
	checkSlowStart(t, map[string]slowStartCase{
		"unequal traffic": {load: 1.5, manual: true, skew: 1},
		"one restarts":    {load: 1.5, manual: true, restartPercent: 1},
		"40% restart":     {load: 1.5, manual: true, restartPercent: 40, skew: 1},
		"all restart twice": {load: 1.5, manual: true, restartPercent: 100, restartTogether: true,
			restartGaps: shortGap},
		"separate routes, restarts": {load: 1.5, manual: true, restartPercent: 100, restartTogether: true, routes: 2},
	})
}

// TestSlowStartAfterManualEnableInSmallShares guards against relays whose shares are less than one
// call each, and which make their calls together.
func TestSlowStartAfterManualEnableInSmallShares(t *testing.T) {
	checkSlowStart(t, map[string]slowStartCase{
		"all restart": {load: 1.5, manual: true, restartPercent: 100, restartTogether: true},
		"enabled twice": {load: 1.5, manual: true, secondOutageAfter: 5 * time.Second,
			secondOutageSpan: time.Second},
		"the rate is raised": {load: 1.5, manual: true, rateFactor: 3},
	})
	p := slowStartCase{fleet: 300, rate: 69, load: 1.5, manual: true, secondOutageAfter: 5 * time.Second,
		secondOutageSpan: time.Second}
	for p.seed = range 3 {
		if got, most := p.play(t).worst(); got > most || got == 0 {
			t.Errorf("enabled twice, fleet of %d, seed %d: %.0f calls in a window of %.1f", p.fleet, p.seed, got, most)
		}
	}
}
