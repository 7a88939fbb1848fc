package relay

import (
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"crypto/rand"

	"larchrouter/internal/clientconn"
	"larchrouter/internal/fleet"
	"larchrouter/internal/fleet/lease"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/remedy"
)

// agreement is the configuration on which the relays of the fleet have agreed.
type agreement struct {
	fleetConfig *fleet.Member // nil for a relay outside a fleet
	// currentAgreed is the configuration under which calls are sent, for other goroutines; nil for a relay outside a
	// fleet.
	currentAgreed atomic.Pointer[agreedConfig]
}

// agreedConfig identifies the configuration by which the relay acts, for goroutines other than the loop. It is replaced
// with each revision; only the end of its lease changes.
type agreedConfig struct {
	header    string       // value of X-Agreed: the revision, the generation, the generation that is joined to it or 0, and the mode
	expiresAt atomic.Int64 // end of the lease, in nanoseconds by the relay's clock
}

// expired reports whether calls that were decided under the configuration may no longer be sent, because its lease has
// expired. A nil configuration never expires.
func (a *agreedConfig) expired(now time.Duration) bool {
	return a != nil && now >= time.Duration(a.expiresAt.Load())
}

// newInstanceID returns a random identifier that distinguishes this process from all others that run under the relay's
// name.
func newInstanceID() string { return rand.Text()[:16] }

// buildVersion returns the version of the program from its build information.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(12, len(setting.Value))]
		}
	}
	return info.Main.Version
}

// newKeeperSession returns the session with the keepers. It passes their answers to the loop.
func (r *Relay) newKeeperSession() *fleet.Session {
	transport := clientconn.NewTransport(&http.Transport{DisableCompression: true, IdleConnTimeout: idleConnTimeout, DialContext: newDialer(r.config.SourceIP, 0).DialContext,
		MaxIdleConnsPerHost: 2, MaxConnsPerHost: 2})
	return &fleet.Session{Client: &api.Client{HTTP: &http.Client{Transport: transport}, Keepers: r.config.Fleet.Keepers}, Name: r.config.Name,
		Zone: r.config.Fleet.Zone, Version: buildVersion(), Seed: r.config.Seed, Instance: r.fleetConfig.Instance, PreviousInstance: r.fleetConfig.PreviousInstance,
		FleetSize: func() int { return r.settings.Load().Fleet }, Now: r.now, HandleAnswer: r.handleKeeperAnswer}
}

// handleKeeperAnswer applies an answer of the keepers in the loop, and returns what to reply.
func (r *Relay) handleKeeperAnswer(answer fleet.Answer) (have []uint64, reply fleet.Reply, ok bool) {
	if r.replication != nil {
		r.replication.owner.UpdateOwned(answer.Response.OwnedGroups)
	}
	done := make(chan struct{})
	r.post(func() {
		defer close(done)
		if r.nextProcess != nil { // the next process answers the keepers for this relay
			return
		}
		var err error
		if reply, err = r.fleetConfig.Receive(r.now(), answer.RequestedAt, answer.Response); err != nil {
			slog.Warn("answer of the keepers rejected", "err", err, "remedy", remedy.Of(err))
		}
		r.refreshAgreed()
		have, ok = r.fleetConfig.KnownGenerations(), err == nil
	})
	select {
	case <-done:
	case <-r.quit:
		return nil, fleet.Reply{}, false
	}
	return have, reply, ok
}

// refreshAgreed applies the configuration by which the relay may act at this time.
func (r *Relay) refreshAgreed() {
	now := r.now()
	settings, changed := r.fleetConfig.Refresh(now)
	if changed {
		agreed, active := &agreedConfig{}, r.fleetConfig.Status()
		agreed.header = fmt.Sprintf("%d %d %d %s", active.Revision, active.Current, active.Next, active.Mode)
		r.metrics.setFleetState(active)
		r.currentAgreed.Store(agreed)
		r.applySettings(settings)
	}
	agreed := r.currentAgreed.Load()
	if agreed == nil { // the relay has not had any agreed configuration yet
		return
	}
	remaining := r.fleetConfig.LeaseRemaining(now)
	expiresAt := int64(math.MaxInt64) // the fallback mode has no end
	if mode := r.fleetConfig.Status().Mode; mode == lease.Single || mode == lease.Joined {
		expiresAt = int64(now + remaining)
	}
	if agreed.expiresAt.Swap(expiresAt) != expiresAt && remaining > 0 {
		time.AfterFunc(remaining, func() { r.post(func() {}) }) // runs the loop, which checks again
	}
}
