package relay

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/discovery"
	"larchrouter/internal/fleet"
	"larchrouter/internal/settings"
)

// retiredFor is how long a class that the settings dropped is still taken: clients hear of a change
// later than the relay does. Tests set it.
var retiredClassGrace = 2 * time.Second

// standing are the settings in force. They are replaced, never changed.
type activeSettings struct {
	settings.Settings
	retiredUntil []time.Duration // when a class that was dropped is no longer taken, by class; 0 for one in force
	// was are the classes before these, and wasUntil when nobody goes by them any more: of one that has changed under its
	// name, a client may know either until then.
	previousClasses []choice.Class
	previousUntil   time.Duration
}

// terms are what a message of a class comes under. While clients may know the class as it was or as it is, what both allow
// holds; but one without a key can only be of one that wants none.
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

// class finds the class of a new message, or returns -1.
func (s *activeSettings) classIndex(name string, now time.Duration) int {
	i := slices.IndexFunc(s.Classes, func(class choice.Class) bool { return class.Name == name })
	if i >= 0 && s.retiredUntil[i] > 0 && now >= s.retiredUntil[i] {
		return -1
	}
	return i
}

// succeed returns the settings that follow on these: the classes that they drop come last.
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

// Reload takes up a configuration that was put in the old one's place: settings and discovery's
// address. On an error all stays as it was.
func (r *Relay) Reload(env func(string) string) (err error) {
	defer func() { r.metrics.countReload(err) }()
	data, discoveryAddr, file, err := readReloadedConfig(env, r.conf.fileData)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	r.post(func() { done <- r.applyConfig(file, discoveryAddr) })
	select {
	case err = <-done:
	case <-r.quit:
		err = fmt.Errorf("the relay stops")
	}
	if err == nil {
		r.conf.fileData = data
	}
	return err
}

// retune takes another file up, in the loop.
func (r *Relay) applyConfig(file fleet.File, discoveryAddr string) error {
	if r.heir != nil {
		return errHandedOver
	}
	if oldAddr, _ := r.platformAt.Get(); discoveryAddr != oldAddr {
		r.platformAt.Set(discoveryAddr)
		r.platform.CloseIdleConnections()
		r.notices.conns.CloseIdleConnections()
		slog.Info("discovery has moved", "to", discoveryAddr)
	}
	if r.kept != nil { // the file is what is left where nothing agreed on can be acted by
		r.kept.SetFile(file)
		r.look()
		return nil
	}
	r.applySettings(file.Set)
	return nil
}

// actBy puts settings in force, in the loop. What is open keeps those that it came under.
func (r *Relay) applySettings(next settings.Settings) {
	previous := r.set.Load()
	active := previous.replacedBy(next, r.now())
	r.set.Store(active)
	if next.DialTimeout != previous.DialTimeout || next.IdleConn != previous.IdleConn || next.Workers != previous.Workers {
		_, idleHostConns := r.conf.connectionLimits(next.Workers)
		oldTransport := r.hostSide.Swap(newTransport(&next, idleHostConns, r.newDialFunc(next.DialTimeout)))
		oldTransport.CloseIdleConnections() // those in use end when they have been idle for the old time
	}
	for _, class := range active.Classes {
		r.metrics.declareClass(class.Name)
	}
	r.events = append(r.events, choice.Reconfigured{Settings: active.Settings.Settings})
	list := discovery.List{Version: r.version, Full: true} // kinds may have got other numbers
	for _, h := range r.hosts {
		list.Servers = append(list.Servers, h.entry)
	}
	r.listed(list)
}
