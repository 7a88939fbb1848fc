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
var retiredFor = 2 * time.Second

// standing are the settings in force. They are replaced, never changed.
type standing struct {
	settings.Settings
	until []time.Duration // when a class that was dropped is no longer taken, by class; 0 for one in force
	// was are the classes before these, and wasUntil when nobody goes by them any more: of one that has changed under its
	// name, a client may know either until then.
	was      []choice.Class
	wasUntil time.Duration
}

// terms are what a message of a class comes under. While clients may know the class as it was or as it is, what both allow
// holds; but one without a key can only be of one that wants none.
func (s *standing) terms(class int, keyed bool, now time.Duration) *choice.Terms {
	k := s.Classes[class]
	i := slices.IndexFunc(s.was, func(c choice.Class) bool { return c.Name == k.Name })
	if i >= 0 && now < s.wasUntil && s.was[i] != k {
		switch was := s.was[i]; {
		case !keyed && k.Effect == choice.Keyed:
			k = was
		case keyed || was.Effect != choice.Keyed:
			k = choice.Stricter(was, k)
		}
	}
	return &choice.Terms{Class: k, Attempts: s.MaxAttempts}
}

// class finds the class of a new message, or returns -1.
func (s *standing) class(name string, now time.Duration) int {
	i := slices.IndexFunc(s.Classes, func(k choice.Class) bool { return k.Name == name })
	if i >= 0 && s.until[i] > 0 && now >= s.until[i] {
		return -1
	}
	return i
}

// succeed returns the settings that follow on these: the classes that they drop come last.
func (s *standing) succeed(next settings.Settings, now time.Duration) *standing {
	n := &standing{Settings: next, until: make([]time.Duration, len(next.Classes)), was: s.Classes, wasUntil: now + retiredFor}
	n.Classes = slices.Clone(next.Classes)
	for i, k := range s.Classes {
		until := s.until[i]
		if until == 0 {
			until = now + retiredFor
		}
		if now < until && !slices.ContainsFunc(n.Classes, func(c choice.Class) bool { return c.Name == k.Name }) {
			n.Classes, n.until = append(n.Classes, k), append(n.until, until)
		}
	}
	return n
}

// Reload takes up a configuration that was put in the old one's place: settings and discovery's
// address. On an error all stays as it was.
func (r *Relay) Reload(env func(string) string) (err error) {
	defer func() { r.figures.reloaded(err) }()
	data, platform, set, err := readNext(env, r.conf.whole)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	r.post(func() { done <- r.retune(set, platform) })
	select {
	case err = <-done:
	case <-r.quit:
		err = fmt.Errorf("the relay stops")
	}
	if err == nil {
		r.conf.whole = data
	}
	return err
}

// retune takes another file up, in the loop.
func (r *Relay) retune(file fleet.File, platform string) error {
	if r.heir != nil {
		return errHandedOver
	}
	if old, _ := r.platformAt.Get(); platform != old {
		r.platformAt.Set(platform)
		r.platform.CloseIdleConnections()
		r.notices.conns.CloseIdleConnections()
		slog.Info("discovery has moved", "to", platform)
	}
	if r.kept != nil { // the file is what is left where nothing agreed on can be acted by
		r.kept.SetFile(file)
		r.look()
		return nil
	}
	r.actBy(file.Settings)
	return nil
}

// actBy puts settings in force, in the loop. What is open keeps those that it came under.
func (r *Relay) actBy(set settings.Settings) {
	was := r.set.Load()
	next := was.succeed(set, r.now())
	r.set.Store(next)
	if set.DialTimeout != was.DialTimeout || set.ConnIdleTimeout != was.ConnIdleTimeout || set.Workers != was.Workers {
		_, kept := r.conf.parts(set.Workers)
		old := r.hostSide.Swap(newTransport(&set, kept, r.dial(set.DialTimeout)))
		old.CloseIdleConnections() // those in use end when they have been idle for the old time
	}
	for _, k := range next.Classes {
		r.figures.declare(k.Name)
	}
	r.events = append(r.events, choice.Reconfigured{Settings: next.Settings.Settings})
	l := discovery.List{Version: r.version, Full: true} // kinds may have got other numbers
	for _, h := range r.hosts {
		l.Servers = append(l.Servers, h.entry)
	}
	r.listed(l)
}
