package settings

import (
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// site is the part of a site file that determines the settings of its relays.
type site struct {
	Name string
	Net  struct{ Zones []string }
	Load struct {
		OverShareWorth float64 `toml:"over_share_worth"`
	}
	Clients struct {
		MaxRetryAfter float64 `toml:"max_retry_after_ms"`
	}
	Allow struct {
		Cancel      bool
		MaxAttempts int `toml:"max_attempts"`
	}
	Rules struct {
		DrainGrace float64 `toml:"drain_grace_ms"`
		Multiple   float64 `toml:"fall_multiple"`
		Fall       float64 `toml:"fall_ms"`
	}
	Tier []struct {
		Weights string
		Report  struct {
			How    string
			Fields []string
		}
		Conn struct {
			Idle float64 `toml:"idle_s"`
			Dial float64 `toml:"connect_timeout_ms"`
		}
		Kind []struct {
			Name     string
			Cold     []float64 `toml:"cold_s"`
			ColdFrom []float64 `toml:"cold_from"`
		}
	}
	Class []struct {
		Name, Effect, Group string
		Aim                 float64 `toml:"aim_ms"`
		Deadline            float64 `toml:"deadline_ms"`
		Window              float64 `toml:"window_ms"`
		Worth               float64
		LateWorth           float64 `toml:"late_worth"`
	}
	Tenant []struct {
		Name  string
		Share float64
	}
	Fam struct {
		Late string
		Kind []struct{ Batch int }
	}
}

// siteSettings returns the settings object that the relays of a site are given.
func siteSettings(t *testing.T, s site) []byte {
	t.Helper()
	tier, classes, tenants := s.Tier[0], []any{}, []any{}
	effects := map[string]string{"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
	for _, k := range s.Class {
		classes = append(classes, map[string]any{"name": k.Name, "effect": effects[k.Effect], "group": k.Group, "aim": k.Aim / 1000,
			"give-up": k.Deadline / 1000, "window": k.Window / 1000, "worth": k.Worth, "late-share": k.LateWorth})
	}
	for _, tenant := range s.Tenant {
		tenants = append(tenants, map[string]any{"name": tenant.Name, "quota-per-s": 50 * tenant.Share, "fraction": tenant.Share})
	}
	names, calls := []string{}, []int{}
	for i, k := range tier.Kind {
		names, calls = append(names, k.Name), append(calls, max(1, s.Fam.Kind[i].Batch))
	}
	how := map[string]string{"answers": "inline", "none": "off"}[tier.Report.How]
	columns := map[bool][]string{true: tier.Report.Fields, false: {}}[how == "inline"]
	data, err := json.Marshal(map[string]any{
		"bounds": map[string]any{"cancel": s.Allow.Cancel, "max-attempts": s.Allow.MaxAttempts, "most-held": 100, "conn-idle": tier.Conn.Idle,
			"dial-timeout": tier.Conn.Dial / 1000, "max-retry-after": s.Clients.MaxRetryAfter / 1000},
		"classes": classes, "tenants": tenants, "skus": names, "zones": s.Net.Zones, "over-share-worth": s.Load.OverShareWorth,
		"family-info": map[string]any{"late": s.Fam.Late, "own-limits": make([]bool, len(names)), "per-call": calls, "workers": 12, "zone-fee": []float64{0}},
		"fleet-size":  3, "index": 0, "load-report": map[string]any{"how": how, "columns": columns}, "registry-mode": "subscribe",
		"rules": map[string]any{"ask-within": 10, "cold": tier.Kind[0].Cold[1], "cold-from": tier.Kind[0].ColdFrom[0], "drain-grace": s.Rules.DrainGrace / 1000,
			"fall": s.Rules.Fall / 1000, "grace-to-answer": 0.02, "overload-factor": s.Rules.Multiple},
		"tick": 0.005, "weights": tier.Weights,
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against settings of a deployment that a relay cannot use, and against a truncated or contradictory file that is accepted
// or rejected without naming the key.
func TestSiteSettingsAreParsed(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("sites %v, error %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			var s site
			if err := toml.Unmarshal(data, &s); err != nil {
				t.Fatal(err)
			}
			text := siteSettings(t, s)
			parsed, err := Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			if len(parsed.Classes) != len(s.Class) || len(parsed.Tenants) != len(s.Tenant) || len(parsed.Kinds) != len(s.Tier[0].Kind) {
				t.Errorf("%d classes, %d tenants, %d kinds", len(parsed.Classes), len(parsed.Tenants), len(parsed.Kinds))
			}
			for i, k := range parsed.Classes {
				if k.Name != s.Class[i].Name || k.Deadline.Seconds()*1000 != s.Class[i].Deadline || k.SameZone != (s.Class[i].Group != "all") {
					t.Errorf("class %d is %+v", i, k)
				}
			}
			for i := range text { // truncated at any byte
				if _, err := Parse(text[:i]); err == nil {
					t.Fatalf("accepted, though truncated after %d bytes", i)
				}
			}
			for key, change := range map[string]func(m map[string]any){
				"bounds/max-attempts":   func(m map[string]any) { m["bounds"].(map[string]any)["max-attempts"] = 0 },
				"family-info/workers":   func(m map[string]any) { delete(m["family-info"].(map[string]any), "workers") },
				"rules/fall":            func(m map[string]any) { m["rules"].(map[string]any)["fall"] = -1 },
				"rules/cold-from":       func(m map[string]any) { m["rules"].(map[string]any)["cold-from"] = 2 },
				"rules/overload-factor": func(m map[string]any) { m["rules"].(map[string]any)["overload-factor"] = -2 },
				"tick":                  func(m map[string]any) { m["tick"] = 0 },
				"fleet-size":            func(m map[string]any) { delete(m, "fleet-size") },
				"classes":               func(m map[string]any) { m["classes"] = []any{} },
				"classes[0]/effect":     func(m map[string]any) { classAt(m, 0)["effect"] = "often" },
				"classes[0]/give-up":    func(m map[string]any) { classAt(m, 0)["give-up"] = 0.1 },
				"classes[0]/late-share": func(m map[string]any) { classAt(m, 0)["late-share"] = 1.5 },
				"classes[1]/name":       func(m map[string]any) { classAt(m, 1)["name"] = classAt(m, 0)["name"] },
				"classes[1]/aim":        func(m map[string]any) { delete(classAt(m, 1), "aim") },
			} {
				var m map[string]any
				if err := json.Unmarshal(text, &m); err != nil {
					t.Fatal(err)
				}
				m = maps.Clone(m)
				change(m)
				data, _ := json.Marshal(m)
				_, err := Parse(data)
				if keyErr := (*KeyError)(nil); !errors.As(err, &keyErr) || keyErr.Key != key || !strings.Contains(keyErr.Remedy(), key) {
					t.Errorf("%s: error is %v", key, err)
				}
			}
		})
	}
}

func classAt(m map[string]any, i int) map[string]any { return m["classes"].([]any)[i].(map[string]any) }
