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

// endpointList is the endpoint list that is in effect in the relay.
type endpointList struct {
	hosts          map[string]*host
	destWaits      map[int]*hostWait // by destination, for all destinations that were ever listed
	appliedVersion int64             // version of the list that the loop has applied
	// listVersion is the same version, for other goroutines.
	listVersion   atomic.Int64
	zoneNames     []string                       // indexed by choice.Host.Zone
	hostTransport atomic.Pointer[http.Transport] // for other goroutines, too
}

// host is what the relay needs to call an endpoint.
type host struct {
	entry      discovery.Server // the entry as last listed
	id, addr   string
	dest, zone int
	maxPerCall int
	state      choice.State
	closed     atomic.Bool // the endpoint drains, was removed or is manually disabled: no new call may be sent to it
	wait       *hostWait   // shared by all hosts of the destination; the host's own if the routes of its kind are separate units
}

// hostWait is the time until which nothing may be sent to a destination, by the relay's clock. The Chooser learns of a
// wait only when the call that received it ends; calls that are still waiting for a connection check it here.
type hostWait struct{ until atomic.Int64 }

// extend sets the end of the wait, unless it already ends later.
func (w *hostWait) extend(until time.Duration) {
	for {
		old := w.until.Load()
		if int64(until) <= old || w.until.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// remaining returns the time that is left of the wait.
func (w *hostWait) remaining(now time.Duration) time.Duration {
	return max(0, time.Duration(w.until.Load())-now)
}

// applyList applies a new list, or changes of it. It takes effect at once for calls that are not written yet, and is
// passed to the Chooser with the next step.
func (r *Relay) applyList(list discovery.List) {
	listing, settings := choice.ListUpdate{Complete: list.Full}, r.settings.Load()
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
			previous.closed.Store(listedHost.State != choice.Ready || r.isManuallyDisabled(server.ID))
		}
		if listedHost.State == choice.Removed {
			delete(r.hosts, server.ID)
			continue
		}
		current := &host{id: server.ID, addr: server.Addr, dest: server.Cell, zone: listedHost.Zone, maxPerCall: 1}
		if previous := oldHosts[server.ID]; previous != nil && previous.addr == current.addr && previous.dest == current.dest {
			current = previous // calls in flight refer to it
		} else if previous != nil {
			previous.closed.Store(true)
		}
		if listedHost.Kind >= 0 {
			current.maxPerCall = settings.Kinds[listedHost.Kind].PerCall
		}
		current.closed.Store(listedHost.State != choice.Ready || r.isManuallyDisabled(server.ID))
		current.entry, current.state = server, listedHost.State
		r.hosts[server.ID] = current
		if r.destWaits[server.Cell] == nil {
			r.destWaits[server.Cell] = &hostWait{}
		}
		if current.wait == nil {
			current.wait = r.destWaits[server.Cell]
			if listedHost.Kind >= 0 && settings.Kinds[listedHost.Kind].SeparateRoutes {
				current.wait = &hostWait{}
			}
		}
	}
	if list.Full { // only now: an endpoint that stays must never look closed to a call that is about to be sent
		for id, h := range oldHosts {
			if r.hosts[id] != h {
				h.closed.Store(true)
			}
		}
	}
	r.events = append(r.events, listing)
	slog.Debug("endpoint list applied", "version", list.Version, "whole", list.Full, "entries", len(list.Servers))
}

// zoneNumber returns the number of a zone. A zone that the settings do not name is given the next free number. A change
// of settings leaves the numbers unchanged.
func (r *Relay) zoneNumber(name string) int {
	i := slices.Index(r.zoneNames, name)
	if i < 0 {
		i = len(r.zoneNames)
		r.zoneNames = append(r.zoneNames, name)
	}
	return i
}
