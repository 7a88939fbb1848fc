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
type endpointList struct {
	hosts          map[string]*host
	destWaits      map[int]*hostWait // ever listed
	appliedVersion int64             // of the list
	// listVersion is the same for other goroutines.
	listVersion   atomic.Int64
	zoneNames     []string                       // in the order of Host.Zone
	hostTransport atomic.Pointer[http.Transport] // for other goroutines, too
}

// host is what the relay needs to call an endpoint.
type host struct {
	entry      discovery.Server // as last listed
	id, addr   string
	dest, zone int
	maxPerCall int
	state      choice.State
	closed     atomic.Bool // drains, is gone or out by hand: nothing new may go there
	wait       *hostWait   // of its destination; its own where routes are apart
}

// waiting is until when nothing may go to a destination, by the relay's clock. The decisions hear of a wait
// with the end of the call that told it; calls that still wait for their connection by then look here.
type hostWait struct{ until atomic.Int64 }

// heed takes in a wait that ends at a time.
func (w *hostWait) extend(until time.Duration) {
	for {
		old := w.until.Load()
		if int64(until) <= old || w.until.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// left is how much of the wait there is.
func (w *hostWait) remaining(now time.Duration) time.Duration {
	return max(0, time.Duration(w.until.Load())-now)
}

// listed takes in news of the list: at once for the calls that have not gone yet, and for the decisions.
func (r *Relay) applyList(list discovery.List) {
	listing, settings := choice.Listing{Whole: list.Full}, r.settings.Load()
	r.appliedVersion = list.Version
	r.listVersion.Store(list.Version)
	oldHosts := r.hosts
	if list.Full {
		r.hosts = map[string]*host{}
	}
	for _, server := range list.Servers {
		listedHost := choice.Host{Addr: server.ID, Dest: server.Cell, Kind: slices.Index(settings.KindNames, server.Kind),
			Zone: r.zoneNumber(server.Zone), Rate: server.Weight}
		switch server.State {
		case "active":
			listedHost.State = choice.Ready
		case "leaving":
			listedHost.State = choice.Draining
		}
		listing.Hosts = append(listing.Hosts, listedHost)
		if previous := oldHosts[server.ID]; previous != nil {
			previous.closed.Store(listedHost.State != choice.Ready || r.isOut(server.ID))
		}
		if listedHost.State == choice.Gone {
			delete(r.hosts, server.ID)
			continue
		}
		current := &host{id: server.ID, addr: server.Addr, dest: server.Cell, zone: listedHost.Zone, maxPerCall: 1}
		if previous := oldHosts[server.ID]; previous != nil && previous.addr == current.addr && previous.dest == current.dest {
			current = previous // calls that are out hold on to it
		} else if previous != nil {
			previous.closed.Store(true)
		}
		if listedHost.Kind >= 0 {
			current.maxPerCall = settings.Kinds[listedHost.Kind].PerCall
		}
		current.closed.Store(listedHost.State != choice.Ready || r.isOut(server.ID))
		current.entry, current.state = server, listedHost.State
		r.hosts[server.ID] = current
		if r.destWaits[server.Cell] == nil {
			r.destWaits[server.Cell] = &hostWait{}
		}
		if current.wait == nil {
			current.wait = r.destWaits[server.Cell]
			if listedHost.Kind >= 0 && settings.Kinds[listedHost.Kind].Apart {
				current.wait = &hostWait{}
			}
		}
	}
	if list.Full { // only now: one that stays must not look closed for a moment to a call about to go
		for id, h := range oldHosts {
			if r.hosts[id] != h {
				h.closed.Store(true)
			}
		}
	}
	r.events = append(r.events, listing)
	slog.Debug("the list is applied", "version", list.Version, "whole", list.Full, "entries", len(list.Servers))
}

// zone is the number of a zone; one that the settings do not name gets the next.
// A change of settings leaves the numbers as they are.
func (r *Relay) zoneNumber(name string) int {
	i := slices.Index(r.zoneNames, name)
	if i < 0 {
		i = len(r.zoneNames)
		r.zoneNames = append(r.zoneNames, name)
	}
	return i
}
