package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"larchrouter/choice"
)

// own are the keys that each relay has by itself, whatever all agree on.
var own = []string{"index", "zone"}

// Adapt puts a relay's own keys into settings that are meant for all.
func Adapt(all, file json.RawMessage) (json.RawMessage, error) {
	var a, f map[string]json.RawMessage
	if err := json.Unmarshal(all, &a); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(file, &f); err != nil {
		return nil, err
	}
	if a == nil {
		return nil, fmt.Errorf("the settings are no object")
	}
	for _, key := range own {
		if v, ok := f[key]; ok {
			a[key] = v
		} else {
			delete(a, key)
		}
	}
	return json.Marshal(a)
}

// Join is what both settings allow. Kinds and tenants that the first does not know are as the second has them; those
// that only the first knows are left out, and so are classes that only one has.
func Join(a, b Settings) (Settings, error) {
	j := b
	// The decisions know kinds and tenants by their places, which are the second's.
	kinds, tenants := slices.Clone(b.Kinds), slices.Clone(b.Tenants)
	for i, name := range b.KindNames {
		if k := slices.Index(a.KindNames, name); k >= 0 {
			kinds[i] = a.Kinds[k]
		}
	}
	for i, name := range b.TenantNames {
		if k := slices.Index(a.TenantNames, name); k >= 0 {
			tenants[i] = a.Tenants[k]
		}
	}
	a.Kinds, a.Tenants = kinds, tenants
	j.Settings = choice.Join(a.Settings, b.Settings)
	j.IdleConn, j.DialTimeout = min(a.IdleConn, b.IdleConn), min(a.DialTimeout, b.DialTimeout)
	j.MaxRetryAfter, j.AskWithin = min(a.MaxRetryAfter, b.MaxRetryAfter), min(a.AskWithin, b.AskWithin)
	if err := j.Check(); err != nil {
		return j, fmt.Errorf("no settings are allowed by both: %w", err)
	}
	return j, nil
}
