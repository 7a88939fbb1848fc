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

	"larchrouter/internal/fleet"
	"larchrouter/internal/fleet/hold"
	"larchrouter/internal/keeper/api"
	"larchrouter/internal/remedy"
)

// agreement is what the fleet has agreed on.
type agreement struct {
	kept *fleet.Kept // nil for a relay that shares nothing
	// agreed is by what calls go out, for other goroutines; nil for a relay that shares nothing.
	agreed atomic.Pointer[acting]
}

// acting is by what the relay acts, for goroutines other than the loop. It is replaced with each turn; only the end of
// its lease moves.
type acting struct {
	text string       // the turn, the generation, the one that is joined to it or 0, and the mode
	end  atomic.Int64 // of the lease, by the relay's clock
}

// over tells whether what was decided by it may no longer go out: the lease has run out since.
func (a *acting) over(now time.Duration) bool { return a != nil && now >= time.Duration(a.end.Load()) }

// newInstance names this process among all that have had the relay's name.
func newInstance() string { return rand.Text()[:16] }

// version is that of the program, as it was built.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}

// session is the one with the keepers, which hands what it hears to the loop.
func (r *Relay) session() *fleet.Session {
	conns := &http.Transport{DisableCompression: true, IdleConnTimeout: idleIn, DialContext: dialer(r.conf.Source, 0).DialContext,
		MaxIdleConnsPerHost: 2, MaxConnsPerHost: 2}
	return &fleet.Session{Client: &api.Client{HTTP: &http.Client{Transport: conns}, Keepers: r.conf.Fleet.Keepers}, Name: r.conf.Name,
		Zone: r.conf.Fleet.Zone, Version: version(), Seed: r.conf.Seed, Instance: r.kept.Instance, Before: r.kept.Before,
		Fleet: func() int { return r.set.Load().Fleet }, Now: r.now, Hear: r.hear}
}

// hear has the loop take in an answer of the keepers, and act by it.
func (r *Relay) hear(h fleet.Heard) (have []uint64, w fleet.Word, ok bool) {
	if r.copies != nil {
		r.copies.owner.Hear(h.Standing.OwnedGroups)
	}
	done := make(chan struct{})
	r.post(func() {
		defer close(done)
		if r.heir != nil { // the next process speaks for the relay
			return
		}
		var err error
		if w, err = r.kept.Hear(r.now(), h.Asked, h.Standing); err != nil {
			slog.Warn("an answer of the keepers is not taken", "err", err, "remedy", remedy.Of(err))
		}
		r.look()
		have, ok = r.kept.Have(), err == nil
	})
	select {
	case <-done:
	case <-r.quit:
		return nil, fleet.Word{}, false
	}
	return have, w, ok
}

// look has the relay act by what it may act by now.
func (r *Relay) look() {
	now := r.now()
	set, changed := r.kept.Look(now)
	if changed {
		a, acts := &acting{}, r.kept.Acting()
		a.text = fmt.Sprintf("%d %d %d %s", acts.Turn, acts.Force, acts.Next, acts.Mode)
		r.figures.agree(acts)
		r.agreed.Store(a)
		r.actBy(set)
	}
	a := r.agreed.Load()
	if a == nil { // it has never held anything
		return
	}
	left := r.kept.Left(now)
	end := int64(math.MaxInt64) // the fallback has no end
	if mode := r.kept.Acting().Mode; mode == hold.Alone || mode == hold.Joined {
		end = int64(now + left)
	}
	if a.end.Swap(end) != end && left > 0 {
		time.AfterFunc(left, func() { r.post(func() {}) }) // the loop looks again
	}
}
