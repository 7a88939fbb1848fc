package platform

import (
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// Out takes destinations down, each with all its endpoints: they reset what they have and refuse what comes.
func (p *Partners) Out(dest int, down bool) {
	d := p.dests[dest]
	d.mu.Lock()
	d.out = down
	kind := history.DestDown
	if !down {
		kind = history.DestUp
		d.comeBack(time.Now())
	} else {
		d.fallen = false
		for _, e := range d.eps {
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
	for _, e := range d.eps {
		for _, l := range p.Net.Links(func(string) bool { return true }, func(to string) bool { return to == e.name }) {
			l.SetNamed("outage", f, nil)
			if down {
				l.Reset()
			}
		}
	}
	p.Record(history.Event{At: p.Clock.Now(), Kind: kind, Dest: dest, Detail: "outage"})
}

// Shut has a destination turn all away for a time, after which it is cold.
func (p *Partners) Shut(dest int, length time.Duration) {
	d := p.dests[dest]
	d.mu.Lock()
	d.shut = time.Now().Add(length)
	d.mu.Unlock()
	p.Record(history.Event{At: p.Clock.Now(), Kind: history.DestDown, Dest: dest, Detail: "shut"})
	time.AfterFunc(length, func() {
		d.mu.Lock()
		d.comeBack(time.Now())
		d.mu.Unlock()
		p.Record(history.Event{At: p.Clock.Now(), Kind: history.DestUp, Dest: dest, Detail: "shut"})
	})
}

// Trouble is what is wrong with an endpoint.
type Trouble struct {
	Fails   float64 // share of its calls
	Slow    float64 // they take so many times as long
	Garbles float64 // share of the answers to calls that ran that cannot be read
}

// Trouble changes what is wrong with an endpoint.
func (p *Partners) Trouble(name string, change func(*Trouble)) {
	e := p.eps[name]
	e.of.mu.Lock()
	defer e.of.mu.Unlock()
	change(&e.trouble)
}

// Limit changes what a destination takes from all relays together by a factor.
func (p *Partners) Limit(dest int, factor float64) {
	d := p.dests[dest]
	d.mu.Lock()
	d.allow(time.Now())
	d.Rate *= factor
	d.tokens = min(d.tokens, d.burst())
	rate := d.Rate
	d.mu.Unlock()
	p.Record(history.Event{At: p.Clock.Now(), Kind: history.DestRateChanged, Dest: dest, Values: map[string]float64{"rate": rate}})
}

// Drained has an endpoint turn away what comes, for it has been given up.
func (p *Partners) Drained(name string) {
	e := p.eps[name]
	e.of.mu.Lock()
	defer e.of.mu.Unlock()
	e.refuses = true
}
