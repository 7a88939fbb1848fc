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

type endpointList struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery tells relays of endpoints, late, and takes their notices.
type Discovery struct {
	Env
	OnNotice func(id, status string, after time.Duration) // a message has ended with a notice

	mu              sync.Mutex
	version         int64
	entries         []Entry                      // in the order in which they were added; those that left stay, as such
	addrs           map[string]map[string]string // by relay and endpoint
	changed         chan struct{}
	downSignal      chan struct{} // closed while it is down
	isDown          bool
	changeDelay     time.Duration
	noticeDelay     time.Duration // before a notice is answered
	faults          ListFaults    // of calls for the list
	rand            *rand.Rand
	slot            chan struct{} // a place at the counter: calls are handled in turn
	waitingCalls    int           // calls that wait for their turn
	watches         map[string]int
	lastWatchAnswer map[string]time.Time    // when a watch of a relay was answered last
	lastLists       map[string]endpointList // the list as each relay had it last
	// unsettled are answers of which it is not known yet whether they crossed the end of their call.
	pendingOutcomes sync.WaitGroup
}

// watchGap is the time in which a relay has to call again for its watch to go on.
const maxWatchGap = 200 * time.Millisecond

// NewDiscovery lists all endpoints of the partners.
func NewDiscovery(env Env, p *Partners) *Discovery {
	d := &Discovery{Env: env, version: 1, changed: make(chan struct{}), downSignal: make(chan struct{}), slot: make(chan struct{}, 1),
		addrs: map[string]map[string]string{}, watches: map[string]int{}, lastWatchAnswer: map[string]time.Time{}, lastLists: map[string]endpointList{},
		rand: rand.New(rand.NewPCG(env.Scenario.Seed, 0xd15c))}
	for _, party := range env.Scenario.Parties() {
		if e := p.endpoints[party.Name]; e != nil {
			d.entries = append(d.entries, Entry{ID: e.id, Zone: party.Zone, Kind: env.Draw.Kinds[e.dest.Kind].Name, Cell: e.dest.Number,
				State: "active", Weight: e.dest.Listed, version: 1})
		}
	}
	return d
}

// Reach says at which address a relay reaches an endpoint.
func (d *Discovery) SetAddr(relay, endpoint, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addrs[relay] == nil {
		d.addrs[relay] = map[string]string{}
	}
	d.addrs[relay][ListedID(endpoint)] = addr
}

// Serve lets a relay reach discovery at an address of its own.
func (d *Discovery) Serve(relay, addr string) (string, error) {
	return d.Net.Serve(relay, "discovery", addr, func(c *link.Conn) {
		serveRequests(c, 1<<20, func(a *request) bool { return d.handle(relay, a) })
	})
}

// list has what changed after a version, or the whole list for 0. The lock is held.
func (d *Discovery) listSince(relay string, since int64) endpointList {
	l := endpointList{Version: d.version, Full: since == 0 || since > d.version, Servers: []Entry{}}
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
func (d *Discovery) SetState(endpoint, state string, afterwards func()) {
	d.applyLater(endpoint, func(e *Entry) { e.State = state }, afterwards)
}

// Weigh lists another rate for an endpoint, as late as any change.
func (d *Discovery) SetWeight(endpoint string, rate float64) {
	d.applyLater(endpoint, func(e *Entry) { e.Weight = rate }, nil)
}

func (d *Discovery) applyLater(endpoint string, edit func(*Entry), afterwards func()) {
	d.mu.Lock()
	wait := time.Duration(d.Draw.ListDelay*float64(time.Second)) + d.changeDelay
	d.mu.Unlock()
	time.AfterFunc(wait, func() {
		d.mu.Lock()
		d.version++
		state := ""
		for i := range d.entries {
			if e := &d.entries[i]; e.ID == ListedID(endpoint) {
				edit(e)
				e.version, state = d.version, e.State
			}
		}
		now := d.Clock.Now()
		d.Record(history.Event{T: now, Kind: history.Change, Version: d.version, Endpoint: endpoint, State: state})
		if !d.isDown {
			for relay, at := range d.lastWatchAnswer {
				if d.watches[relay] == 0 && time.Since(at) < maxWatchGap { // it counts as told in between
					d.Record(history.Event{T: now, Kind: history.Told, Relay: relay, Version: d.version, How: "between watches"})
				}
			}
		}
		close(d.changed)
		d.changed = make(chan struct{})
		d.mu.Unlock()
		if afterwards != nil {
			afterwards()
		}
	})
}

// Down has calls for the list fail until Down(false).
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down && !d.isDown {
		close(d.downSignal)
	}
	if !down && d.isDown {
		d.downSignal = make(chan struct{})
	}
	if down != d.isDown {
		kind := history.ListUp
		if down {
			kind = history.ListDown
		}
		d.Record(history.Event{T: d.Clock.Now(), Kind: kind})
	}
	d.isDown = down
}

// Late has discovery hear of changes so much later.
func (d *Discovery) DelayChanges(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changeDelay = delay
}

func (d *Discovery) handle(relay string, a *request) bool {
	switch {
	case a.Method == "POST" && a.URL.Path == "/status":
		return d.serveNotices(relay, a)
	case a.Method == "GET" && a.URL.Path == "/discovery/hosts":
		return d.serveList(relay, a)
	}
	return respond(a.conn, http.StatusNotFound, "", nil, nil) == nil
}
