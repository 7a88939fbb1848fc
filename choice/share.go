package choice

import (
	"math"
	"time"
)

// Shares of the tenants, and what messages are worth. What a tenant sends beyond its share is worth little, so it must not
// take the place of what others send within theirs.

// shareSpan is for how long a tenant may save up its share: messages come to a relay in clumps.
const shareSavingSpan = 2 * time.Second

// savedMost is how many messages it may save up at least. Where a relay's part of the share is less than
// that, chance alone brings more in a span, and they would pass for beyond the share.
const minSavedMessages = 6

// share is what a tenant has left of its share at this relay.
type tenantShare struct {
	remaining float64
	updatedAt time.Duration
}

// within takes one message off the share of its tenant, and tells whether it fits.
func (c *Chooser) withinShare(tenant int) bool {
	if tenant < 0 || tenant >= len(c.tenantShares) {
		return true
	}
	s, rate := &c.tenantShares[tenant], c.settings.Tenants[tenant].Quota/float64(c.settings.Fleet)
	s.remaining = min(s.remaining+rate*(c.now-s.updatedAt).Seconds(), max(minSavedMessages, rate*shareSavingSpan.Seconds()))
	s.updatedAt = c.now
	if s.remaining < 1 {
		return false
	}
	s.remaining--
	return true
}

// worth of a message if it is served at a time.
func (c *Chooser) worth(m *message, at time.Duration) float64 {
	class, worth := m.class, m.class.Worth
	if at >= m.deadline {
		return 0
	}
	if m.overShare {
		worth *= c.settings.OverShareFactor
	}
	age := at - m.createdAt
	if age <= class.Aim {
		return worth
	}
	late := (age - class.Aim).Seconds()
	if c.settings.WorthHalves {
		return worth * max(class.LateShare, math.Exp2(-late/class.Aim.Seconds()))
	}
	return worth * (1 - (1-class.LateShare)*late/(class.Deadline-class.Aim).Seconds())
}
