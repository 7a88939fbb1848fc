package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
)

// Entry is an endpoint in the list of endpoints.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	version int64   // list version of the last change
}

// endpointList is an answer of discovery: the whole list, or the changes since a version.
type endpointList struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery serves the list of endpoints to relays, with a delay, and receives their notices.
type Discovery struct {
	Env
	OnNotice func(id, status string, after time.Duration) // called for each notice; may be nil

	mu              sync.Mutex
	version         int64
	entries         []Entry                      // in order of addition; removed endpoints stay with the state "left"
	addrs           map[string]map[string]string // endpoint addresses, by relay and endpoint
	changed         chan struct{}
	downSignal      chan struct{} // closed during an outage
	isDown          bool
	changeDelay     time.Duration // delay of changes in addition to Draw.ListDelay
	noticeDelay     time.Duration // delay of the answer to a notice
	faults          ListFaults    // faults of calls for the list
	rand            *rand.Rand
	slot            chan struct{}           // semaphore of size 1: calls are handled one at a time
	waitingCalls    int                     // calls that wait for the slot or hold it
	watches         map[string]int          // number of open watches, by relay
	lastWatchAnswer map[string]time.Time    // when a relay's last watch was answered
	lastLists       map[string]endpointList // the list that each relay received last
	// pendingOutcomes counts answers of which it is not known yet whether the caller received them before it ended its call.
	pendingOutcomes sync.WaitGroup
}

// maxWatchGap is the time within which a relay must call again for its watch to count as uninterrupted.
const maxWatchGap = 200 * time.Millisecond

// NewDiscovery returns a discovery service that lists all endpoints of the partners as active, at version 1.
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

// SetAddr sets the address at which a relay reaches an endpoint.
func (d *Discovery) SetAddr(relay, endpoint, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addrs[relay] == nil {
		d.addrs[relay] = map[string]string{}
	}
	d.addrs[relay][ListedID(endpoint)] = addr
}

// Serve starts serving discovery to one relay at an address of its own, and returns that address.
func (d *Discovery) Serve(relay, addr string) (string, error) {
	return d.Net.Serve(relay, "discovery", addr, func(c *link.Conn) {
		serveRequests(c, 1<<20, func(a *request) bool { return d.handle(relay, a) })
	})
}

// listSince returns the changes after a version, or the whole list for version 0 or an unknown version. d.mu must be held.
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

// SetState changes the state of an endpoint in the list after the discovery delay, and then calls afterwards unless it is nil.
func (d *Discovery) SetState(endpoint, state string, afterwards func()) {
	d.applyLater(endpoint, func(e *Entry) { e.State = state }, afterwards)
}

// SetWeight changes the listed rate of an endpoint, in calls a second, after the discovery delay.
func (d *Discovery) SetWeight(endpoint string, rate float64) {
	d.applyLater(endpoint, func(e *Entry) { e.Weight = rate }, nil)
}

// applyLater edits the entry of an endpoint after the discovery delay, and then calls afterwards unless it is nil.
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
		d.Record(history.Event{At: now, Kind: history.ListChanged, Version: d.version, Endpoint: endpoint, State: state})
		if !d.isDown {
			for relay, at := range d.lastWatchAnswer {
				if d.watches[relay] == 0 && time.Since(at) < maxWatchGap { // a watch that is about to be renewed counts as notified
					d.Record(history.Event{At: now, Kind: history.ListSent, Relay: relay, Version: d.version, Detail: "between watches"})
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

// SetDown starts or ends an outage, during which calls for the list fail.
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
		kind := history.DiscoveryUp
		if down {
			kind = history.DiscoveryDown
		}
		d.Record(history.Event{At: d.Clock.Now(), Kind: kind})
	}
	d.isDown = down
}

// DelayChanges sets a delay of list changes in addition to Draw.ListDelay.
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
