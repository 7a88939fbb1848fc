package settings

import "fmt"

// KeyError reports a key of the settings whose value is invalid.
type KeyError struct {
	Key    string // path of the key in the settings object, as the file has it
	Reason string
}

func (e *KeyError) Error() string { return e.Key + " " + e.Reason }

// Remedy returns what an operator can do about the error.
func (e *KeyError) Remedy() string {
	return "correct " + e.Key + " in the settings; a relay that runs goes on by those before, whole"
}

// check returns a *KeyError for the first key found that is out of its range or contradicts another; nil if there is none.
func (c *config) check() error {
	keyError := func(key, why string, args ...any) error { return &KeyError{key, fmt.Sprintf(why, args...)} }
	for _, k := range []struct {
		key      string
		value    float64
		positive bool // the value 0 is out of the range as well
	}{
		{"bounds/max-attempts", float64(c.Bounds.MaxAttempts), true}, {"bounds/most-held", float64(c.Bounds.MostHeld), false},
		{"bounds/conn-idle", c.Bounds.ConnIdle, false}, {"bounds/dial-timeout", c.Bounds.DialTimeout, false},
		{"bounds/max-retry-after", c.Bounds.MaxRetryAfter, false}, {"family-info/workers", float64(c.Family.Workers), true},
		{"fleet-size", float64(c.FleetSize), true}, {"tick", c.Tick, true}, {"rules/cold", c.Rules.Cold, true},
		{"rules/fall", c.Rules.Fall, true}, {"rules/cold-from", c.Rules.ColdFrom, false}, {"rules/ask-within", c.Rules.AskWithin, false},
		{"rules/drain-grace", c.Rules.DrainGrace, false}, {"rules/overload-factor", c.Rules.OverloadFactor, false},
		{"rules/order-settle", c.Rules.OrderSettle, false},
	} {
		if k.value < 0 || k.positive && k.value == 0 {
			return keyError(k.key, "is %g, must be %s 0", k.value, map[bool]string{true: "above", false: "at least"}[k.positive])
		}
	}
	if c.Rules.ColdFrom > 1 {
		return keyError("rules/cold-from", "is %g, must be at most 1", c.Rules.ColdFrom)
	}
	if len(c.Classes) == 0 {
		return keyError("classes", "is empty, must hold at least one")
	}
	classNames := map[string]bool{}
	for i, k := range c.Classes {
		classKey := func(key string) string { return fmt.Sprintf("classes[%d]/%s", i, key) }
		_, knownEffect := effects[k.Effect]
		switch {
		case k.Name == "" || classNames[k.Name]:
			return keyError(classKey("name"), "is %q, which is empty or stands twice", k.Name)
		case !knownEffect:
			return keyError(classKey("effect"), "is %q, which is no effect", k.Effect)
		case k.Aim <= 0:
			return keyError(classKey("aim"), "is %g, must be above 0", k.Aim)
		case k.GiveUp < k.Aim:
			return keyError(classKey("give-up"), "is %g, must be at least the aim, %g", k.GiveUp, k.Aim)
		case k.Effect == effectDeduplicated && k.Window <= 0:
			return keyError(classKey("window"), "is %g, must be above 0 where repeats are dropped", k.Window)
		case k.Worth < 0:
			return keyError(classKey("worth"), "is %g, must be at least 0", k.Worth)
		case k.LateShare < 0 || k.LateShare > 1:
			return keyError(classKey("late-share"), "is %g, must be within 0 and 1", k.LateShare)
		}
		classNames[k.Name] = true
	}
	tenantNames := map[string]bool{}
	for i, t := range c.Tenants {
		if t.Name == "" || tenantNames[t.Name] {
			return keyError(fmt.Sprintf("tenants[%d]/name", i), "is %q, which is empty or stands twice", t.Name)
		}
		if t.Quota < 0 {
			return keyError(fmt.Sprintf("tenants[%d]/quota-per-s", i), "is %g, must be at least 0", t.Quota)
		}
		tenantNames[t.Name] = true
	}
	return nil
}
