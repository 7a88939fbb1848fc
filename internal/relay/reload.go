package relay

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/settings"
)

// retiredClassGrace is how long messages of a class that was removed from the settings are still accepted: clients
// learn of a change later than the relay does. Tests change it.
var retiredClassGrace = 2 * time.Second

// activeSettings are the settings in effect. They are replaced, never modified.
type activeSettings struct {
	settings.Settings
	retiredUntil []time.Duration // end of acceptance by class, for classes that were removed; 0 for current ones
	// previousClasses are the classes before these. If a class changed under its name, a client may know either
	// version until previousUntil.
	previousClasses []choice.Class
	previousUntil   time.Duration
}

// termsFor returns the terms for a message of a class. While clients may know the previous or the current version of
// a class, the stricter of both applies; but a message without a key can only belong to the version that requires
// none.
func (s *activeSettings) termsFor(class int, keyed bool, now time.Duration) *choice.Terms {
	current := s.Classes[class]
	i := slices.IndexFunc(s.previousClasses, func(c choice.Class) bool { return c.Name == current.Name })
	if i >= 0 && now < s.previousUntil && s.previousClasses[i] != current {
		switch previous := s.previousClasses[i]; {
		case !keyed && current.Effect == choice.Keyed:
			current = previous
		case keyed || previous.Effect != choice.Keyed:
			current = choice.Stricter(previous, current)
		}
	}
	return &choice.Terms{Class: current, Attempts: s.MaxAttempts}
}

// classIndex returns the index of the class for a new message, or -1 if there is none.
func (s *activeSettings) classIndex(name string, now time.Duration) int {
	i := slices.IndexFunc(s.Classes, func(class choice.Class) bool { return class.Name == name })
	if i >= 0 && s.retiredUntil[i] > 0 && now >= s.retiredUntil[i] {
		return -1
	}
	return i
}

// replacedBy returns the settings that replace these. Removed classes that are still accepted come last.
func (s *activeSettings) replacedBy(next settings.Settings, now time.Duration) *activeSettings {
	updated := &activeSettings{Settings: next, retiredUntil: make([]time.Duration, len(next.Classes)), previousClasses: s.Classes, previousUntil: now + retiredClassGrace}
	updated.Classes = slices.Clone(next.Classes)
	for i, class := range s.Classes {
		until := s.retiredUntil[i]
		if until == 0 {
			until = now + retiredClassGrace
		}
		if now < until && !slices.ContainsFunc(updated.Classes, func(kept choice.Class) bool { return kept.Name == class.Name }) {
			updated.Classes, updated.retiredUntil = append(updated.Classes, class), append(updated.retiredUntil, until)
		}
	}
	return updated
}

// Reload applies the configuration file anew: its settings and the address of discovery. On an error nothing changes,
// but notices that the address in use does not take are tried at the one that the rejected file names: the platform
// may have moved with that file all the same.
func (r *Relay) Reload(env func(string) string) (err error) {
	defer func() { r.metrics.countReload(err) }()
	next, namedAddr, err := readReloadedConfig(env, &r.config)
	if err != nil {
		r.notices.addresses.setAlternate(namedAddr)
		return err
	}
	done := make(chan error, 1)
	r.post(func() { done <- r.applyConfig(next) })
	select {
	case err = <-done:
	case <-r.quit:
		err = fmt.Errorf("the relay is stopping")
	}
	return err
}

// applyConfig applies a reloaded file. It runs in the loop.
func (r *Relay) applyConfig(next reloadedConfig) error {
	if r.nextProcess != nil {
		return errHandedOver
	}
	r.notices.addresses.setAlternate("")
	if oldAddr, _ := r.platformAddr.Get(); next.discovery != oldAddr {
		r.platformAddr.Set(next.discovery)
		r.platformClient.CloseIdleConnections()
		r.notices.transport.CloseIdleConnections()
		slog.Info("discovery address changed", "to", next.discovery)
	}
	if r.fleetConfig != nil { // the file applies only where no agreed settings can be used
		r.fleetConfig.SetFile(next.settings)
		r.refreshAgreed()
		return nil
	}
	r.applySettings(next.settings.Settings)
	return nil
}

// applySettings puts settings into effect, in the loop. Open messages keep the terms that they were accepted under.
func (r *Relay) applySettings(next settings.Settings) {
	previous := r.settings.Load()
	active := previous.replacedBy(next, r.now())
	r.settings.Store(active)
	if next.DialTimeout != previous.DialTimeout || next.ConnIdleTimeout != previous.ConnIdleTimeout || next.Workers != previous.Workers {
		_, idleHostConns := r.config.connectionLimits(next.Workers)
		oldTransport := r.hostTransport.Swap(newHostTransport(&next, idleHostConns, r.newDialFunc(next.DialTimeout)))
		oldTransport.CloseIdleConnections() // connections in use close after the old idle time
	}
	for _, class := range active.Classes {
		r.metrics.declareClass(class.Name)
	}
	r.events = append(r.events, choice.Reconfigured{Settings: active.Settings.Settings})
	list := discovery.List{Version: r.appliedVersion, Full: true} // the numbers of kinds may have changed
	for _, h := range r.hosts {
		list.Servers = append(list.Servers, h.entry)
	}
	r.applyList(list)
}
