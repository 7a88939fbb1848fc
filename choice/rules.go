package choice

import (
	"cmp"
	"math"
	"slices"
)

// Settings that change while messages are open.

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

// apply takes settings up, and keeps what was learnt under earlier ones.
func (c *Chooser) applySettings(s Settings) {
	shares := make([]tenantShare, len(s.Tenants))
	for i, t := range s.Tenants {
		shares[i].remaining = math.MaxInt32 // full
		if j := slices.IndexFunc(c.settings.Tenants, func(o Tenant) bool { return o.Name == t.Name }); j >= 0 && j < len(c.tenantShares) {
			shares[i] = c.tenantShares[j]
		}
	}
	c.settings, c.tenantShares, c.maxTimeout, c.minAim = s, shares, 0, math.MaxInt64
	for _, k := range s.Classes {
		c.maxTimeout, c.minAim = max(c.maxTimeout, k.Aim), min(c.minAim, k.Aim)
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

// Join is the settings that both allow, for relays of which some act by one and some by the other: the smaller budget,
// the longer wait, the fewer attempts, and the class by which less may be repeated and for less long. What contradicts
// nothing, as an aim, is the second's. Kinds and tenants stand at the same places in both.
func Join(a, b Settings) Settings {
	j := b
	j.Workers, j.MaxAttempts = min(a.Workers, b.Workers), min(a.MaxAttempts, b.MaxAttempts)
	if a.MaxPending > 0 { // 0 is no limit
		j.MaxPending = min(a.MaxPending, cmp.Or(b.MaxPending, a.MaxPending))
	}
	j.Fleet, j.Tick, j.CanCancel = max(a.Fleet, b.Fleet), max(a.Tick, b.Tick), a.CanCancel && b.CanCancel
	j.OverShareFactor, j.Classes, j.Kinds, j.Tenants = min(a.OverShareFactor, b.OverShareFactor), nil, slices.Clone(b.Kinds), slices.Clone(b.Tenants)
	p, q := a.Rules, b.Rules
	j.Rules = Rules{AnswerGrace: min(p.AnswerGrace, q.AnswerGrace), DrainGrace: min(p.DrainGrace, q.DrainGrace),
		OverloadFactor: min(p.OverloadFactor, q.OverloadFactor), OverloadWindow: max(p.OverloadWindow, q.OverloadWindow), ColdShare: min(p.ColdShare, q.ColdShare),
		WarmUp: max(p.WarmUp, q.WarmUp), OrderSettle: max(p.OrderSettle, q.OrderSettle)}
	for _, k := range b.Classes {
		i := slices.IndexFunc(a.Classes, func(c Class) bool { return c.Name == k.Name })
		if i < 0 {
			continue
		}
		j.Classes = append(j.Classes, Stricter(a.Classes[i], k))
	}
	for i := range min(len(a.Kinds), len(j.Kinds)) {
		j.Kinds[i] = Kind{a.Kinds[i].SeparateRoutes && b.Kinds[i].SeparateRoutes, min(a.Kinds[i].PerCall, b.Kinds[i].PerCall)}
	}
	for i := range min(len(a.Tenants), len(j.Tenants)) {
		j.Tenants[i].Quota = min(a.Tenants[i].Quota, b.Tenants[i].Quota)
	}
	return j
}

// Stricter is the class by which less may be repeated, and for less long, than by either of two under one name.
func Stricter(was, k Class) Class {
	k.Deadline, k.Effect = min(k.Deadline, was.Deadline), max(k.Effect, was.Effect)
	k.SameZone, k.Ordered = k.SameZone || was.SameZone, k.Ordered || was.Ordered
	if k.Effect == Keyed { // one that is safe has no window
		k.Window = min(cmp.Or(was.Window, k.Window), cmp.Or(k.Window, was.Window))
	}
	k.Aim = min(k.Aim, k.Deadline)
	return k
}
