package lab

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"larchrouter/internal/lab/scenario"
)

// A run goes on.

// play has load, faults and steps come when they are due, and waits until what was taken on has its end.
func (w *world) play(ctx context.Context, checks *sync.Mutex) {
	began := time.Now()
	var parts sync.WaitGroup
	after := func(at scenario.Duration, f func()) {
		parts.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(began.Add(time.Duration(at)))):
				f()
			}
		})
	}
	for i, f := range w.scenario.Faults {
		at := f.At
		if f.Kind == "rollback" { // the folder is copied first
			at -= f.By
		}
		after(at, func() { w.fault(ctx, i, f) })
	}
	for _, st := range w.scenario.Steps {
		after(st.At, func() { w.step(ctx, st) })
	}
	loaded, unload := context.WithTimeout(ctx, time.Duration(w.scenario.Duration))
	defer unload()
	parts.Go(func() { w.clients.Submit(loaded) })
	parts.Go(func() { w.strangers.Connect(loaded) })
	go w.watch(ctx, began, checks)
	parts.Wait()
	most := time.Duration(w.scenario.Load.Deadline) + 8*time.Second
	ended := w.clock.Now()
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		checks.Lock()
		done := w.checker.Owing() == 0 && w.checker.Now().Microseconds() > ended
		checks.Unlock()
		if done {
			return
		}
	}
}

// watch looks at all relays every second.
func (w *world) watch(ctx context.Context, began time.Time, checks *sync.Mutex) {
	for tick := time.NewTicker(time.Second); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		rows := make([]Row, len(w.relays))
		var g errgroup.Group
		g.SetLimit(16)
		for i, r := range w.relays {
			g.Go(func() error { rows[i] = r.look(ctx); return nil })
		}
		g.Wait()
		if w.options.Each == nil {
			continue
		}
		p := Progress{At: time.Since(began), Of: time.Duration(w.scenario.Duration), Rows: rows}
		checks.Lock()
		p.Asked, p.InTime, p.Broken = w.checker.Standing()
		checks.Unlock()
		w.mu.Lock()
		for _, i := range w.on {
			p.Faults = append(p.Faults, w.spans[i].Text)
		}
		w.mu.Unlock()
		slices.Sort(p.Faults)
		w.options.Each(p)
	}
}
