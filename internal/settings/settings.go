// Package settings parses and checks the settings object of a relay, which the simulator's protocol and a real relay's
// configuration have in common.
package settings

import (
	"encoding/json"
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

// effectDeduplicated is the effect of a class whose endpoints drop repeats.
const effectDeduplicated = "deduplicated"

// effects are the values of a class's member effect.
var effects = map[string]choice.Effect{"idempotent": choice.Safe, effectDeduplicated: choice.Keyed, "at_most_once": choice.Unsafe}

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
		s.Classes = append(s.Classes, choice.Class{
			Name: k.Name, Aim: seconds(k.Aim), Deadline: seconds(k.GiveUp), Worth: k.Worth,
			LateShare: k.LateShare, Effect: effects[k.Effect], SameZone: k.Group != "all",
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
