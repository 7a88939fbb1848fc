package platform

import (
	"fmt"
	"slices"
	"time"

	"larchrouter/internal/lab/history"
)

// warmth is the share of its capacity that a destination has at a time. The lock is held.
func (d *destination) warmShare(now time.Time) float64 {
	if d.coldSince.IsZero() {
		return 1
	}
	elapsedShare := now.Sub(d.coldSince).Seconds() / d.partners.Draw.Cold
	return min(1, d.ColdFrom+(1-d.ColdFrom)*max(0, elapsedShare))
}

// The figures by which a destination that comes back is limited; relays have them in their settings.
const (
	overloadWindow = 2 * time.Second
	overloadFactor = 1.5
)

// arrival is a call that reached a destination in slow start.
type arrival struct {
	at    time.Time
	relay string
}

// count counts the calls that reach a destination in slow start, and has it fall over when they are too many. Whose they are,
// and how many relays there are, makes no difference. The lock is held.
func (d *destination) countArrival(relay string, now time.Time) {
	if d.coldSince.IsZero() || d.collapsed || d.down {
		return
	}
	if d.warmShare(now) >= 1 {
		d.coldSince, d.arrivals = time.Time{}, nil
		return
	}
	d.arrivals = append(d.arrivals, arrival{now, relay})
	d.arrivals = slices.DeleteFunc(d.arrivals, func(a arrival) bool { return now.Sub(a.at) > overloadWindow })
	allowed := overloadFactor * d.capacity() * d.warmShare(now) * overloadWindow.Seconds()
	calls := float64(len(d.arrivals))
	if calls <= history.SlowStartMost(allowed) {
		return
	}
	d.collapsed = true
	figures := map[string]float64{"allowed": allowed, "calls": calls}
	for _, a := range d.arrivals {
		figures[a.relay]++
	}
	d.partners.Record(history.Event{T: d.partners.Clock.At(now), Kind: history.Fell, Dest: d.Number, Figures: figures,
		Text: fmt.Sprintf("%.0f calls in %v, where %.1f are allowed and %.1f bearable", calls, overloadWindow, allowed, history.SlowStartMost(allowed))})
}

// capacity is what a destination's endpoints do in a second once they are warm. The lock is held.
func (d *destination) capacity() (calls float64) {
	for _, e := range d.endpoints {
		if !e.drained {
			calls += float64(e.workers) / d.meanSeconds()
		}
	}
	return calls
}

// comeBack has a destination begin cold. The lock is held.
func (d *destination) startCold(now time.Time) {
	d.coldSince, d.arrivals, d.tokens, d.tokensAt, d.windowCalls, d.windowStart = now, nil, d.burstCalls(), now, 0, now
}
