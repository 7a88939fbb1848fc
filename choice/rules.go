package choice

import (
	"math"
	"slices"
)

// Settings that change while messages are open.

func (c *Chooser) reconfigure(s Settings) {
	if err := s.Check(); err != nil {
		c.log("settings not taken: %v", err)
		return
	}
	c.apply(s)
	c.log("settings taken: %d classes, %d attempts", len(s.Classes), s.MaxAttempts)
}

// apply takes settings up, and keeps what was learnt under earlier ones.
func (c *Chooser) apply(s Settings) {
	c.set, c.bound, c.minAim = s, 0, math.MaxInt64
	for _, k := range s.Classes {
		c.bound, c.minAim = max(c.bound, k.Aim), min(c.minAim, k.Aim)
	}
	c.nap = max(s.Tick, c.minAim/glance)
	c.pool.spread(c.bound / buckets)
	for _, d := range c.order {
		d.table.spread(c.bound / buckets)
	}
	for len(c.luck) < max(1, len(s.Kinds)) {
		c.luck = append(c.luck, 0.5)
	}
	for len(c.shares) < len(s.Tenants) {
		c.shares = append(c.shares, share{left: math.MaxInt32}) // full
	}
	c.shares = slices.Clip(c.shares[:len(s.Tenants)])
}
