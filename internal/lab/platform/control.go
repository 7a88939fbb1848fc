package platform

import (
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// Out takes destinations down, each with all its endpoints: they reset what they have and refuse what comes.
func (p *Partners) SetDown(dest int, down bool) {
	d := p.dests[dest]
	d.mu.Lock()
	d.down = down
	kind := history.Down
	if !down {
		kind = history.Up
		d.startCold(time.Now())
	} else {
		d.collapsed = false
		for _, e := range d.endpoints {
			for _, j := range e.waiting {
				go j.done()
			}
			e.waiting = nil
		}
	}
	d.mu.Unlock()
	var f *link.Faults
	if down {
		f = &link.Faults{Refused: true}
	}
	for _, e := range d.endpoints {
		for _, l := range p.Net.Links(func(string) bool { return true }, func(to string) bool { return to == e.name }) {
			l.Put("outage", f, nil)
			if down {
				l.Reset()
			}
		}
	}
	p.Record(history.Event{T: p.Clock.Now(), Kind: kind, Dest: dest, How: "outage"})
}

// Shut has a destination turn all away for a time, after which it is cold.
func (p *Partners) RefuseFor(dest int, length time.Duration) {
	d := p.dests[dest]
	d.mu.Lock()
	d.shutUntil = time.Now().Add(length)
	d.mu.Unlock()
	p.Record(history.Event{T: p.Clock.Now(), Kind: history.Down, Dest: dest, How: "shut"})
	time.AfterFunc(length, func() {
		d.mu.Lock()
		d.startCold(time.Now())
		d.mu.Unlock()
		p.Record(history.Event{T: p.Clock.Now(), Kind: history.Up, Dest: dest, How: "shut"})
	})
}

// Trouble is what is wrong with an endpoint.
type EndpointFaults struct {
	ErrorShare   float64 // share of its calls
	SlowFactor   float64 // they take so many times as long
	GarbledShare float64 // share of the answers to calls that ran that cannot be read
}

// Trouble changes what is wrong with an endpoint.
func (p *Partners) ChangeFaults(name string, change func(*EndpointFaults)) {
	e := p.endpoints[name]
	e.dest.mu.Lock()
	defer e.dest.mu.Unlock()
	change(&e.faults)
}

// Limit changes what a destination takes from all relays together by a factor.
func (p *Partners) ScaleLimit(dest int, factor float64) {
	d := p.dests[dest]
	d.mu.Lock()
	d.allow(time.Now())
	d.Rate *= factor
	d.tokens = min(d.tokens, d.burstCalls())
	rate := d.Rate
	d.mu.Unlock()
	p.Record(history.Event{T: p.Clock.Now(), Kind: history.Limit, Dest: dest, Figures: map[string]float64{"rate": rate}})
}

// Drained has an endpoint turn away what comes, for it has been given up.
func (p *Partners) SetDrained(name string) {
	e := p.endpoints[name]
	e.dest.mu.Lock()
	defer e.dest.mu.Unlock()
	e.drained = true
}
