package choice

// What a Chooser hands to its successor while calls are out: plain state, no decisions.

import (
	"cmp"
	"slices"
	"time"
)

// Running is a call that an earlier process still has out. Its Result will come.
type InFlightCall struct {
	Host    string
	Call    int           // the same for all messages of one call, above 0
	SentAgo time.Duration // since it went out
}

// adopt has a message out with the call that another process made. It takes the slots that it took there. They
// are its destination's, though the list may have the endpoint at another one by now.
func (c *Chooser) resumeCall(m *message, running *InFlightCall) {
	h := c.hosts[running.Host]
	u, d := h.unit, m.dest
	c.markChanged(d)
	c.markChanged(h.dest)
	i := slices.IndexFunc(u.calls, func(k *call) bool { return k.resumedNumber == running.Call })
	if i < 0 {
		i = len(u.calls)
		u.calls = append(u.calls, &call{host: h, sentAt: c.now - running.SentAgo, resumedNumber: running.Call})
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
	Units  []UnitSnapshot
	Hosts  []HostSnapshot
	Dests  []DestSnapshot
	Pool   TableSnapshot
	Luck   []float64
	Shares []float64
}

// UnitMemory is what is known of a unit, by the name of one of its endpoints.
type UnitSnapshot struct {
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
type HostSnapshot struct {
	Host   string
	Fails  int
	Retry  time.Duration
	Liking float64
	Sends  []time.Duration
}

// DestMemory is what is known of a destination as a whole.
type DestSnapshot struct {
	Dest, Refused, Backoff int
	Pause                  time.Duration
	Table                  TableSnapshot
}

// TableMemory is a latency table.
type TableSnapshot struct {
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

func (t *latencyTable) snapshot() TableSnapshot {
	return TableSnapshot{t.width, t.weight, t.overBound, t.samples, t.counts, t.sums}
}

// remember takes a table up. One that cannot be is left as it is.
func (t *latencyTable) restore(saved TableSnapshot, width time.Duration) {
	if saved.Width <= 0 || saved.Weight < 1 || len(saved.Count) != len(saved.Sum) || len(saved.Count) != 0 && len(saved.Count) != buckets {
		return
	}
	*t = latencyTable{width: saved.Width, weight: saved.Weight, overBound: saved.Beyond, samples: saved.Total, counts: saved.Count, sums: saved.Sum, outdated: true}
	t.rebucket(width)
}

// Memory returns what the Chooser knows. It shares nothing that the Chooser goes on to change, if
// that makes no further Step.
func (c *Chooser) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{Pool: c.pooledLatencies.snapshot(), Luck: c.retrySuccess}
	for _, share := range c.tenantShares {
		snapshot.Shares = append(snapshot.Shares, share.remaining)
	}
	c.markAllChanged() // or paces are of an earlier time
	for d := range c.destOrder.each {
		snapshot.Dests = append(snapshot.Dests, DestSnapshot{d.id, d.refusalStreak, d.timeoutStreak, d.pauseUntil - now, d.latencies.snapshot()})
		for _, u := range d.units {
			snapshot.Units = append(snapshot.Units, UnitSnapshot{Host: u.name, State: int(u.state), Since: now - u.stateSince, Wait: u.retryAfter - now,
				Pause: u.pauseUntil - now, Trial: u.trialAt - now, LastServed: now - u.lastServed, Recent: u.recentFailures,
				Streak: u.servedStreak, Trials: u.failedTrials, Bad: u.badStreak, Errors: u.sawErrors, Risky: u.mayHaveRun, Sends: timesAgo(now, u.recentSends),
				Pace: u.latencySec, Served: u.servedRate, Base: u.baseRate, Listed: u.knownRate, Limit: u.pace, Tokens: u.tokens, Cut: now - u.paceCutAt,
				Down: now - u.connRefusedAt})
		}
		for _, h := range d.hosts {
			snapshot.Hosts = append(snapshot.Hosts, HostSnapshot{h.Addr, h.failures, h.retryAt - now, h.preference, timesAgo(now, h.recentSends)})
		}
	}
	return snapshot
}

func (c *Chooser) restoreSnapshot(snapshot Snapshot) {
	c.markAllChanged()
	c.pooledLatencies.restore(snapshot.Pool, c.maxTimeout/buckets)
	copy(c.retrySuccess, snapshot.Luck)
	for i, remaining := range snapshot.Shares {
		if i < len(c.tenantShares) {
			c.tenantShares[i] = tenantShare{remaining: remaining, updatedAt: c.now}
		}
	}
	for _, saved := range snapshot.Dests {
		if d := c.dests[saved.Dest]; d != nil {
			d.refusalStreak, d.timeoutStreak, d.pauseUntil = saved.Refused, saved.Backoff, c.now+saved.Pause
			d.latencies.restore(saved.Table, c.maxTimeout/buckets)
		}
	}
	for _, saved := range snapshot.Units {
		h := c.hosts[saved.Host]
		if h == nil || saved.State < int(healthy) || saved.State > int(recovering) {
			continue
		}
		u := h.unit
		*u = unit{name: u.name, createdAt: u.createdAt, sharesCalls: u.sharesCalls, listedRate: u.listedRate, knownRate: saved.Listed, state: health(saved.State), stateSince: c.now - saved.Since,
			retryAfter: c.now + saved.Wait, pauseUntil: c.now + saved.Pause, recentFailures: saved.Recent, servedStreak: saved.Streak, sawErrors: saved.Errors,
			mayHaveRun: saved.Risky, trialAt: c.now + saved.Trial, failedTrials: saved.Trials, badStreak: saved.Bad, lastServed: c.now - saved.LastServed,
			recentSends: timesAgo(c.now, saved.Sends), latencySec: saved.Pace, servedRate: saved.Served, baseRate: saved.Base, pace: saved.Limit, paceAt: c.now,
			paceCutAt: c.now - saved.Cut, connRefusedAt: c.now - saved.Down, tokens: saved.Tokens}
	}
	for _, saved := range snapshot.Hosts {
		if h := c.hosts[saved.Host]; h != nil {
			h.failures, h.retryAt, h.preference, h.recentSends = saved.Fails, c.now+saved.Retry, saved.Liking, timesAgo(c.now, saved.Sends)
		}
	}
}
