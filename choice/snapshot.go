package choice

// What a Chooser hands to its successor while calls are out: plain state, no decisions.

import (
	"cmp"
	"slices"
	"time"
)

// Running is a call that an earlier process still has out. Its Result will come.
type InFlightCall struct {
	Host string
	Call int           // the same for all messages of one call, above 0
	Ago  time.Duration // since it went out
}

// adopt has a message out with the call that another process made. It takes the slots that it took there. They
// are its destination's, though the list may have the endpoint at another one by now.
func (c *Chooser) resumeCall(m *message, r *InFlightCall) {
	h := c.hosts[r.Host]
	u, d := h.unit, m.dest
	c.markChanged(d)
	c.markChanged(h.dest)
	i := slices.IndexFunc(u.calls, func(k *call) bool { return k.resumedNumber == r.Call })
	if i < 0 {
		i = len(u.calls)
		u.calls = append(u.calls, &call{host: h, sentAt: c.now - r.Ago, resumedNumber: r.Call})
		c.inFlight, d.inFlight, h.inFlight = c.inFlight+1, d.inFlight+1, h.inFlight+1
		c.countUnitCalls(h.dest, 1)
	}
	m.call = u.calls[i]
	m.call.messages = append(m.call.messages, m)
	c.dequeue(m)
	slices.SortStableFunc(u.calls, func(a, b *call) int { return cmp.Compare(a.sentAt, b.sentAt) })
}

// Memory is what a relay has learnt and was told, for the process that goes on as the same relay. It
// follows the first Listing. Times are spans: since something happened, or until it is over.
type Snapshot struct {
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
func timesAgo(now time.Duration, times []time.Duration) []time.Duration {
	spans := make([]time.Duration, len(times))
	for i, t := range times {
		spans[i] = now - t
	}
	return spans
}

func (t *latencyTable) snapshot() TableMemory {
	return TableMemory{t.width, t.weight, t.overBound, t.samples, t.counts, t.sums}
}

// remember takes a table up. One that cannot be is left as it is.
func (t *latencyTable) restore(m TableMemory, width time.Duration) {
	if m.Width <= 0 || m.Weight < 1 || len(m.Count) != len(m.Sum) || len(m.Count) != 0 && len(m.Count) != buckets {
		return
	}
	*t = latencyTable{width: m.Width, weight: m.Weight, overBound: m.Beyond, samples: m.Total, counts: m.Count, sums: m.Sum, outdated: true}
	t.rebucket(width)
}

// Memory returns what the Chooser knows. It shares nothing that the Chooser goes on to change, if
// that makes no further Step.
func (c *Chooser) Snapshot(now time.Duration) Snapshot {
	m := Snapshot{Pool: c.pooledLatencies.snapshot(), Luck: c.retrySuccess}
	for _, s := range c.tenantShares {
		m.Shares = append(m.Shares, s.remaining)
	}
	c.markAllChanged() // or paces are of an earlier time
	for d := range c.destOrder.each {
		m.Dests = append(m.Dests, DestMemory{d.id, d.refusalStreak, d.timeoutStreak, d.pauseUntil - now, d.latencies.snapshot()})
		for _, u := range d.units {
			m.Units = append(m.Units, UnitMemory{Host: u.name, State: int(u.state), Since: now - u.stateSince, Wait: u.retryAfter - now,
				Pause: u.pauseUntil - now, Trial: u.trialAt - now, LastServed: now - u.lastServed, Recent: u.recentFailures,
				Streak: u.servedStreak, Trials: u.failedTrials, Bad: u.badStreak, Errors: u.sawErrors, Risky: u.mayHaveRun, Sends: timesAgo(now, u.recentSends),
				Pace: u.latencySec, Served: u.servedRate, Base: u.baseRate, Listed: u.knownRate, Limit: u.pace, Tokens: u.tokens, Cut: now - u.paceCutAt,
				Down: now - u.connRefusedAt})
		}
		for _, h := range d.hosts {
			m.Hosts = append(m.Hosts, HostMemory{h.Addr, h.failures, h.retryAt - now, h.preference, timesAgo(now, h.recentSends)})
		}
	}
	return m
}

func (c *Chooser) restoreSnapshot(m Snapshot) {
	c.markAllChanged()
	c.pooledLatencies.restore(m.Pool, c.maxTimeout/buckets)
	copy(c.retrySuccess, m.Luck)
	for i, left := range m.Shares {
		if i < len(c.tenantShares) {
			c.tenantShares[i] = tenantShare{remaining: left, updatedAt: c.now}
		}
	}
	for _, o := range m.Dests {
		if d := c.dests[o.Dest]; d != nil {
			d.refusalStreak, d.timeoutStreak, d.pauseUntil = o.Refused, o.Backoff, c.now+o.Pause
			d.latencies.restore(o.Table, c.maxTimeout/buckets)
		}
	}
	for _, o := range m.Units {
		h := c.hosts[o.Host]
		if h == nil || o.State < int(healthy) || o.State > int(recovering) {
			continue
		}
		u := h.unit
		*u = unit{name: u.name, createdAt: u.createdAt, sharesCalls: u.sharesCalls, listedRate: u.listedRate, knownRate: o.Listed, state: health(o.State), stateSince: c.now - o.Since,
			retryAfter: c.now + o.Wait, pauseUntil: c.now + o.Pause, recentFailures: o.Recent, servedStreak: o.Streak, sawErrors: o.Errors,
			mayHaveRun: o.Risky, trialAt: c.now + o.Trial, failedTrials: o.Trials, badStreak: o.Bad, lastServed: c.now - o.LastServed,
			recentSends: timesAgo(c.now, o.Sends), latencySec: o.Pace, servedRate: o.Served, baseRate: o.Base, pace: o.Limit, paceAt: c.now,
			paceCutAt: c.now - o.Cut, connRefusedAt: c.now - o.Down, tokens: o.Tokens}
	}
	for _, o := range m.Hosts {
		if h := c.hosts[o.Host]; h != nil {
			h.failures, h.retryAt, h.preference, h.recentSends = o.Fails, c.now+o.Retry, o.Liking, timesAgo(c.now, o.Sends)
		}
	}
}
