package lab

import (
	"context"
	"time"

	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/scenario"
)

// runDiscoveryFault applies a fault to discovery or to the receiver of notices for as long as the fault lasts.
func (run *labRun) runDiscoveryFault(ctx context.Context, f scenario.Fault) {
	by := time.Duration(f.By)
	switch f.Kind {
	case "outage":
		run.discovery.Down(true)
		defer run.discovery.Down(false)
	case "late-list":
		run.discovery.Late(by)
		defer run.discovery.Late(0)
	case "slow-notices":
		run.discovery.SlowNotices(by)
		defer run.discovery.SlowNotices(0)
	default:
		run.discovery.Disturb(func(t *platform.ListTrouble) { setListFault(t, f.Kind, by, f.Part) })
		defer run.discovery.Disturb(func(t *platform.ListTrouble) { setListFault(t, f.Kind, 0, 0) })
	}
	run.sleep(ctx, f.For)
}

// setListFault sets the field of t that a kind of list fault stands for.
func setListFault(t *platform.ListTrouble, kind string, delay time.Duration, share float64) {
	switch kind {
	case "slow-lists":
		t.Slow = delay
	case "busy-lists":
		t.Busy = share
	case "cut-lists":
		t.Cut = share
	case "stalled-lists":
		t.Stall = share
	case "mute-lists":
		t.Mute = share
	}
}
