package choice

import (
	"math"
	"time"
)

// This file computes the shares of the tenants, and the worth of messages. A message over its
// tenant's share is worth little, so that it doesn't displace messages of others that are within
// theirs.

// shareSavingSpan is the time for which a tenant may save up its share, since messages come to a
// relay in bursts.
const shareSavingSpan = 2 * time.Second

// minSavedMessages is the number of messages that a tenant may save up at least. Where a relay's
// part of the share is less than that, more may come in shareSavingSpan by chance alone, and would
// count as over the share.
const minSavedMessages = 6

// tenantShare is what is left of a tenant's share at this relay, in messages.
type tenantShare struct {
	remaining float64
	updatedAt time.Duration
}

// withinShare takes one message off its tenant's share, and reports whether it fits.
func (c *Chooser) withinShare(tenant int) bool {
	if tenant < 0 || tenant >= len(c.tenantShares) {
		return true
	}
	share, rate := &c.tenantShares[tenant], c.settings.Tenants[tenant].Quota/float64(c.settings.Fleet)
	share.remaining = min(share.remaining+rate*(c.now-share.updatedAt).Seconds(),
		max(minSavedMessages, rate*shareSavingSpan.Seconds()))
	share.updatedAt = c.now
	if share.remaining < 1 {
		return false
	}
	share.remaining--
	return true
}

// worth returns what a message earns if it is served at the given time.
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
