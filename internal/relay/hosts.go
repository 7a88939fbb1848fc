package relay

import (
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
)

// endpoints is the list as the relay goes by it.
type endpoints struct {
	hosts   map[string]*host
	dests   map[int]*waiting // ever listed
	version int64            // of the list
	// listVersion is the same for other goroutines.
	listVersion atomic.Int64
	zones       []string                       // in the order of Host.Zone
	hostSide    atomic.Pointer[http.Transport] // for other goroutines, too
}

// host is what the relay needs to call an endpoint.
type host struct {
	entry      discovery.Server // as last listed
	id, addr   string
	dest, zone int
	perCall    int
	listed     choice.State
	closed     atomic.Bool // drains, is gone or out by hand: nothing new may go there
	waiting    *waiting    // of its destination; its own where routes are apart
}

// waiting is until when nothing may go to a destination, by the relay's clock. The decisions hear of a wait
// with the end of the call that told it; calls that still wait for their connection by then look here.
type waiting struct{ until atomic.Int64 }

// heed takes in a wait that ends at a time.
func (w *waiting) heed(until time.Duration) {
	for {
		old := w.until.Load()
		if int64(until) <= old || w.until.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// left is how much of the wait there is.
func (w *waiting) left(now time.Duration) time.Duration {
	return max(0, time.Duration(w.until.Load())-now)
}

// listed takes in news of the list: at once for the calls that have not gone yet, and for the decisions.
func (r *Relay) listed(l discovery.List) {
	ev, set := choice.Listing{Whole: l.Full}, r.set.Load()
	r.version = l.Version
	r.listVersion.Store(l.Version)
	old := r.hosts
	if l.Full {
		r.hosts = map[string]*host{}
	}
	for _, s := range l.Servers {
		h := choice.Host{Addr: s.ID, Dest: s.Cell, Kind: slices.Index(set.KindNames, s.Kind),
			Zone: r.zone(s.Zone), Rate: s.Weight}
		switch s.State {
		case "active":
			h.State = choice.Ready
		case "leaving":
			h.State = choice.Draining
		}
		ev.Hosts = append(ev.Hosts, h)
		if was := old[s.ID]; was != nil {
			was.closed.Store(h.State != choice.Ready || r.isManuallyDisabled(s.ID))
		}
		if h.State == choice.Gone {
			delete(r.hosts, s.ID)
			continue
		}
		n := &host{id: s.ID, addr: s.Addr, dest: s.Cell, zone: h.Zone, perCall: 1}
		if was := old[s.ID]; was != nil && was.addr == n.addr && was.dest == n.dest {
			n = was // calls that are out hold on to it
		} else if was != nil {
			was.closed.Store(true)
		}
		if h.Kind >= 0 {
			n.perCall = set.Kinds[h.Kind].PerCall
		}
		n.closed.Store(h.State != choice.Ready || r.isManuallyDisabled(s.ID))
		n.entry, n.listed = s, h.State
		r.hosts[s.ID] = n
		if r.dests[s.Cell] == nil {
			r.dests[s.Cell] = &waiting{}
		}
		if n.waiting == nil {
			n.waiting = r.dests[s.Cell]
			if h.Kind >= 0 && set.Kinds[h.Kind].Apart {
				n.waiting = &waiting{}
			}
		}
	}
	if l.Full { // only now: one that stays must not look closed for a moment to a call about to go
		for id, h := range old {
			if r.hosts[id] != h {
				h.closed.Store(true)
			}
		}
	}
	r.events = append(r.events, ev)
	slog.Debug("the list is applied", "version", l.Version, "whole", l.Full, "entries", len(l.Servers))
}

// zone is the number of a zone; one that the settings do not name gets the next.
// A change of settings leaves the numbers as they are.
func (r *Relay) zone(name string) int {
	i := slices.Index(r.zones, name)
	if i < 0 {
		i = len(r.zones)
		r.zones = append(r.zones, name)
	}
	return i
}
