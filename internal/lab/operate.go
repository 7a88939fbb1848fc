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

// changeSettings writes a changed configuration and sends SIGHUP to the relay. Broken says how the file is damaged on purpose:
// cut in half, empty, or missing the rules; empty for not at all.
func (r *relay) changeSettings(change func(settings map[string]any), broken string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return nil
	}
	change(r.config.Settings)
	data, err := r.encodeConfig()
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
	if err := r.writeConfig(data); err != nil {
		return err
	}
	return r.process.Signal(syscall.SIGHUP, false)
}

// setEndpointDisabled calls the relay's admin address, as an operator does, to disable or enable an endpoint.
func (r *relay) setEndpointDisabled(ctx context.Context, endpoint string, disabled bool) error {
	r.mu.Lock()
	admin, running := r.adminAddr, r.process != nil
	r.mu.Unlock()
	if !running {
		return nil
	}
	detail := "enable"
	if disabled {
		detail = "disable"
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !disabled { // the relay may send to it from now on, even before it answers
		r.run.record(history.Event{Kind: history.OperatorCall, Relay: r.name, Endpoint: endpoint, Detail: detail})
	}
	status, err := platform.SetDisabled(ctx, admin, endpoint, disabled)
	if disabled {
		r.run.record(history.Event{Kind: history.OperatorCall, Relay: r.name, Endpoint: endpoint, Detail: detail, Status: status})
	}
	if err != nil || status/100 != 2 {
		return fmt.Errorf("%s: %s %s: status %d, %v", r.name, detail, endpoint, status, err)
	}
	return nil
}
