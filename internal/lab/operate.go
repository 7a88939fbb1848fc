package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/platform"
)

// What operators do at a relay.

// retune puts a changed configuration in place and sends SIGHUP. Broken says how the file is spoilt.
func (r *relay) retune(change func(settings map[string]any), broken string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil {
		return nil
	}
	change(r.config.Settings)
	data, err := r.encode()
	if err != nil {
		return err
	}
	switch broken {
	case "cut":
		data = data[:len(data)/2]
	case "empty":
		data = nil
	case "missing":
		c := r.config
		c.Settings = map[string]any{}
		for k, v := range r.config.Settings {
			if k != "rules" {
				c.Settings[k] = v
			}
		}
		if data, err = json.Marshal(c); err != nil {
			return err
		}
	}
	if err := r.write(data); err != nil {
		return err
	}
	return r.now.Signal(syscall.SIGHUP, false)
}

// byHand takes an endpoint out at the relay, or gives it back.
func (r *relay) byHand(ctx context.Context, endpoint string, out bool) error {
	r.mu.Lock()
	admin, up := r.admin, r.now != nil
	r.mu.Unlock()
	if !up {
		return nil
	}
	how := "enable"
	if out {
		how = "disable"
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !out { // it may be sent to from now on
		r.w.record(history.Event{Kind: history.ByHand, Relay: r.name, Endpoint: endpoint, How: how})
	}
	status, err := platform.SetDisabled(ctx, admin, endpoint, out)
	if out {
		r.w.record(history.Event{Kind: history.ByHand, Relay: r.name, Endpoint: endpoint, How: how, Status: status})
	}
	if err != nil || status/100 != 2 {
		return fmt.Errorf("%s: %s %s: status %d, %v", r.name, how, endpoint, status, err)
	}
	return nil
}
