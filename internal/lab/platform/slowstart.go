package platform

import (
	"fmt"
	"slices"
	"time"

	"larchrouter/internal/lab/history"
)

// warmShare returns the share of its capacity that a destination has at a time: during slow start it grows linearly from ColdFrom
// to 1. The destination's lock must be held.
func (d *destination) warmShare(now time.Time) float64 {
	if d.coldSince.IsZero() {
		return 1
	}
	elapsedShare := now.Sub(d.coldSince).Seconds() / d.partners.Draw.Cold
	return min(1, d.ColdFrom+(1-d.ColdFrom)*max(0, elapsedShare))
}

// Limits of the calls to a destination in slow start. Relays have the same values in their settings, as "fall" and
// "overload-factor".
const (
	overloadWindow = 2 * time.Second
	overloadFactor = 1.5
)

// arrival is a call that reached a destination during slow start.
type arrival struct {
	at    time.Time
	relay string
}

// countArrival counts the calls that reach a destination in slow start, and makes the destination collapse when there are too
// many. The bound does not depend on which relays send the calls or how many relays there are. The destination's lock must be
// held.
func (d *destination) countArrival(relay string, now time.Time) {
	if d.coldSince.IsZero() || d.collapsed || d.outage != noOutage {
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
	if calls <= history.SlowStartMaxCalls(allowed) {
		return
	}
	d.collapsed = true
	figures := map[string]float64{"allowed": allowed, "calls": calls}
	for _, a := range d.arrivals {
		figures[a.relay]++
	}
	d.partners.Record(history.Event{At: d.partners.Clock.At(now), Kind: history.SlowStartOverloaded, Dest: d.Number, Values: figures,
		Text: fmt.Sprintf("%.0f calls in %v, where %.1f are allowed and %.1f tolerated", calls, overloadWindow, allowed, history.SlowStartMaxCalls(allowed))})
}

// capacity returns the calls a second that a destination's endpoints execute after slow start. The destination's lock must be held.
func (d *destination) capacity() (calls float64) {
	for _, e := range d.endpoints {
		if !e.drained {
			calls += float64(e.workers) / d.meanSeconds()
		}
	}
	return calls
}

// startCold starts the slow start of a destination. The destination's lock must be held.
func (d *destination) startCold(now time.Time) {
	d.coldSince, d.arrivals, d.tokens, d.tokensAt, d.windowCalls, d.windowStart = now, nil, d.burstCalls(), now, 0, now
}
