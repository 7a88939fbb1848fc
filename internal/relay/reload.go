package relay

import (
	"fmt"
	"log/slog"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/settings"
)

// Reload applies the configuration file anew: its settings and the address of discovery. On an error nothing changes,
// but notices that the address in use does not take are tried at the one that the rejected file names: the platform
// may have moved with that file all the same.
func (r *Relay) Reload(env func(string) string) (err error) {
	defer func() { r.metrics.countReload(err) }()
	next, namedAddr, err := readReloadedConfig(env, &r.config)
	if err != nil {
		if namedAddr != "" { // a file that names none says nothing about an earlier one's
			r.notices.addresses.setAlternate(namedAddr)
		}
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
	r.recordClassTerms()
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
