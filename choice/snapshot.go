package choice

// This file hands a Chooser's state over to the next process while calls are in flight. It makes no
// decisions.

import (
	"cmp"
	"slices"
	"time"
)

// InFlightCall is a call that an earlier process has in flight. Its Result will come.
type InFlightCall struct {
	Host    string
	Call    int           // number of the call, above 0; the same for all of its messages
	SentAgo time.Duration // since the call was sent
}

// resumeCall attaches a message to the call that another process made. The call takes the same
// slots as it did there. They count for the message's destination, even if the list now has the
// endpoint at another one.
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

// Snapshot is what a relay has learnt, for the next process of the same relay. It follows the first
// ListUpdate. Times are spans: since something happened, or until it is over.
type Snapshot struct {
	Units  []UnitSnapshot
	Hosts  []HostSnapshot
	Dests  []DestSnapshot
	Pool   TableSnapshot // latencies of all destinations together
	Luck   []float64     // by kind: share served of the calls after a refusal
	Shares []float64     // by tenant: messages left of its share
}

// UnitSnapshot is the state of a unit, identified by the address of one of its endpoints. Its
// fields stand for these of unit: Wait is retryAfter, Pause pauseUntil, Trial trialAt, Recent
// recentFailures, Streak servedStreak, Trials failedTrials, Bad badStreak, Errors sawErrors, Risky
// mayHaveRun, Pace latencySec, Listed knownRate, Limit pace, Cut paceCutAt, Down connRefusedAt and Well wellUntil.
type UnitSnapshot struct {
	Host                                      string
	State                                     int
	Since, Wait, Pause, Trial, LastServed     time.Duration
	Recent                                    uint
	Streak, Trials, Bad                       int
	Errors, Risky                             bool
	Sends                                     []time.Duration
	Pace, Served, Base, Listed, Limit, Tokens float64
	Cut, Down, Well                           time.Duration
}

// HostSnapshot is the state of one endpoint.
type HostSnapshot struct {
	Host   string
	Fails  int
	Retry  time.Duration // until it is used at no extra cost
	Liking float64       // preference
	Sends  []time.Duration
}

// DestSnapshot is the state of a destination as a whole.
type DestSnapshot struct {
	Dest, Refused, Backoff int
	Pause                  time.Duration
	Table                  TableSnapshot
}

// TableSnapshot is a latency table.
type TableSnapshot struct {
	Width                 time.Duration
	Weight, Beyond, Total float64 // Beyond is overBound, Total samples
	Count, Sum            []float64
}

// timesAgo turns points in time into spans before now, and such spans into points in time.
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

// restore replaces a table by a saved one, unless that is malformed.
func (t *latencyTable) restore(saved TableSnapshot, width time.Duration) {
	if saved.Width <= 0 || saved.Weight < 1 || len(saved.Count) != len(saved.Sum) ||
		len(saved.Count) != 0 && len(saved.Count) != buckets {
		return
	}
	*t = latencyTable{width: saved.Width, weight: saved.Weight, overBound: saved.Beyond, samples: saved.Total,
		counts: saved.Count, sums: saved.Sum, outdated: true}
	t.rebucket(width)
}

// Snapshot returns what the Chooser has learnt. The result shares memory with the Chooser, so no
// further Step may follow.
func (c *Chooser) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{Pool: c.pooledLatencies.snapshot(), Luck: c.retrySuccess}
	for _, share := range c.tenantShares {
		snapshot.Shares = append(snapshot.Shares, share.remaining)
	}
	c.markAllChanged() // brings the paces up to date
	for d := range c.destOrder.each {
		snapshot.Dests = append(snapshot.Dests, DestSnapshot{d.id, d.refusalStreak, d.timeoutStreak,
			d.pauseUntil - now, d.latencies.snapshot()})
		for _, u := range d.units {
			snapshot.Units = append(snapshot.Units,
				UnitSnapshot{Host: u.name, State: int(u.state), Since: now - u.stateSince,
					Wait: u.retryAfter - now, Pause: u.pauseUntil - now, Trial: u.trialAt - now,
					LastServed: now - u.lastServed, Recent: u.recentFailures, Streak: u.servedStreak,
					Trials: u.failedTrials, Bad: u.badStreak, Errors: u.sawErrors, Risky: u.mayHaveRun,
					Sends: timesAgo(now, u.recentSends), Pace: u.latencySec, Served: u.servedRate,
					Base: u.baseRate, Listed: u.knownRate, Limit: u.pace, Tokens: u.tokens, Cut: now - u.paceCutAt,
					Down: now - u.connRefusedAt, Well: now - u.wellUntil})
		}
		for _, h := range d.hosts {
			snapshot.Hosts = append(snapshot.Hosts, HostSnapshot{h.Addr, h.failures, h.retryAt - now, h.preference,
				timesAgo(now, h.recentSends)})
		}
	}
	return snapshot
}

// restoreSnapshot applies an earlier process's Snapshot. Entries for units, hosts and destinations
// that are not listed any more are ignored.
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
		if saved.State != int(Healthy) { // an older process doesn't tell Well
			saved.Well = max(saved.Well, saved.Since)
		}
		if h == nil || saved.State < int(Healthy) || saved.State > int(Recovering) {
			continue
		}
		u := h.unit
		*u = unit{name: u.name, createdAt: u.createdAt, sharesCalls: u.sharesCalls, listedRate: u.listedRate,
			knownRate: saved.Listed, state: UnitState(saved.State), stateSince: c.now - saved.Since,
			retryAfter: c.now + saved.Wait, pauseUntil: c.now + saved.Pause,
			recentFailures: saved.Recent, servedStreak: saved.Streak, sawErrors: saved.Errors,
			mayHaveRun: saved.Risky, trialAt: c.now + saved.Trial, failedTrials: saved.Trials,
			badStreak: saved.Bad, lastServed: c.now - saved.LastServed, wellUntil: c.now - saved.Well,
			recentSends: timesAgo(c.now, saved.Sends), latencySec: saved.Pace,
			servedRate: saved.Served, baseRate: saved.Base, pace: saved.Limit, paceAt: c.now,
			paceCutAt: c.now - saved.Cut, connRefusedAt: c.now - saved.Down, tokens: saved.Tokens}
	}
	for _, saved := range snapshot.Hosts {
		if h := c.hosts[saved.Host]; h != nil {
			h.failures, h.retryAt, h.preference, h.recentSends = saved.Fails, c.now+saved.Retry, saved.Liking,
				timesAgo(c.now, saved.Sends)
		}
	}
}
