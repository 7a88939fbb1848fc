package platform

import (
	"time"

	"larchrouter/internal/lab/history"
)

// RefuseFor has a destination refuse all calls for a time, after which it is in slow start.
func (p *Partners) RefuseFor(dest int, length time.Duration) {
	d := p.dests[dest]
	d.mu.Lock()
	d.shutUntil = time.Now().Add(length)
	d.mu.Unlock()
	p.Record(history.Event{At: p.Clock.Now(), Kind: history.DestDown, Dest: dest, Detail: "shut"})
	time.AfterFunc(length, func() {
		d.mu.Lock()
		d.startCold(time.Now())
		d.mu.Unlock()
		p.Record(history.Event{At: p.Clock.Now(), Kind: history.DestUp, Dest: dest, Detail: "shut"})
	})
}

// EndpointFaults describes the faults of an endpoint.
type EndpointFaults struct {
	ErrorShare   float64 // share of its calls that fail
	SlowFactor   float64 // factor by which calls take longer; 1 for none
	GarbledShare float64 // share of the answers to executed calls that cannot be parsed
}

// ChangeFaults applies a change to the faults of an endpoint.
func (p *Partners) ChangeFaults(name string, change func(*EndpointFaults)) {
	e := p.endpoints[name]
	e.dest.mu.Lock()
	defer e.dest.mu.Unlock()
	change(&e.faults)
}

// ScaleLimit multiplies the rate limit of a destination, which is shared by all relays, by a factor.
func (p *Partners) ScaleLimit(dest int, factor float64) {
	d := p.dests[dest]
	d.mu.Lock()
	d.allow(time.Now())
	d.Rate *= factor
	d.tokens = min(d.tokens, d.burstCalls())
	rate := d.Rate
	d.mu.Unlock()
	p.Record(history.Event{At: p.Clock.Now(), Kind: history.DestRateChanged, Dest: dest, Values: map[string]float64{"rate": rate}})
}

// SetDrained has an endpoint refuse all further calls, as one does that is decommissioned.
func (p *Partners) SetDrained(name string) {
	e := p.endpoints[name]
	e.dest.mu.Lock()
	defer e.dest.mu.Unlock()
	e.drained = true
}
