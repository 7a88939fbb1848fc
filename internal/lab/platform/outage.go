package platform

import (
	"time"

	"golang.org/x/sync/errgroup"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// OutageKind is what the endpoints of a destination do during an outage.
type OutageKind string

// The kinds of outage, as a scenario names them.
const (
	noOutage  OutageKind = ""
	Refusing  OutageKind = "outage" // they reset their connections and refuse new ones
	Hanging   OutageKind = "hang"   // they accept connections and calls, but execute and answer them only after the outage
	Vanishing OutageKind = "vanish" // their open connections stay silent until they break at the end, and new ones never come up
)

// BeginOutage starts an outage of a destination.
func (p *Partners) BeginOutage(dest int, kind OutageKind) {
	d := p.dests[dest]
	d.mu.Lock()
	d.collapsed, d.outage = false, kind
	if kind == Refusing {
		for _, e := range d.endpoints {
			for _, j := range e.waiting {
				go j.done()
			}
			e.waiting = nil
		}
	}
	d.mu.Unlock()
	switch kind {
	case Refusing:
		p.setOutageFaults(d, &link.Faults{Refused: true}, nil)
		p.resetConnections(d)
	case Vanishing:
		p.setOutageFaults(d, &link.Faults{Cut: true}, &link.Faults{Cut: true})
	}
	p.Record(history.Event{At: p.Clock.Now(), Kind: history.DestDown, Dest: dest, Detail: "outage", State: string(kind)})
}

// EndOutage ends an outage of a destination, which is in slow start from then on.
func (p *Partners) EndOutage(dest int, kind OutageKind) {
	d := p.dests[dest]
	if kind == Vanishing {
		p.resetConnections(d)
	}
	d.mu.Lock()
	d.outage = noOutage
	d.startCold(time.Now())
	for _, e := range d.endpoints {
		for e.busy < e.workers && len(e.waiting) > 0 {
			e.startNext()
		}
	}
	d.mu.Unlock()
	p.setOutageFaults(d, nil, nil)
	p.Record(history.Event{At: p.Clock.Now(), Kind: history.DestUp, Dest: dest, Detail: "outage", State: string(kind)})
}

// links returns the links from all relays to the endpoints of a destination.
func (p *Partners) links(d *destination) (links []*link.Link) {
	for _, e := range d.endpoints {
		links = append(links, p.Net.Links(func(string) bool { return true }, func(to string) bool { return to == e.name })...)
	}
	return links
}

// parallelLinkChanges is how many links are changed at once: to cut one takes some milliseconds.
const parallelLinkChanges = 64

func (p *Partners) setOutageFaults(d *destination, forward, reverse *link.Faults) {
	var group errgroup.Group
	group.SetLimit(parallelLinkChanges)
	for _, l := range p.links(d) {
		group.Go(func() error { l.SetNamed("outage", forward, reverse); return nil })
	}
	group.Wait()
}

func (p *Partners) resetConnections(d *destination) {
	for _, l := range p.links(d) {
		l.Reset()
	}
}
