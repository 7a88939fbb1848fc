package lab

import (
	"context"
	"math"
	"time"

	"golang.org/x/sync/errgroup"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// step does what an operator does.
func (w *world) step(ctx context.Context, st scenario.Step) {
	to := st.To
	if to == "" {
		to = "relays"
	}
	w.record(history.Event{Kind: history.Step, Text: st.Do + " " + to})
	parties, err := scenario.Resolve(to, w.scenario.Parties())
	if err != nil {
		w.cannot(st.Do, err)
		return
	}
	var g errgroup.Group
	g.SetLimit(32)
	switch st.Do {
	case "settings":
		if len(w.keepers) > 0 {
			w.mu.Lock()
			w.steps++
			n := w.steps
			w.mu.Unlock()
			g.Go(func() error { return w.propose(ctx, st, n) })
			break
		}
		for _, r := range w.relays {
			if named(parties, r.name) {
				g.Go(func() error { return r.retune(func(s map[string]any) { apply(s, st) }, st.Break) })
			}
		}
		if limit, ok := st.Number("destination-limit"); ok {
			w.weigh(w.scenario.Parties(), limit)
		}
	case "list":
		limit, _ := st.Number("limit")
		w.weigh(parties, limit)
	case "drain":
		for _, p := range parties {
			w.discovery.SetState(p.Name, "leaving", func() {
				time.AfterFunc(drainFor, func() {
					w.partners.SetDrained(p.Name)
					w.discovery.SetState(p.Name, "left", nil)
				})
			})
		}
	case "ban", "unban":
		for _, r := range w.relays {
			for _, p := range parties {
				g.Go(func() error { return r.byHand(ctx, p.Name, st.Do == "ban") })
			}
		}
	}
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		w.cannot(st.Do, err)
	}
}

// drainFor is how long an endpoint goes on with what it has after the list has said that it leaves.
const drainFor = 3 * time.Second

// weigh lists another rate for endpoints.
func (w *world) weigh(parties []scenario.Party, limit float64) {
	for _, p := range parties {
		if p.Kind() == "endpoint" {
			w.discovery.SetWeight(p.Name, limit)
		}
	}
}

// apply changes a relay's settings as a step says.
func apply(settings map[string]any, st scenario.Step) {
	bounds, family := settings["bounds"].(map[string]any), settings["family-info"].(map[string]any)
	for key := range st.Set {
		v, _ := st.Number(key)
		switch key {
		case "max-attempts", "most-held":
			bounds[key] = int(math.Round(v))
		case "workers":
			family[key] = int(math.Round(v))
		case "aim", "give-up":
			for _, c := range settings["classes"].([]any) {
				c.(map[string]any)[key] = v
			}
		}
	}
}
