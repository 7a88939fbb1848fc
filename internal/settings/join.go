package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"larchrouter/choice"
)

// own are the keys that each relay has by itself, whatever all agree on.
var ownKeys = []string{"index", "zone"}

// Adapt puts a relay's own keys into settings that are meant for all.
func Adapt(shared, file json.RawMessage) (json.RawMessage, error) {
	var adapted, own map[string]json.RawMessage
	if err := json.Unmarshal(shared, &adapted); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(file, &own); err != nil {
		return nil, err
	}
	if adapted == nil {
		return nil, fmt.Errorf("the settings are no object")
	}
	for _, key := range ownKeys {
		if value, ok := own[key]; ok {
			adapted[key] = value
		} else {
			delete(adapted, key)
		}
	}
	return json.Marshal(adapted)
}

// Join is what both settings allow. Kinds and tenants that the first does not know are as the second has them; those
// that only the first knows are left out, and so are classes that only one has.
func Join(a, b Settings) (Settings, error) {
	joined := b
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
	joined.Settings = choice.Join(a.Settings, b.Settings)
	joined.ConnIdleTimeout, joined.DialTimeout = min(a.ConnIdleTimeout, b.ConnIdleTimeout), min(a.DialTimeout, b.DialTimeout)
	joined.MaxRetryAfter, joined.MaxPollInterval = min(a.MaxRetryAfter, b.MaxRetryAfter), min(a.MaxPollInterval, b.MaxPollInterval)
	if err := joined.Check(); err != nil {
		return joined, fmt.Errorf("no settings are allowed by both: %w", err)
	}
	return joined, nil
}
