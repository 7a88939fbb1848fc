// Package platform emulates the platform around the relays, from its published documentation alone: clients,
// destinations with their endpoints, discovery, the receiver of notices, and operators at the admin address.
package platform

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// Kind is a kind of destination.
type Kind struct {
	Name    string
	PerCall int // messages in one call
}

// Dest holds the random properties of one destination. All times are in seconds.
type Dest struct {
	Number   int
	Kind     int
	Share    float64 // share of the messages
	Rate     float64 // calls a second that it accepts from all relays together; 0 for no limit but its capacity
	Window   float64 // length of the fixed window in which it counts calls; 0 for a token bucket
	Tells    float64 // share of its refusals that advise a wait
	Wait     float64 // minimum advised wait, without a fixed window
	Spend    bool    // refused calls count against the limit too
	Median   float64 // median duration of a call
	Sigma    float64 // standard deviation of the logarithm of a call's duration
	Capacity float64 // calls a second that each of its endpoints can execute
	Depth    float64 // queue length of each endpoint, in seconds of calls at capacity
	Conns    int     // connections that each endpoint accepts
	ItemCost float64 // cost of a further message in a call, relative to the first
	Listed   float64 // approximate rate in the list of endpoints, calls a second
	ColdFrom float64 // share of its capacity at the start of slow start
}

// Draw holds all random properties of a platform, which follow from the seed. It is printed with a run's result, and can be
// stored in a file to use it again.
type Draw struct {
	Kinds       []Kind
	Dests       []Dest
	Tenants     []Tenant
	Classes     []history.Class
	Honour      float64 // share of clients that honour an advised wait
	Retries     int     // number of times that a client retries after a refusal
	Backoff     float64 // seconds that a client waits after a refusal without an advised wait that it honours
	Notice      float64 // seconds until clients stop using a failed relay
	ListDelay   float64 // seconds until a change appears in discovery
	ListCost    float64 // seconds that discovery takes for a call
	ReportEvery float64 // seconds for which a load report is repeated unchanged
	ReportNoise float64 // relative standard deviation of the figures of a load report
	Error       float64 // share of calls that fail without any fault
	Cold        float64 // seconds that slow start lasts
	Handshake   float64 // seconds that an endpoint takes to set up a connection
}

// Tenant is a tenant and its share of the messages.
type Tenant struct {
	Name  string
	Share float64
}

func uniform(r *rand.Rand, low, high float64) float64 { return low + r.Float64()*(high-low) }

// NewDraw draws the properties of a platform within the bounds of a scenario, from the scenario's seed.
func NewDraw(s *scenario.Scenario) *Draw {
	r := rand.New(rand.NewPCG(s.Seed, 0x1a))
	d := &Draw{Kinds: []Kind{{"big-buyers", 20}, {"small-partners", 1}},
		Tenants: []Tenant{{"sibiu", 0.30}, {"brasov", 0.27}, {"arad", 0.19}, {"bacau", 0.15}, {"buhusi", 0.09}},
		Honour:  uniform(r, 0.49, 0.99), Retries: r.IntN(2), Backoff: uniform(r, 0.73, 1.5), Notice: uniform(r, 0.87, 3.9),
		ListDelay: uniform(r, 1.7, 4.9), ListCost: uniform(r, 0.002, 0.01), ReportEvery: uniform(r, 0.14, 0.89),
		ReportNoise: uniform(r, 0.059, 0.14), Error: uniform(r, 0, 0.004), Cold: time.Duration(s.Platform.Cold).Seconds(),
		Handshake: uniform(r, 0.001, 0.004)}
	deadline := time.Duration(s.Load.Deadline)
	for _, k := range s.Load.Classes {
		class := history.Class{Name: "order-msg", Effect: "deduplicated", Window: deadline * 15 / 24,
			Aim: deadline / 8, Deadline: deadline, Worth: 1, LateShare: 0.3}
		switch k {
		case "safe":
			class.Name, class.Effect, class.Window = "stock-query", "idempotent", 0
		case "once":
			class.Name, class.Effect, class.Window = "payment", "at_most_once", 0
		}
		d.Classes = append(d.Classes, class)
	}
	zipf, sum := uniform(r, 0.65, 0.96), 0.0
	for i := range s.Platform.Destinations {
		sum += math.Pow(float64(i+1), -zipf)
	}
	for i := range s.Platform.Destinations {
		v := Dest{Number: i, Kind: i % 3 & 1, Share: math.Pow(float64(i+1), -zipf) / sum, Rate: s.Platform.Limit,
			Median: time.Duration(s.Platform.Latency).Seconds() * uniform(r, 0.6, 1.6), Sigma: uniform(r, 0.3, 0.9),
			Depth: uniform(r, 0.35, 0.98), ItemCost: uniform(r, 0.057, 0.23), ColdFrom: uniform(r, 0.29, 0.41),
			Conns: s.Fleet.Relays*8 + 16}
		if i%3 == 1 { // one in three is large, counts calls in fixed windows and accepts several messages in a call
			v.Kind, v.Window, v.Tells, v.Spend = 0, uniform(r, 1, 2), uniform(r, 0.62, 0.93), r.IntN(2) == 0
		} else {
			v.Kind, v.Wait, v.Tells, v.Spend = 1, uniform(r, 0.44, 2), uniform(r, 0.57, 0.98), true
		}
		if queue := time.Duration(s.Platform.Queue); queue > 0 {
			v.Depth = queue.Seconds()
		}
		requiredRate := max(v.Rate, s.Load.Rate*v.Share*s.Load.Burst)
		v.Capacity = requiredRate * uniform(r, 1.2, 1.5) / float64(s.Platform.Endpoints)
		v.Listed = requiredRate * uniform(r, 0.67, 1.5)
		d.Dests = append(d.Dests, v)
	}
	return d
}

// Config is the configuration of a relay, as the platform writes it.
type Config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Admin     string          `json:"admin_addr"`
	Discovery string          `json:"discovery"`
	Source    string          `json:"source"` // address from which the relay sends
	Seed      string          `json:"seed"`
	Fleet     map[string]any  `json:"fleet,omitempty"`
	Backlog   map[string]any  `json:"backlog,omitempty"`
	Limits    map[string]any  `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  map[string]any  `json:"settings"`
}

// Settings returns the settings object of the relay with an index in the fleet.
func (d *Draw) Settings(s *scenario.Scenario, index int) map[string]any {
	var classes, tenants []any
	total := s.Load.Rate * max(1, s.Load.Burst)
	for _, c := range d.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "aim": c.Aim.Seconds(), "give-up": c.Deadline.Seconds(), "effect": c.Effect,
			"group": "all", "late-share": c.LateShare, "window": c.Window.Seconds(), "worth": c.Worth, "stream": false})
	}
	for _, t := range d.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "fraction": t.Share, "quota-per-s": max(1, total*t.Share*1.2)})
	}
	var kindNames, ownLimits, perCall []any
	for _, k := range d.Kinds {
		kindNames, ownLimits, perCall = append(kindNames, k.Name), append(ownLimits, false), append(perCall, k.PerCall)
	}
	var busyWorkers float64
	for _, v := range d.Dests {
		busyWorkers += total * v.Share * v.Median * math.Exp(v.Sigma*v.Sigma/2)
	}
	relays := float64(s.Fleet.Relays)
	// Pending messages are bounded by memory, and with a backlog on disk also by its size: a message takes 500 to 700 bytes there.
	maxPending := max(32, int(total/relays*8), int(s.Fleet.BacklogMB*1e6/500))
	zoneFees := make([]float64, len(s.Fleet.Zones))
	return map[string]any{
		"bounds": map[string]any{"cancel": true, "conn-idle": 10.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500000, "dial-timeout": 1.5,
			"max-attempts": 8, "max-retry-after": 3.0, "most-held": maxPending, "peers": false, "probes": false,
			"retry-after": true, "second-copies": false, "streams-per-conn": 1},
		"classes": classes, "client-habits": map[string]any{"marks-retry": false}, "domain-type": "deliver",
		"family-info": map[string]any{"late": "halving", "own-limits": ownLimits, "per-call": perCall, "workers": max(8, int(busyWorkers/relays*2.5)+4),
			"refused-price": 0.05, "zone-fee": zoneFees, "notes": "", "report-x0": "share of the allowance that is left", "report-x1": "calls a second that the limit allows"},
		"fleet-size": s.Fleet.Relays, "index": index, "tier": 0, "tiers": []any{"partner-systems"},
		"goal":             map[string]any{"whole": 0.4, "worst-class": 0.0, "worst-tenant": 0.35, "worst-window": 0.25},
		"load-report":      map[string]any{"columns": []any{"x0", "x1"}, "how": "inline"},
		"over-share-worth": 0.05, "prices": map[string]any{"connection": 0.0, "cross-zone": 0.0, "handshake": 0.06, "late-fail": 0.03, "moves": 0.0,
			"origin": 0.0, "peer": 0.0, "probe": 0.0, "registry-mode": 0.0, "waste": 0.05},
		"registry-mode": "subscribe",
		"rules": map[string]any{"ask-within": 10.0, "cold": d.Cold, "cold-from": 0.29, "drain-grace": 1.0, "fall": 2.0,
			"grace-to-answer": 0.3, "overload-factor": 1.5},
		"skus": kindNames, "tenants": tenants, "tick": 0.005, "weights": "rough", "worth-by": "request",
		"zone": index % len(s.Fleet.Zones), "zones": s.Fleet.Zones,
	}
}

// Terms returns the terms by which the history of a run is judged.
func (d *Draw) Terms(s *scenario.Scenario) *history.Terms {
	t := &history.Terms{Seed: s.Seed, Classes: d.Classes, MaxAttempts: 8, DrainGrace: time.Second, AskWithin: 10 * time.Second,
		Endpoints: map[string]int{}, Zones: map[string]string{}, Limits: map[string]history.Limits{}, TakeOver: scenario.TakeoverTime(s)}
	for _, v := range d.Dests {
		t.Rates = append(t.Rates, v.Rate)
	}
	for _, p := range s.Parties() {
		switch p.Kind() {
		case "endpoint":
			t.Endpoints[p.Name], t.Zones[p.Name] = p.Dest, p.Zone
		case "relay":
			t.Limits[p.Name] = history.Limits{MemoryMB: s.Fleet.MemoryMB, Sockets: float64(s.Fleet.Sockets), DiskMB: s.Fleet.DiskMB}
		}
	}
	return t
}

func (d *Dest) String() string {
	kind := "rate"
	if d.Window > 0 {
		kind = fmt.Sprintf("in spans of %.2f s", d.Window)
	}
	return fmt.Sprintf("dest %d: %.0f%% of messages, limit %.1f/s %s, %.0f ms", d.Number, 100*d.Share, d.Rate, kind, 1000*d.Median)
}
