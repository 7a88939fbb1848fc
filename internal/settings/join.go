package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"larchrouter/choice"
)

// ownKeys are the keys that each relay sets in its own file, whatever the settings of the fleet are.
var ownKeys = []string{"index", "zone"}

// Adapt returns the settings that are shared by a fleet, with a relay's own keys taken from its file.
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

// Join returns settings that allow only what both a and b allow. Kinds and tenants that are only in b are as b has them. Kinds and
// tenants that are only in a are left out, and so are classes that are only in one. Join returns an error if the result is
// invalid, as when no class is in both.
func Join(a, b Settings) (Settings, error) {
	joined := b
	// Package choice refers to kinds and tenants by their index, which is that in b.
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
