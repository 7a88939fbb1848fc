package choice

// What a Chooser hands to its successor while calls are out: plain state, no decisions.

import (
	"cmp"
	"slices"
	"time"
)

// Running is a call that an earlier process still has out. Its Result will come.
type Running struct {
	Host string
	Call int           // the same for all messages of one call, above 0
	Ago  time.Duration // since it went out
}

// adopt has a message out with the call that another process made. It takes the slots that it took there. They
// are its destination's, though the list may have the endpoint at another one by now.
func (c *Chooser) adopt(m *message, r *Running) {
	h := c.hosts[r.Host]
	u, d := h.unit, m.dest
	c.touch(d)
	c.touch(h.dest)
	i := slices.IndexFunc(u.outs, func(k *call) bool { return k.adopted == r.Call })
	if i < 0 {
		i = len(u.outs)
		u.outs = append(u.outs, &call{host: h, sent: c.now - r.Ago, adopted: r.Call})
		c.busy, d.out, h.out = c.busy+1, d.out+1, h.out+1
		c.calls(h.dest, 1)
	}
	m.call = u.outs[i]
	m.call.members = append(m.call.members, m)
	c.unwait(m)
	slices.SortStableFunc(u.outs, func(a, b *call) int { return cmp.Compare(a.sent, b.sent) })
}

// Memory is what a relay has learnt and was told, for the process that goes on as the same relay. It
// follows the first Listing. Times are spans: since something happened, or until it is over.
type Memory struct {
	Units  []UnitMemory
	Hosts  []HostMemory
	Dests  []DestMemory
	Pool   TableMemory
	Luck   []float64
	Shares []float64
}

// UnitMemory is what is known of a unit, by the name of one of its endpoints.
type UnitMemory struct {
	Host                                      string
	State                                     int
	Since, Wait, Pause, Trial, LastServed     time.Duration
	Recent                                    uint
	Streak, Trials, Bad                       int
	Errors, Risky                             bool
	Sends                                     []time.Duration
	Pace, Served, Base, Listed, Limit, Tokens float64
	Cut, Down                                 time.Duration
}

// HostMemory is what is known of an endpoint alone.
type HostMemory struct {
	Host   string
	Fails  int
	Retry  time.Duration
	Liking float64
	Sends  []time.Duration
}

// DestMemory is what is known of a destination as a whole.
type DestMemory struct {
	Dest, Refused, Backoff int
	Pause                  time.Duration
	Table                  TableMemory
}

// TableMemory is a latency table.
type TableMemory struct {
	Width                 time.Duration
	Weight, Beyond, Total float64
	Count, Sum            []float64
}

// ago turns times into spans until now, and back.
func ago(now time.Duration, times []time.Duration) []time.Duration {
	spans := make([]time.Duration, len(times))
	for i, t := range times {
		spans[i] = now - t
	}
	return spans
}

func (t *table) memory() TableMemory {
	return TableMemory{t.width, t.weight, t.beyond, t.total, t.count, t.sum}
}

// remember takes a table up. One that cannot be is left as it is.
func (t *table) remember(m TableMemory, width time.Duration) {
	if m.Width <= 0 || m.Weight < 1 || len(m.Count) != len(m.Sum) || len(m.Count) != 0 && len(m.Count) != buckets {
		return
	}
	*t = table{width: m.Width, weight: m.Weight, beyond: m.Beyond, total: m.Total, count: m.Count, sum: m.Sum, stale: true}
	t.spread(width)
}

// Memory returns what the Chooser knows. It shares nothing that the Chooser goes on to change, if
// that makes no further Step.
func (c *Chooser) Memory(now time.Duration) Memory {
	m := Memory{Pool: c.pool.memory(), Luck: c.luck}
	for _, s := range c.shares {
		m.Shares = append(m.Shares, s.left)
	}
	c.touchAll() // or paces are of an earlier time
	for d := range c.order.each {
		m.Dests = append(m.Dests, DestMemory{d.id, d.refused, d.backoff, d.pauseUntil - now, d.table.memory()})
		for _, u := range d.units {
			m.Units = append(m.Units, UnitMemory{Host: u.name, State: int(u.state), Since: now - u.since, Wait: u.waitUntil - now,
				Pause: u.pauseUntil - now, Trial: u.trialAt - now, LastServed: now - u.lastServed, Recent: u.recent,
				Streak: u.streak, Trials: u.trials, Bad: u.bad, Errors: u.errors, Risky: u.risky, Sends: ago(now, u.sends),
				Pace: u.pace, Served: u.served, Base: u.base, Listed: u.listed, Limit: u.limit, Tokens: u.tokens, Cut: now - u.cutAt,
				Down: now - u.downAt})
		}
		for _, h := range d.hosts {
			m.Hosts = append(m.Hosts, HostMemory{h.Addr, h.fails, h.retryAt - now, h.liking, ago(now, h.sends)})
		}
	}
	return m
}

func (c *Chooser) remember(m Memory) {
	c.touchAll()
	c.pool.remember(m.Pool, c.bound/buckets)
	copy(c.luck, m.Luck)
	for i, left := range m.Shares {
		if i < len(c.shares) {
			c.shares[i] = share{left: left, at: c.now}
		}
	}
	for _, o := range m.Dests {
		if d := c.dests[o.Dest]; d != nil {
			d.refused, d.backoff, d.pauseUntil = o.Refused, o.Backoff, c.now+o.Pause
			d.table.remember(o.Table, c.bound/buckets)
		}
	}
	for _, o := range m.Units {
		h := c.hosts[o.Host]
		if h == nil || o.State < int(healthy) || o.State > int(recovering) {
			continue
		}
		u := h.unit
		*u = unit{name: u.name, born: u.born, many: u.many, weight: u.weight, listed: o.Listed, state: health(o.State), since: c.now - o.Since,
			waitUntil: c.now + o.Wait, pauseUntil: c.now + o.Pause, recent: o.Recent, streak: o.Streak, errors: o.Errors,
			risky: o.Risky, trialAt: c.now + o.Trial, trials: o.Trials, bad: o.Bad, lastServed: c.now - o.LastServed,
			sends: ago(c.now, o.Sends), pace: o.Pace, served: o.Served, base: o.Base, limit: o.Limit, limitAt: c.now,
			cutAt: c.now - o.Cut, downAt: c.now - o.Down, tokens: o.Tokens}
	}
	for _, o := range m.Hosts {
		if h := c.hosts[o.Host]; h != nil {
			h.fails, h.retryAt, h.liking, h.sends = o.Fails, c.now+o.Retry, o.Liking, ago(c.now, o.Sends)
		}
	}
}
