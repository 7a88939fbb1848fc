package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// Entry is an endpoint as the list has it.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	version int64   // of the last change
}

type answer struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery tells relays of endpoints, late, and takes their notices.
type Discovery struct {
	Env
	Noticed func(id, status string, after time.Duration) // a message has ended with a notice

	mu      sync.Mutex
	version int64
	entries []Entry                      // in the order in which they were added; those that left stay, as such
	addrs   map[string]map[string]string // by relay and endpoint
	changed chan struct{}
	down    chan struct{} // closed while it is down
	isDown  bool
	late    time.Duration
	slow    time.Duration // before a notice is answered
	trouble ListTrouble   // of calls for the list
	chance  *rand.Rand
	queue   chan struct{} // a place at the counter: calls are handled in turn
	queued  int           // calls that wait for their turn
	watches map[string]int
	last    map[string]time.Time // when a watch of a relay was answered last
	had     map[string]answer    // the list as each relay had it last
	// unsettled are answers of which it is not known yet whether they crossed the end of their call.
	unsettled sync.WaitGroup
}

// watchGap is the time in which a relay has to call again for its watch to go on.
const watchGap = 200 * time.Millisecond

// NewDiscovery lists all endpoints of the partners.
func NewDiscovery(env Env, p *Partners) *Discovery {
	d := &Discovery{Env: env, version: 1, changed: make(chan struct{}), down: make(chan struct{}), queue: make(chan struct{}, 1),
		addrs: map[string]map[string]string{}, watches: map[string]int{}, last: map[string]time.Time{}, had: map[string]answer{},
		chance: rand.New(rand.NewPCG(env.Scenario.Seed, 0xd15c))}
	for _, party := range env.Scenario.Parties() {
		if e := p.eps[party.Name]; e != nil {
			d.entries = append(d.entries, Entry{ID: e.id, Zone: party.Zone, Kind: env.Draw.Kinds[e.of.Kind].Name, Cell: e.of.Number,
				State: "active", Weight: e.of.Listed, version: 1})
		}
	}
	return d
}

// Reach says at which address a relay reaches an endpoint.
func (d *Discovery) Reach(relay, endpoint, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addrs[relay] == nil {
		d.addrs[relay] = map[string]string{}
	}
	d.addrs[relay][ID(endpoint)] = addr
}

// Serve lets a relay reach discovery at an address of its own.
func (d *Discovery) Serve(relay, addr string) (string, error) {
	return d.Net.Serve(relay, "discovery", addr, func(c *link.Conn) {
		requests(c, 1<<20, func(a *asked) bool { return d.handle(relay, a) })
	})
}

// list has what changed after a version, or the whole list for 0. The lock is held.
func (d *Discovery) list(relay string, since int64) answer {
	l := answer{Version: d.version, Full: since == 0 || since > d.version, Servers: []Entry{}}
	for _, e := range d.entries {
		if l.Full && e.State == "left" || !l.Full && e.version <= since {
			continue
		}
		e.Addr = d.addrs[relay][e.ID]
		l.Servers = append(l.Servers, e)
	}
	return l
}

// Set changes the state of an endpoint: discovery hears of it late, and tells it from then on.
func (d *Discovery) Set(endpoint, state string, then func()) {
	d.change(endpoint, func(e *Entry) { e.State = state }, then)
}

// Weigh lists another rate for an endpoint, as late as any change.
func (d *Discovery) Weigh(endpoint string, rate float64) {
	d.change(endpoint, func(e *Entry) { e.Weight = rate }, nil)
}

func (d *Discovery) change(endpoint string, how func(*Entry), then func()) {
	d.mu.Lock()
	wait := time.Duration(d.Draw.ListDelay*float64(time.Second)) + d.late
	d.mu.Unlock()
	time.AfterFunc(wait, func() {
		d.mu.Lock()
		d.version++
		state := ""
		for i := range d.entries {
			if e := &d.entries[i]; e.ID == ID(endpoint) {
				how(e)
				e.version, state = d.version, e.State
			}
		}
		now := d.Clock.Now()
		d.Record(history.Event{At: now, Kind: history.ListChanged, Version: d.version, Endpoint: endpoint, State: state})
		if !d.isDown {
			for relay, at := range d.last {
				if d.watches[relay] == 0 && time.Since(at) < watchGap { // it counts as told in between
					d.Record(history.Event{At: now, Kind: history.ListSent, Relay: relay, Version: d.version, Detail: "between watches"})
				}
			}
		}
		close(d.changed)
		d.changed = make(chan struct{})
		d.mu.Unlock()
		if then != nil {
			then()
		}
	})
}

// Down has calls for the list fail until Down(false).
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down && !d.isDown {
		close(d.down)
	}
	if !down && d.isDown {
		d.down = make(chan struct{})
	}
	if down != d.isDown {
		kind := history.DiscoveryUp
		if down {
			kind = history.DiscoveryDown
		}
		d.Record(history.Event{At: d.Clock.Now(), Kind: kind})
	}
	d.isDown = down
}

// Late has discovery hear of changes so much later.
func (d *Discovery) Late(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late = by
}

func (d *Discovery) handle(relay string, a *asked) bool {
	switch {
	case a.Method == "POST" && a.URL.Path == "/status":
		return d.notices(relay, a)
	case a.Method == "GET" && a.URL.Path == "/discovery/hosts":
		return d.tell(relay, a)
	}
	return respond(a.conn, http.StatusNotFound, "", nil, nil) == nil
}
