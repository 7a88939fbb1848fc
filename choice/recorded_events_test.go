package choice

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"
)

// This file generates the events of recorded plays.

// play runs one random play and writes all actions to w.
func play(t testing.TB, w io.Writer, seed uint64, steps int) {
	p := &randomPlay{t: t, out: w, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		hostModes: map[string]int{}, messages: map[string]*playedMessage{}}
	p.settings = p.randomSettings()
	p.settings.MustSubscribe = seed%7 == 0
	c, err := New(p.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	p.chooser = c
	for d := range oneOf(p.random, 1, 2, 5, 14) {
		for range 1 + p.random.IntN(3) {
			p.hosts = append(p.hosts, p.newHost(d))
		}
	}
	p.step(ListUpdate{Complete: true, Hosts: p.hosts})
	maxArrivals := oneOf(p.random, 0, 1, 2) // most arrivals in a step
	for range steps {
		p.advance()
		events := p.takeDue()
		for range p.random.IntN(maxArrivals + 1) {
			events = append(events, p.arrival())
		}
		switch p.random.IntN(60) {
		case 0:
			for range p.random.IntN(30) {
				events = append(events, p.arrival())
			}
		case 1:
			maxArrivals = oneOf(p.random, 0, 0, 1, 1, 3)
		case 2, 3, 4, 5:
			p.hostModes[oneOf(p.random, p.hosts...).Addr] = p.random.IntN(13)
		case 6: // a whole destination
			d, mode := oneOf(p.random, p.hosts...).Dest, p.random.IntN(10)
			for _, h := range p.hosts {
				if h.Dest == d {
					p.hostModes[h.Addr] = mode
				}
			}
		case 7, 8, 9:
			events = append(events, p.listUpdate())
		case 10, 11:
			events = append(events, p.hostNotice())
		case 12:
			if s := p.randomSettings(); p.random.IntN(4) == 0 {
				s.MustSubscribe, p.settings = p.settings.MustSubscribe, s
				events = append(events, Reconfigured{s})
			}
		case 13:
			if p.random.IntN(4) == 0 {
				events = nil // attempts that ended are known to handOver
				p.handOver(seed)
			}
		case 14, 15, 16:
			if len(p.ids) > 0 {
				id := oneOf(p.random, p.ids...)
				events = append(events, Withdrawn{id})
				p.endMessage(id)
			}
		case 17:
			events = append(events, Result{ID: "none"}, Withdrawn{"none"})
		}
		if p.random.IntN(2) == 0 {
			events = append(events, Woken{})
		}
		p.step(events...)
	}
	fmt.Fprintf(p.out, "%+v\n", p.chooser.Snapshot(p.now))
}

// advance moves time on: mostly by little, sometimes by nothing or by much.
func (p *randomPlay) advance() {
	switch p.random.IntN(40) {
	case 0:
	case 1:
		p.now += time.Duration(p.random.IntN(3000)) * ms
	case 2:
		p.now += time.Duration(p.random.IntN(1e8))
	case 3:
		if p.random.IntN(10) == 0 {
			p.now += time.Duration(p.random.IntN(30)) * time.Second
		}
	default:
		p.now += oneOf(p.random, ms, 5*ms, 10*ms, 20*ms, 50*ms)
	}
}

func (p *randomPlay) newHost(dest int) Host {
	p.lastNumber++
	h := ready(fmt.Sprint("h", p.lastNumber), dest, dest%3, p.random.IntN(2))
	h.Rate = oneOf(p.random, 0.5, 10, 20, 200, 1e6, 1e6, 1e6)
	return h
}

func (p *randomPlay) arrival() Event {
	r := p.random
	p.lastNumber++
	m := &playedMessage{}
	class := r.IntN(len(p.settings.Classes))
	k := p.settings.Classes[class]
	m.Arrival = Arrival{ID: fmt.Sprint("m", p.lastNumber), Class: class, Dest: oneOf(r, p.hosts...).Dest,
		Left: k.Deadline, Key: oneOf(r, "", "k1", "k2", fmt.Sprint("k", p.lastNumber/5)), Tenant: r.IntN(3) - 1}
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
	m.deadline = p.now + m.Left
	p.messages[m.ID], p.ids = m, append(p.ids, m.ID)
	return m.Arrival
}

// listUpdate changes a few endpoints, or lists all.
func (p *randomPlay) listUpdate() Event {
	r := p.random
	if r.IntN(12) == 0 {
		return ListUpdate{Failed: true}
	}
	var changed []Host
	for range 1 + r.IntN(3) {
		h := &p.hosts[r.IntN(len(p.hosts))]
		switch r.IntN(6) {
		case 0:
			p.hosts = append(p.hosts, p.newHost(oneOf(r, h.Dest, h.Dest, r.IntN(20))))
			changed = append(changed, p.hosts[len(p.hosts)-1])
			continue
		case 1:
			h.Rate = oneOf(r, 0.5, 40, 400)
		case 2:
			if h.State == Removed && r.IntN(2) == 0 {
				h.Dest = r.IntN(16) // listed again elsewhere
			}
			h.State = Ready
		default:
			h.State = oneOf(r, Removed, Ready, Draining)
		}
		changed = append(changed, *h)
	}
	if r.IntN(5) > 0 {
		return ListUpdate{Hosts: changed}
	}
	var all []Host
	for _, h := range p.hosts {
		if h.State != Removed || r.IntN(2) == 0 {
			all = append(all, h)
		}
	}
	return ListUpdate{Complete: true, Hosts: all}
}

// hostNotice returns an event about an endpoint from operators or an earlier process.
func (p *randomPlay) hostNotice() Event {
	r, h := p.random, oneOf(p.random, p.hosts...).Addr
	switch r.IntN(6) {
	case 0:
		return RetryAfter{h, time.Duration(r.IntN(4000)) * ms}
	case 1:
		return KnownOutage{h, 5 * r.Float64()}
	case 2:
		return ManualChange{Host: h, Ago: time.Duration(r.IntN(3)) * time.Second}
	default:
		return ManualChange{Host: h, Disabled: r.IntN(2) == 0}
	}
}

// handOver has another process go on with all open messages.
func (p *randomPlay) handOver(seed uint64) {
	m := p.chooser.Snapshot(p.now)
	fmt.Fprintf(p.out, "%+v\n", m)
	c, err := New(p.settings, seed+p.random.Uint64())
	if err != nil {
		p.t.Fatal(err)
	}
	p.chooser = c
	var listed []Host
	for _, h := range p.hosts {
		if h.State == Removed {
			h.State = Draining // as endpoints with calls in flight are reported
		}
		listed = append(listed, h)
	}
	events := []Event{ListUpdate{Complete: true, Hosts: listed}, m}
	for _, id := range p.ids {
		m := p.messages[id]
		if m.ended && m.inFlight == nil {
			continue
		}
		e := m.Restored
		e.Left, e.FirstRunAgo, e.InFlight = m.deadline-p.now, p.now-m.firstRunAt, nil
		if m.inFlight != nil {
			e.InFlight = &InFlightCall{m.inFlight.Host, int(m.sentAt), p.now - m.sentAt}
		}
		events = append(events, e)
		if m.ended {
			events = append(events, Withdrawn{id})
		}
	}
	p.step(events...)
}
