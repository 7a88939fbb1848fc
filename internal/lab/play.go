package lab

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"larchrouter/internal/lab/scenario"
)

// play runs the load, faults and steps of the scenario at their times. Then it waits until no outcome of an accepted message is
// pending, at most for the messages' deadline and 8 s.
func (run *labRun) play(ctx context.Context, checks *sync.Mutex) {
	startedAt := time.Now()
	var parts sync.WaitGroup
	schedule := func(at scenario.Duration, f func()) {
		parts.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(startedAt.Add(time.Duration(at)))):
				f()
			}
		})
	}
	for i, f := range run.scenario.Faults {
		at := f.At
		if f.Kind == "rollback" { // the state is copied first, By before the kill
			at -= f.By
		}
		schedule(at, func() { run.runFault(ctx, i, f) })
	}
	for _, st := range run.scenario.Steps {
		schedule(st.At, func() { run.step(ctx, st) })
	}
	loadCtx, endLoad := context.WithTimeout(ctx, time.Duration(run.scenario.Duration))
	defer endLoad()
	parts.Go(func() { run.clients.Submit(loadCtx) })
	parts.Go(func() { run.strangers.Connect(loadCtx) })
	parts.Go(func() { run.strangers.ConnectCrowd(loadCtx) })
	go run.watchRelays(ctx, startedAt, checks)
	parts.Wait()
	maxWait := time.Duration(run.scenario.Load.Deadline) + 8*time.Second
	loadEnded := run.clock.Now()
	for end := time.Now().Add(maxWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		checks.Lock()
		done := run.checker.PendingMessages() == 0 && run.checker.Now().Microseconds() > loadEnded
		checks.Unlock()
		if done {
			return
		}
	}
}

// watchRelays samples all relays every second and reports the progress.
func (run *labRun) watchRelays(ctx context.Context, startedAt time.Time, checks *sync.Mutex) {
	for tick := time.NewTicker(time.Second); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		rows := make([]Row, len(run.relays))
		var g errgroup.Group
		g.SetLimit(16)
		for i, r := range run.relays {
			g.Go(func() error { rows[i] = r.sample(ctx); return nil })
		}
		g.Wait()
		if run.options.OnProgress == nil {
			continue
		}
		p := Progress{Elapsed: time.Since(startedAt), Duration: time.Duration(run.scenario.Duration), Rows: rows}
		checks.Lock()
		p.Messages, p.InTime, p.Violations = run.checker.Progress()
		checks.Unlock()
		run.mu.Lock()
		for _, i := range run.activeFaults {
			p.Faults = append(p.Faults, run.spans[i].Text)
		}
		run.mu.Unlock()
		slices.Sort(p.Faults)
		run.options.OnProgress(p)
	}
}
