package choice

import (
	"math"
	"time"
)

// Shares of the tenants, and what messages are worth. What a tenant sends beyond its share is worth little, so it must not
// take the place of what others send within theirs.

// shareSpan is for how long a tenant may save up its share: messages come to a relay in clumps.
const shareSpan = 2 * time.Second

// savedMost is how many messages it may save up at least. Where a relay's part of the share is less than
// that, chance alone brings more in a span, and they would pass for beyond the share.
const savedMost = 6

// share is what a tenant has left of its share at this relay.
type share struct {
	left float64
	at   time.Duration
}

// within takes one message off the share of its tenant, and tells whether it fits.
func (c *Chooser) within(tenant int) bool {
	if tenant < 0 || tenant >= len(c.shares) {
		return true
	}
	s, rate := &c.shares[tenant], c.set.Tenants[tenant].Quota/float64(c.set.Fleet)
	s.left = min(s.left+rate*(c.now-s.at).Seconds(), max(savedMost, rate*shareSpan.Seconds()))
	s.at = c.now
	if s.left < 1 {
		return false
	}
	s.left--
	return true
}

// worth of a message if it is served at a time.
func (c *Chooser) worth(m *message, at time.Duration) float64 {
	k, full := m.class, m.class.Worth
	if at >= m.due {
		return 0
	}
	if m.past {
		full *= c.set.OverShare
	}
	age := at - m.born
	if age <= k.Aim {
		return full
	}
	late := (age - k.Aim).Seconds()
	if c.set.Halving {
		return full * max(k.LateShare, math.Exp2(-late/k.Aim.Seconds()))
	}
	return full * (1 - (1-k.LateShare)*late/(k.Deadline-k.Aim).Seconds())
}
