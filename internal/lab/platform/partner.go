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

// Env holds what all emulated parties of a run share.
type Env struct {
	Clock    *history.Clock
	Record   func(history.Event)
	Net      *link.Net
	Scenario *scenario.Scenario
	Draw     *Draw
	ClientIP func(n int) string // source address of the nth client; nil for any
}

// Checksum returns the checksum by which the history identifies a body.
func Checksum(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Partners holds all destinations with their endpoints.
type Partners struct {
	Env
	dests     []*destination
	endpoints map[string]*endpoint
	calls     atomic.Int64
}

// destination is the state of one destination. Rate limit, outages and slow start apply to all its endpoints together.
type destination struct {
	*Dest
	partners *Partners

	mu          sync.Mutex
	rand        *rand.Rand
	endpoints   []*endpoint
	tokens      float64    // calls in the token bucket
	tokensAt    time.Time  // when tokens was last updated
	windowStart time.Time  // start of the current fixed window
	windowCalls float64    // calls counted in the current fixed window
	shutUntil   time.Time  // time until which it refuses all calls
	errorShare  float64    // share of calls that fail
	slowFactor  float64    // factor by which calls take longer
	outage      OutageKind // what the endpoints do in an outage; noOutage for none
	coldSince   time.Time  // start of slow start; zero if there is none
	collapsed   bool       // overloaded during slow start; it refuses all calls until an outage resets it
	arrivals    []arrival  // recent calls, during slow start
}

// NewPartners creates the destinations of a draw, with their endpoints.
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

// meanSeconds returns the mean duration of a call in seconds.
func (d *Dest) meanSeconds() float64 { return d.Median * math.Exp(d.Sigma*d.Sigma/2) }

// burstCalls returns the size of the token bucket of a destination without a fixed window, in calls.
func (d *Dest) burstCalls() float64 { return max(1, d.Rate/4) }

// Serve starts serving an endpoint to one relay at an address for this pair, and returns that address.
func (p *Partners) Serve(relay, name, addr string) (string, error) {
	e := p.endpoints[name]
	return p.Net.Serve(relay, name, addr, func(c *link.Conn) { e.serve(relay, c) })
}

// ServeAll starts serving an endpoint to all relays at one address, and returns that address. The function who names the
// relay with a source address.
func (p *Partners) ServeAll(name, addr string, who func(ip string) string) (string, error) {
	e := p.endpoints[name]
	o, err := p.Net.ServeParty(name, addr, who, func(c *link.Conn) { e.serve(c.Peer(), c) })
	if err != nil {
		return "", err
	}
	return o.Addr, nil
}

// ListedID returns the id that an endpoint has in the list, given its name in scenario and history.
func ListedID(name string) string { return "s-" + name[len("endpoint/"):] }
