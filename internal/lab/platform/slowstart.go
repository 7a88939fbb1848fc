package platform

import (
	"fmt"
	"slices"
	"time"

	"larchrouter/internal/lab/history"
)

// warmth is the share of its capacity that a destination has at a time. The lock is held.
func (d *partner) warmth(now time.Time) float64 {
	if d.warmFrom.IsZero() {
		return 1
	}
	part := now.Sub(d.warmFrom).Seconds() / d.all.Draw.Cold
	return min(1, d.ColdFrom+(1-d.ColdFrom)*max(0, part))
}

// The figures by which a destination that comes back is limited; relays have them in their settings.
const (
	fallSpan  = 2 * time.Second
	fallTimes = 1.5
)

// arrival is a call that reached a destination in slow start.
type arrival struct {
	at    time.Time
	relay string
}

// count counts the calls that reach a destination in slow start, and has it fall over when they are too many. Whose they are,
// and how many relays there are, makes no difference. The lock is held.
func (d *partner) count(relay string, now time.Time) {
	if d.warmFrom.IsZero() || d.fallen || d.out {
		return
	}
	if d.warmth(now) >= 1 {
		d.warmFrom, d.arrivals = time.Time{}, nil
		return
	}
	d.arrivals = append(d.arrivals, arrival{now, relay})
	d.arrivals = slices.DeleteFunc(d.arrivals, func(a arrival) bool { return now.Sub(a.at) > fallSpan })
	allowed := fallTimes * d.capacity() * d.warmth(now) * fallSpan.Seconds()
	calls := float64(len(d.arrivals))
	if calls <= history.SlowStartMaxCalls(allowed) {
		return
	}
	d.fallen = true
	figures := map[string]float64{"allowed": allowed, "calls": calls}
	for _, a := range d.arrivals {
		figures[a.relay]++
	}
	d.all.Record(history.Event{At: d.all.Clock.At(now), Kind: history.SlowStartOverloaded, Dest: d.Number, Values: figures,
		Text: fmt.Sprintf("%.0f calls in %v, where %.1f are allowed and %.1f bearable", calls, fallSpan, allowed, history.SlowStartMaxCalls(allowed))})
}

// capacity is what a destination's endpoints do in a second once they are warm. The lock is held.
func (d *partner) capacity() (calls float64) {
	for _, e := range d.eps {
		if !e.refuses {
			calls += float64(e.workers) / d.mean()
		}
	}
	return calls
}

// comeBack has a destination begin cold. The lock is held.
func (d *partner) comeBack(now time.Time) {
	d.warmFrom, d.arrivals, d.tokens, d.filled, d.counted, d.span = now, nil, d.burst(), now, 0, now
}
