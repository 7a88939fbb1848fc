package platform

import (
	"time"
)

// admit tells with which status a call is turned away, or 0. The lock is held.
func (e *endpoint) admit(j *job, now time.Time) (status int, wait time.Duration) {
	d := e.of
	turn := func(wait time.Duration) (int, time.Duration) {
		if wait > 0 && d.rand.Float64() < d.Tells {
			return 429, wait
		}
		return 503, 0
	}
	if e.refuses || d.fallen || d.out {
		return 503, 0
	}
	if now.Before(d.shut) {
		return turn(d.shut.Sub(now))
	}
	if wait, ok := d.allow(now); !ok {
		return turn(wait)
	}
	if queue := max(2, int(d.Depth*d.Capacity*d.warmth(now))); e.busy >= e.workers && len(e.waiting) >= queue {
		return turn(0)
	}
	return 0, 0
}

// allow counts a call against the limit of its destination. The lock is held.
func (d *partner) allow(now time.Time) (wait time.Duration, ok bool) {
	if d.Rate <= 0 {
		return 0, true
	}
	if d.Window > 0 {
		length := time.Duration(d.Window * float64(time.Second))
		if n := now.Sub(d.span) / length; n > 0 {
			d.span, d.counted = d.span.Add(n*length), 0
		}
		if d.counted+1 > d.Rate*d.Window {
			if d.Spend {
				d.counted++
			}
			return d.span.Add(length).Sub(now), false
		}
		d.counted++
		return 0, true
	}
	d.tokens = min(d.burst(), d.tokens+now.Sub(d.filled).Seconds()*d.Rate)
	d.filled = now
	if d.tokens < 1 {
		if d.Spend {
			d.tokens = max(-d.burst(), d.tokens-1)
		}
		return time.Duration(max(d.Wait, (1-d.tokens)/d.Rate) * float64(time.Second)), false
	}
	d.tokens--
	return 0, true
}

// left is the share of the allowance that is left. The lock is held.
func (d *partner) left() float64 {
	switch {
	case d.Rate <= 0:
		return 0
	case d.Window > 0:
		return max(0, 1-d.counted/(d.Rate*d.Window))
	}
	return max(0, min(1, d.tokens/d.burst()))
}
