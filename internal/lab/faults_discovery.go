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
		run.discovery.SetDown(true)
		defer run.discovery.SetDown(false)
	case "late-list":
		run.discovery.DelayChanges(by)
		defer run.discovery.DelayChanges(0)
	case "slow-notices":
		run.discovery.DelayNotices(by)
		defer run.discovery.DelayNotices(0)
	default:
		run.discovery.ChangeFaults(func(t *platform.ListFaults) { setListFault(t, f.Kind, by, f.Part) })
		defer run.discovery.ChangeFaults(func(t *platform.ListFaults) { setListFault(t, f.Kind, 0, 0) })
	}
	run.sleep(ctx, f.For)
}

// setListFault sets the field of t that a kind of list fault stands for.
func setListFault(t *platform.ListFaults, kind string, delay time.Duration, share float64) {
	switch kind {
	case "slow-lists":
		t.Delay = delay
	case "busy-lists":
		t.RefusedShare = share
	case "cut-lists":
		t.CutShare = share
	case "stalled-lists":
		t.StalledShare = share
	case "mute-lists":
		t.UnansweredShare = share
	}
}
