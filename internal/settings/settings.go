// Package settings parses and checks the settings object of a relay, which the simulator's protocol and a real relay's
// configuration have in common.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"larchrouter/choice"
)

// Settings are the parsed settings: those of package choice, and those that only a real relay uses.
type Settings struct {
	choice.Settings
	ZoneNames       []string      // indexed by Host.Zone
	KindNames       []string      // indexed by Host.Kind
	ConnIdleTimeout time.Duration // endpoints close a connection that has been idle for this long
	DialTimeout     time.Duration // a connection that is not established by then has failed
	MaxRetryAfter   time.Duration // the longest Retry-After that clients heed
	MaxPollInterval time.Duration // a relay that has not called for the list for this long counts as notified of its changes
	TenantNames     []string      // indexed by Arrival.Tenant
	ReportFields    []string      // columns of the load report in each answer; empty if answers have none
}

// seconds converts a number of seconds to a duration, rounded to microseconds.
func seconds(f float64) time.Duration { return time.Duration(math.Round(f*1e6)) * time.Microsecond }

// config is the part of the settings object that is used. Times are in seconds.
type config struct {
	Bounds struct {
		Cancel        bool    `json:"cancel"`
		ConnIdle      float64 `json:"conn-idle"`
		DialTimeout   float64 `json:"dial-timeout"`
		MaxRetryAfter float64 `json:"max-retry-after"`
		MaxAttempts   int     `json:"max-attempts"`
		MostHeld      int     `json:"most-held"`
	} `json:"bounds"`
	Classes []struct {
		Name      string  `json:"name"`
		Aim       float64 `json:"aim"`
		GiveUp    float64 `json:"give-up"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		KeepOrder bool    `json:"keep-order"`
		LateShare float64 `json:"late-share"`
		Window    float64 `json:"window"`
		Worth     float64 `json:"worth"`
	} `json:"classes"`
	Family struct {
		Late      string    `json:"late"`
		OwnLimits []bool    `json:"own-limits"`
		PerCall   []int     `json:"per-call"`
		Workers   int       `json:"workers"`
		ZoneFee   []float64 `json:"zone-fee"`
	} `json:"family-info"`
	FleetSize  int `json:"fleet-size"`
	Index      int `json:"index"`
	LoadReport struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"load-report"`
	RegistryMode string `json:"registry-mode"`
	Rules        struct {
		AskWithin      float64 `json:"ask-within"`
		Cold           float64 `json:"cold"`
		ColdFrom       float64 `json:"cold-from"`
		DrainGrace     float64 `json:"drain-grace"`
		Fall           float64 `json:"fall"`
		GraceToAnswer  float64 `json:"grace-to-answer"`
		OrderSettle    float64 `json:"order-settle"`
		OverloadFactor float64 `json:"overload-factor"`
	} `json:"rules"`
	Skus    []string `json:"skus"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota-per-s"`
	} `json:"tenants"`
	OverShare float64  `json:"over-share-worth"`
	Tick      float64  `json:"tick"`
	Weights   string   `json:"weights"`
	Zones     []string `json:"zones"`
}

// CheckComplete returns an error if a configuration lacks a key that the running one has, as a file does that was replaced in part
// only. Each object in a list must have the keys that all objects of that list have in the running configuration.
func CheckComplete(running, next json.RawMessage) error {
	var runningValue, nextValue any
	if err := json.Unmarshal(running, &runningValue); err != nil {
		return err
	}
	if err := json.Unmarshal(next, &nextValue); err != nil {
		return err
	}
	return checkKeys(runningValue, nextValue, "")
}

// checkKeys returns an error for the first key found that next lacks; path is where both are in the configuration.
func checkKeys(running, next any, path string) error {
	switch runningValue := running.(type) {
	case map[string]any:
		nextValue, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object", path)
		}
		for name, v := range runningValue {
			w, ok := nextValue[name]
			if !ok {
				return fmt.Errorf("%s/%s is missing", path, name)
			}
			if err := checkKeys(v, w, path+"/"+name); err != nil {
				return err
			}
		}
	case []any:
		nextValue, ok := next.([]any)
		if !ok {
			return fmt.Errorf("%s is no list", path)
		}
		for i, v := range nextValue {
			for _, name := range commonKeys(runningValue) {
				if object, ok := v.(map[string]any); !ok || object[name] == nil {
					return fmt.Errorf("%s[%d]/%s is missing", path, i, name)
				}
			}
		}
	}
	return nil
}

// commonKeys returns the keys that all objects of a list have; none if the list has an element that is not an object.
func commonKeys(list []any) (names []string) {
	for i, value := range list {
		object, _ := value.(map[string]any)
		if i == 0 {
			names = slices.Collect(maps.Keys(object))
		}
		names = slices.DeleteFunc(names, func(name string) bool { return object[name] == nil })
	}
	return names
}

// Parse parses and checks the settings object. The error for an invalid value is a *KeyError.
func Parse(data []byte) (Settings, error) {
	var c config
	if err := json.Unmarshal(data, &c); err != nil {
		return Settings{}, err
	}
	if err := c.check(); err != nil {
		return Settings{}, err
	}
	s := Settings{ZoneNames: c.Zones, KindNames: c.Skus, ConnIdleTimeout: seconds(c.Bounds.ConnIdle),
		DialTimeout: seconds(c.Bounds.DialTimeout), MaxRetryAfter: seconds(c.Bounds.MaxRetryAfter),
		MaxPollInterval: seconds(c.Rules.AskWithin)}
	s.Settings = choice.Settings{
		Index: c.Index, Fleet: c.FleetSize, Workers: c.Family.Workers, MaxPending: c.Bounds.MostHeld,
		MaxAttempts: c.Bounds.MaxAttempts, Tick: seconds(c.Tick), ZoneFee: c.Family.ZoneFee,
		WorthHalves: c.Family.Late == "halving", RatesListed: c.Weights == "nominal" || c.Weights == "rough",
		CanCancel: c.Bounds.Cancel, MustSubscribe: c.RegistryMode == "subscribe",
		ReportLimitIndex: -1, ReportLeftIndex: -1,
		Rules: choice.Rules{
			AnswerGrace: seconds(c.Rules.GraceToAnswer), DrainGrace: seconds(c.Rules.DrainGrace),
			OverloadFactor: c.Rules.OverloadFactor, OverloadWindow: seconds(c.Rules.Fall),
			ColdShare: c.Rules.ColdFrom, WarmUp: seconds(c.Rules.Cold), OrderSettle: seconds(c.Rules.OrderSettle),
		},
	}
	if c.LoadReport.How == "inline" {
		s.ReportFields = c.LoadReport.Columns
		s.ReportLimitIndex = slices.Index(c.LoadReport.Columns, "x1")
		s.ReportLeftIndex = slices.Index(c.LoadReport.Columns, "x0")
	}
	for _, k := range c.Classes {
		effect := map[string]choice.Effect{
			"idempotent": choice.Safe, "deduplicated": choice.Keyed, "at_most_once": choice.Unsafe}[k.Effect]
		s.Classes = append(s.Classes, choice.Class{
			Name: k.Name, Aim: seconds(k.Aim), Deadline: seconds(k.GiveUp), Worth: k.Worth,
			LateShare: k.LateShare, Effect: effect, SameZone: k.Group != "all",
			Window: seconds(k.Window), Ordered: k.KeepOrder,
		})
	}
	s.OverShareFactor = c.OverShare
	for _, t := range c.Tenants {
		s.TenantNames = append(s.TenantNames, t.Name)
		s.Tenants = append(s.Tenants, choice.Tenant{Name: t.Name, Quota: t.Quota})
	}
	for i := range c.Skus {
		k := choice.Kind{PerCall: 1}
		if i < len(c.Family.OwnLimits) {
			k.SeparateRoutes = c.Family.OwnLimits[i]
		}
		if i < len(c.Family.PerCall) {
			k.PerCall = max(1, c.Family.PerCall[i])
		}
		s.Kinds = append(s.Kinds, k)
	}
	return s, s.Check()
}
