package platform

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/scenario"
)

// Env is what all parties of a run share.
type Env struct {
	Clock    *history.Clock
	Record   func(history.Event)
	Net      *link.Net
	Scenario *scenario.Scenario
	Draw     *Draw
	ClientIP func(n int) string // where the nth client connects from; nil for anywhere
}

// Sum is what the history keeps of a body.
func Checksum(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Partners are all destinations with their endpoints.
type Partners struct {
	Env
	dests     []*destination
	endpoints map[string]*endpoint
	calls     atomic.Int64
}

// partner is one destination: limit, outages and coldness are of all its endpoints together.
type destination struct {
	*Dest
	partners *Partners

	mu          sync.Mutex
	rand        *rand.Rand
	endpoints   []*endpoint
	tokens      float64
	tokensAt    time.Time
	windowStart time.Time // when the span that runs began
	windowCalls float64
	shutUntil   time.Time // until when it turns all away
	errorShare  float64   // share of calls that fail
	slowFactor  float64   // calls take so many times as long
	down        bool      // no endpoint answers
	coldSince   time.Time // came back cold then; zero for warm
	collapsed   bool
	arrivals    []arrival // while cold
}

// NewPartners makes the destinations of a draw.
func NewPartners(env Env) *Partners {
	p := &Partners{Env: env, endpoints: map[string]*endpoint{}}
	for i := range env.Draw.Dests {
		d := &destination{Dest: &env.Draw.Dests[i], partners: p, rand: rand.New(rand.NewPCG(env.Scenario.Seed, 0x100+uint64(i))),
			slowFactor: 1, tokensAt: time.Now(), windowStart: time.Now()}
		d.tokens = d.burstCalls()
		p.dests = append(p.dests, d)
	}
	for i := range env.Scenario.Platform.Destinations * env.Scenario.Platform.Endpoints {
		d := p.dests[i%len(p.dests)]
		e := &endpoint{name: fmt.Sprintf("endpoint/%d", i), id: fmt.Sprintf("s-%d", i), dest: d, faults: EndpointFaults{SlowFactor: 1}, appliedKeys: map[string]time.Time{}}
		e.workers = max(1, int(math.Round(d.Capacity*d.meanSeconds())))
		d.endpoints = append(d.endpoints, e)
		p.endpoints[e.name] = e
	}
	return p
}

// mean is the mean time of a call in seconds.
func (d *Dest) meanSeconds() float64 { return d.Median * math.Exp(d.Sigma*d.Sigma/2) }

// burst is how many calls a plain rate lets through at once.
func (d *Dest) burstCalls() float64 { return max(1, d.Rate/4) }

// Serve lets a relay reach an endpoint at an address of their own.
func (p *Partners) Serve(relay, name, addr string) (string, error) {
	e := p.endpoints[name]
	return p.Net.Serve(relay, name, addr, func(c *link.Conn) { e.serve(relay, c) })
}

// ServeAll lets all relays reach an endpoint at one address.
func (p *Partners) ServeAll(name, addr string, who func(ip string) string) (string, error) {
	e := p.endpoints[name]
	o, err := p.Net.ServeAll(name, addr, who, func(c *link.Conn) { e.serve(c.Peer(), c) })
	if err != nil {
		return "", err
	}
	return o.Addr, nil
}

// ID is the name of an endpoint on the list.
func ListedID(name string) string { return "s-" + name[len("endpoint/"):] }
