package choice

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"
)

// What happens in recorded plays.

// play runs one, with all that it does written down.
func play(t testing.TB, w io.Writer, seed uint64, steps int) {
	p := &world{t: t, w: w, chance: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, mode: map[string]int{}, msgs: map[string]*played{}}
	p.set = p.setting()
	p.set.Subscribe = seed%7 == 0
	c, err := New(p.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	p.c = c
	for d := range pickOf(p.chance, 1, 2, 5, 14) {
		for range 1 + p.chance.IntN(3) {
			p.hosts = append(p.hosts, p.newHost(d))
		}
	}
	p.step(Listing{Whole: true, Hosts: p.hosts})
	rush := pickOf(p.chance, 0, 1, 2) // arrivals in a step
	for range steps {
		p.pass()
		events := p.ended()
		for range p.chance.IntN(rush + 1) {
			events = append(events, p.arrival())
		}
		switch p.chance.IntN(60) {
		case 0:
			for range p.chance.IntN(30) {
				events = append(events, p.arrival())
			}
		case 1:
			rush = pickOf(p.chance, 0, 0, 1, 1, 3)
		case 2, 3, 4, 5:
			p.mode[pickOf(p.chance, p.hosts...).Addr] = p.chance.IntN(13)
		case 6: // a whole destination
			d, mode := pickOf(p.chance, p.hosts...).Dest, p.chance.IntN(10)
			for _, h := range p.hosts {
				if h.Dest == d {
					p.mode[h.Addr] = mode
				}
			}
		case 7, 8, 9:
			events = append(events, p.listing())
		case 10, 11:
			events = append(events, p.said())
		case 12:
			if s := p.setting(); p.chance.IntN(4) == 0 {
				s.Subscribe, p.set = p.set.Subscribe, s
				events = append(events, Reconfigured{s})
			}
		case 13:
			if p.chance.IntN(4) == 0 {
				events = nil // those that ended are known below
				p.handOver(seed)
			}
		case 14, 15, 16:
			if len(p.ids) > 0 {
				id := pickOf(p.chance, p.ids...)
				events = append(events, Withdrawn{id})
				p.over(id)
			}
		case 17:
			events = append(events, Result{ID: "none"}, Withdrawn{"none"})
		}
		if p.chance.IntN(2) == 0 {
			events = append(events, Woken{})
		}
		p.step(events...)
	}
	fmt.Fprintf(p.w, "%+v\n", p.c.Memory(p.now))
}

// pass moves time on: mostly by little, now and then by none or by much.
func (p *world) pass() {
	switch p.chance.IntN(40) {
	case 0:
	case 1:
		p.now += time.Duration(p.chance.IntN(3000)) * ms
	case 2:
		p.now += time.Duration(p.chance.IntN(1e8))
	case 3:
		if p.chance.IntN(10) == 0 {
			p.now += time.Duration(p.chance.IntN(30)) * time.Second
		}
	default:
		p.now += pickOf(p.chance, ms, 5*ms, 10*ms, 20*ms, 50*ms)
	}
}

func (p *world) newHost(dest int) Host {
	p.n++
	h := ready(fmt.Sprint("h", p.n), dest, dest%3, p.chance.IntN(2))
	h.Rate = pickOf(p.chance, 0.5, 10, 20, 200, 1e6, 1e6, 1e6)
	return h
}

func (p *world) arrival() Event {
	r := p.chance
	p.n++
	m := &played{}
	class := r.IntN(len(p.set.Classes))
	k := p.set.Classes[class]
	m.Arrival = Arrival{ID: fmt.Sprint("m", p.n), Class: class, Dest: pickOf(r, p.hosts...).Dest,
		Left: k.Deadline, Key: pickOf(r, "", "k1", "k2", fmt.Sprint("k", p.n/5)), Tenant: r.IntN(3) - 1}
	if r.IntN(30) == 0 {
		m.Dest = 90 + r.IntN(3)
	}
	if r.IntN(5) == 0 {
		m.Left = time.Duration(r.IntN(int(k.Deadline)))
	}
	if r.IntN(12) == 0 {
		k.Worth, k.Effect, k.Window, k.Ordered = 2, Keyed, time.Second, false
		m.Terms = &Terms{k, 3}
	}
	m.due = p.now + m.Left
	p.msgs[m.ID], p.ids = m, append(p.ids, m.ID)
	return m.Arrival
}

// listing changes a few endpoints, or tells of all.
func (p *world) listing() Event {
	r := p.chance
	if r.IntN(12) == 0 {
		return Listing{Failed: true}
	}
	var changed []Host
	for range 1 + r.IntN(3) {
		h := &p.hosts[r.IntN(len(p.hosts))]
		switch r.IntN(6) {
		case 0:
			p.hosts = append(p.hosts, p.newHost(pickOf(r, h.Dest, h.Dest, r.IntN(20))))
			changed = append(changed, p.hosts[len(p.hosts)-1])
			continue
		case 1:
			h.Rate = pickOf(r, 0.5, 40, 400)
		case 2:
			if h.State == Gone && r.IntN(2) == 0 {
				h.Dest = r.IntN(16) // comes again elsewhere
			}
			h.State = Ready
		default:
			h.State = pickOf(r, Gone, Ready, Draining)
		}
		changed = append(changed, *h)
	}
	if r.IntN(5) > 0 {
		return Listing{Hosts: changed}
	}
	var all []Host
	for _, h := range p.hosts {
		if h.State != Gone || r.IntN(2) == 0 {
			all = append(all, h)
		}
	}
	return Listing{Whole: true, Hosts: all}
}

// said is what operators, and an earlier process, tell of an endpoint.
func (p *world) said() Event {
	r, h := p.chance, pickOf(p.chance, p.hosts...).Addr
	switch r.IntN(6) {
	case 0:
		return Waits{h, time.Duration(r.IntN(4000)) * ms}
	case 1:
		return Unwell{h, 5 * r.Float64()}
	case 2:
		return ByHand{Host: h, Ago: time.Duration(r.IntN(3)) * time.Second}
	default:
		return ByHand{Host: h, Out: r.IntN(2) == 0}
	}
}

// handOver has another process go on with all that is open.
func (p *world) handOver(seed uint64) {
	m := p.c.Memory(p.now)
	fmt.Fprintf(p.w, "%+v\n", m)
	c, err := New(p.set, seed+p.chance.Uint64())
	if err != nil {
		p.t.Fatal(err)
	}
	p.c = c
	var listed []Host
	for _, h := range p.hosts {
		if h.State == Gone {
			h.State = Draining // as those that are out are told of
		}
		listed = append(listed, h)
	}
	events := []Event{Listing{Whole: true, Hosts: listed}, m}
	for _, id := range p.ids {
		m := p.msgs[id]
		if m.over && m.out == nil {
			continue
		}
		e := m.Restored
		e.Left, e.RanAgo, e.Out = m.due-p.now, p.now-m.ranAt, nil
		if m.out != nil {
			e.Out = &Running{m.out.Host, int(m.sent), p.now - m.sent}
		}
		events = append(events, e)
		if m.over {
			events = append(events, Withdrawn{id})
		}
	}
	p.step(events...)
}
