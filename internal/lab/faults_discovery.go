package lab

import (
	"context"
	"time"

	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/scenario"
)

// onDiscovery has something be wrong with discovery or with the taker of notices, for as long as the fault lasts.
func (w *world) onDiscovery(ctx context.Context, f scenario.Fault) {
	by := time.Duration(f.By)
	switch f.Kind {
	case "outage":
		w.discovery.SetDown(true)
		defer w.discovery.SetDown(false)
	case "late-list":
		w.discovery.DelayChanges(by)
		defer w.discovery.DelayChanges(0)
	case "slow-notices":
		w.discovery.DelayNotices(by)
		defer w.discovery.DelayNotices(0)
	default:
		w.discovery.ChangeFaults(func(t *platform.ListFaults) { setListTrouble(t, f.Kind, by, f.Part) })
		defer w.discovery.ChangeFaults(func(t *platform.ListFaults) { setListTrouble(t, f.Kind, 0, 0) })
	}
	w.rest(ctx, f.For)
}

// setListTrouble sets what a kind of fault of the list stands for.
func setListTrouble(t *platform.ListFaults, kind string, by time.Duration, part float64) {
	switch kind {
	case "slow-lists":
		t.Delay = by
	case "busy-lists":
		t.RefusedShare = part
	case "cut-lists":
		t.CutShare = part
	case "stalled-lists":
		t.StalledShare = part
	case "mute-lists":
		t.UnansweredShare = part
	}
}
