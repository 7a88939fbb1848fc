package platform

import (
	"time"
)

// admit returns the status with which a call is refused, and the wait that the answer advises, or 0 if the call is accepted.
// The destination's lock must be held.
func (e *endpoint) admit(j *job, now time.Time) (status int, wait time.Duration) {
	d := e.dest
	refuse := func(wait time.Duration) (int, time.Duration) {
		if wait > 0 && d.rand.Float64() < d.Tells {
			return 429, wait
		}
		return 503, 0
	}
	if e.drained || d.collapsed || d.outage == Refusing {
		return 503, 0
	}
	if d.outage == Hanging {
		return 0, 0
	}
	if now.Before(d.shutUntil) {
		return refuse(d.shutUntil.Sub(now))
	}
	if wait, ok := d.allow(now); !ok {
		return refuse(wait)
	}
	if queue := max(2, int(d.Depth*d.Capacity*d.warmShare(now))); e.busy >= e.workers && len(e.waiting) >= queue {
		return refuse(0)
	}
	return 0, 0
}

// allow counts a call against the rate limit of its destination. It reports whether the call is allowed, and if not, after
// which time another one would be. The destination's lock must be held.
func (d *destination) allow(now time.Time) (wait time.Duration, ok bool) {
	if d.Rate <= 0 {
		return 0, true
	}
	if d.Window > 0 {
		length := time.Duration(d.Window * float64(time.Second))
		if elapsedWindows := now.Sub(d.windowStart) / length; elapsedWindows > 0 {
			d.windowStart, d.windowCalls = d.windowStart.Add(elapsedWindows*length), 0
		}
		if d.windowCalls+1 > d.Rate*d.Window {
			if d.Spend {
				d.windowCalls++
			}
			return d.windowStart.Add(length).Sub(now), false
		}
		d.windowCalls++
		return 0, true
	}
	d.tokens = min(d.burstCalls(), d.tokens+now.Sub(d.tokensAt).Seconds()*d.Rate)
	d.tokensAt = now
	if d.tokens < 1 {
		if d.Spend {
			d.tokens = max(-d.burstCalls(), d.tokens-1)
		}
		return time.Duration(max(d.Wait, (1-d.tokens)/d.Rate) * float64(time.Second)), false
	}
	d.tokens--
	return 0, true
}

// remainingShare returns the share of the rate limit that is unused, from 0 to 1, or 0 if there is no limit. The destination's
// lock must be held.
func (d *destination) remainingShare() float64 {
	switch {
	case d.Rate <= 0:
		return 0
	case d.Window > 0:
		return max(0, 1-d.windowCalls/(d.Rate*d.Window))
	}
	return max(0, min(1, d.tokens/d.burstCalls()))
}
