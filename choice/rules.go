package choice

import (
	"cmp"
	"math"
	"slices"
)

// This file changes the settings while messages are pending.

// reconfigure replaces the settings, unless they are out of range.
func (c *Chooser) reconfigure(s Settings) {
	if err := s.Check(); err != nil {
		c.log("settings not taken: %v", err)
		return
	}
	c.markAllChanged()
	c.applySettings(s)
	for _, m := range slices.Clone(c.byAnswerTime.items) {
		c.updateAnswerTime(m)
	}
	c.log("settings taken: %d classes, %d attempts", len(s.Classes), s.MaxAttempts)
}

// applySettings puts settings into effect, and keeps what was learnt under earlier ones.
func (c *Chooser) applySettings(s Settings) {
	shares := make([]tenantShare, len(s.Tenants))
	for i, t := range s.Tenants {
		shares[i].remaining = math.MaxInt32 // the whole share is available
		if j := slices.IndexFunc(c.settings.Tenants, func(old Tenant) bool {
			return old.Name == t.Name
		}); j >= 0 && j < len(c.tenantShares) {
			shares[i] = c.tenantShares[j]
		}
	}
	c.settings, c.tenantShares, c.maxTimeout, c.minAim = s, shares, 0, math.MaxInt64
	for _, class := range s.Classes {
		c.maxTimeout, c.minAim = max(c.maxTimeout, class.Aim), min(c.minAim, class.Aim)
	}
	c.checkInterval = max(s.Tick, c.minAim/checksPerAim)
	c.pooledLatencies.rebucket(c.maxTimeout / buckets)
	for d := range c.destOrder.each {
		d.latencies.rebucket(c.maxTimeout / buckets)
	}
	for len(c.retrySuccess) < max(1, len(s.Kinds)) {
		c.retrySuccess = append(c.retrySuccess, 0.5)
	}
}

// Join returns settings that both a and b allow, for a time in which some relays follow a and some
// b: the smaller budget, the longer wait, the fewer attempts, and for each class in both the terms
// by which less may be repeated and for a shorter time. Where there is no conflict, as with an aim,
// those of b hold. Kinds and tenants must be at the same indices in both.
func Join(a, b Settings) Settings {
	joined := b
	joined.Workers, joined.MaxAttempts = min(a.Workers, b.Workers), min(a.MaxAttempts, b.MaxAttempts)
	if a.MaxPending > 0 { // 0 is no limit
		joined.MaxPending = min(a.MaxPending, cmp.Or(b.MaxPending, a.MaxPending))
	}
	joined.Fleet, joined.Tick, joined.CanCancel = max(a.Fleet, b.Fleet), max(a.Tick, b.Tick), a.CanCancel && b.CanCancel
	joined.OverShareFactor, joined.Classes, joined.Kinds, joined.Tenants = min(a.OverShareFactor, b.OverShareFactor), nil,
		slices.Clone(b.Kinds), slices.Clone(b.Tenants)
	first, second := a.Rules, b.Rules
	joined.Rules = Rules{AnswerGrace: min(first.AnswerGrace, second.AnswerGrace),
		DrainGrace:     min(first.DrainGrace, second.DrainGrace),
		OverloadFactor: min(first.OverloadFactor, second.OverloadFactor),
		OverloadWindow: max(first.OverloadWindow, second.OverloadWindow),
		ColdShare:      min(first.ColdShare, second.ColdShare),
		WarmUp:         max(first.WarmUp, second.WarmUp), OrderSettle: max(first.OrderSettle, second.OrderSettle)}
	for _, class := range b.Classes {
		i := slices.IndexFunc(a.Classes, func(c Class) bool { return c.Name == class.Name })
		if i < 0 {
			continue
		}
		joined.Classes = append(joined.Classes, Stricter(a.Classes[i], class))
	}
	for i := range min(len(a.Kinds), len(joined.Kinds)) {
		joined.Kinds[i] = Kind{a.Kinds[i].SeparateRoutes && b.Kinds[i].SeparateRoutes,
			min(a.Kinds[i].PerCall, b.Kinds[i].PerCall)}
	}
	for i := range min(len(a.Tenants), len(joined.Tenants)) {
		joined.Tenants[i].Quota = min(a.Tenants[i].Quota, b.Tenants[i].Quota)
	}
	return joined
}

// Stricter returns class with the stricter of its own terms and those of other: it may be repeated
// no more, and for no longer, than either. Both are of the same name.
func Stricter(other, class Class) Class {
	class.Deadline, class.Effect = min(class.Deadline, other.Deadline), max(class.Effect, other.Effect)
	class.SameZone, class.Ordered = class.SameZone || other.SameZone, class.Ordered || other.Ordered
	if class.Effect == Keyed { // a safe class has no window
		class.Window = min(cmp.Or(other.Window, class.Window), cmp.Or(class.Window, other.Window))
	}
	class.Aim = min(class.Aim, class.Deadline)
	return class
}
