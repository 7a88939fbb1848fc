package choice

import (
	"math"
	"time"
)

// This file derives attempt time-outs from measured latencies.

// addServed records one served latency, and addCutShort one attempt that ended without an answer.
func (t *latencyTable) addServed(took time.Duration) {
	bucket := int(took / t.width)
	if bucket < 0 || bucket >= buckets {
		t.addCutShort()
		return
	}
	t.fadeSamples()
	if t.counts == nil {
		t.counts, t.sums = make([]float64, buckets), make([]float64, buckets)
	}
	t.counts[bucket] += t.weight
	t.sums[bucket] += t.weight * took.Seconds()
}

func (t *latencyTable) addCutShort() { t.fadeSamples(); t.overBound += t.weight }

// fadeSamples counts a sample and raises the weight of the next one by 1/sampleMemory. It rescales
// the table before the weights grow too large.
func (t *latencyTable) fadeSamples() {
	t.samples++
	t.outdated = true
	if t.weight *= 1 + 1.0/sampleMemory; t.weight > 1e6 {
		for i := range t.counts {
			t.counts[i] /= t.weight
			t.sums[i] /= t.weight
		}
		t.overBound, t.weight = t.overBound/t.weight, 1
	}
}

// refresh recomputes bestTimeout and p98 if samples were added. bestTimeout is the bucket edge with
// the least expected time to an answer, where an attempt that exceeds it is restarted at the cost
// of its time-out and of restartCost mean latencies.
func (t *latencyTable) refresh() {
	if !t.outdated || t.samples < minSamples {
		return
	}
	t.outdated = false
	served := 0.0
	for _, count := range t.counts {
		served += count
	}
	total, lossCost := served+t.overBound, t.width.Seconds()
	if served > 0 {
		for _, sum := range t.sums {
			lossCost += restartCost * sum / served
		}
	}
	servedShare, latencySum, least := 0.0, 0.0, math.Inf(1)
	t.bestTimeout, t.p98 = 0, 0
	for i := range t.counts {
		servedShare += t.counts[i] / total
		latencySum += t.sums[i] / total
		edge := time.Duration(i+1) * t.width
		if servedShare <= 0 {
			continue
		}
		if expected := latencySum/servedShare +
			(1-servedShare)/servedShare*(edge.Seconds()+lossCost); expected < least {
			least, t.bestTimeout = expected, edge
		}
		if t.p98 == 0 && servedShare*total >= 0.98*served {
			t.p98 = edge
		}
	}
}

// silenceLimit is how long a call to a destination may stay unanswered before that counts against
// the destination. Twice the 98% quantile of its latency, within bounds; with few samples, that of
// all destinations together.
func (c *Chooser) silenceLimit(d *dest) time.Duration {
	table, lowest := &d.latencies, c.minAim/8
	if table.samples < minSamples {
		table, lowest = &c.pooledLatencies, c.minAim/2
	}
	if table.refresh(); table.p98 == 0 {
		return c.minAim / 2
	}
	return min(max(2*table.p98, lowest), c.maxTimeout)
}

// timeout returns the time-out for the next attempt of a message at a unit. It is the remaining
// time to the deadline unless a restart may still pay.
func (c *Chooser) timeout(m *message, u *unit) time.Duration {
	remaining := m.deadline - c.now
	if !c.mayRepeat(m) || m.attempts+1 >= m.maxAttempts {
		return remaining
	}
	d := m.dest
	d.latencies.refresh()
	timeout := d.latencies.bestTimeout
	switch {
	case u.state == Suspect:
		timeout = c.silenceLimit(d) << min(u.failedTrials, 4)
	case timeout > 0 && d.waiting.count > 1:
		// Where other messages wait, a restart takes up a slot that they need and adds to an
		// overload, so only calls that are very likely lost are given up.
		timeout = max(timeout, c.silenceLimit(d))
	}
	timeout <<= min(d.timeoutStreak, 4)
	if timeout == 0 {
		return remaining
	}
	timeout = max(timeout, m.timeout+d.latencies.width)
	restartAt := c.now + timeout + time.Duration(u.latencySec*float64(time.Second))
	if restartAt >= m.deadline || m.class.Effect == Keyed && restartAt >= c.windowEnd(m) {
		return remaining
	}
	return timeout
}
