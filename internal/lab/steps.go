package lab

import (
	"context"
	"math"
	"time"

	"golang.org/x/sync/errgroup"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// step carries out a step of the scenario as an operator would.
func (run *labRun) step(ctx context.Context, st scenario.Step) {
	to := st.To
	if to == "" {
		to = "relays"
	}
	run.record(history.Event{Kind: history.Step, Text: st.Do + " " + to})
	parties, err := scenario.Resolve(to, run.scenario.Parties())
	if err != nil {
		run.reportProblem(st.Do, err)
		return
	}
	var g errgroup.Group
	g.SetLimit(32)
	switch st.Do {
	case "settings":
		if len(run.keepers) > 0 {
			run.mu.Lock()
			run.stepCount++
			n := run.stepCount
			run.mu.Unlock()
			g.Go(func() error { return run.propose(ctx, st, n) })
			break
		}
		for _, r := range run.relays {
			if containsParty(parties, r.name) {
				g.Go(func() error { return r.changeSettings(func(s map[string]any) { applyStep(s, st) }, st.Break) })
			}
		}
		if limit, ok := st.Number("destination-limit"); ok {
			run.setListedRate(run.scenario.Parties(), limit)
		}
	case "list":
		limit, _ := st.Number("limit")
		run.setListedRate(parties, limit)
	case "drain":
		for _, p := range parties {
			run.discovery.SetState(p.Name, "leaving", func() {
				time.AfterFunc(drainTime, func() {
					run.partners.SetDrained(p.Name)
					run.discovery.SetState(p.Name, "left", nil)
				})
			})
		}
	case "ban", "unban":
		for _, r := range run.relays {
			for _, p := range parties {
				g.Go(func() error { return r.setEndpointDisabled(ctx, p.Name, st.Do == "ban") })
			}
		}
	}
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		run.reportProblem(st.Do, err)
	}
}

// drainTime is how long an endpoint continues to serve after the list has marked it as leaving.
const drainTime = 3 * time.Second

// setListedRate sets the rate limit that discovery lists for endpoints.
func (run *labRun) setListedRate(parties []scenario.Party, rate float64) {
	for _, p := range parties {
		if p.Kind() == "endpoint" {
			run.discovery.SetWeight(p.Name, rate)
		}
	}
}

// applyStep changes settings as a step says. Unknown keys are ignored.
func applyStep(settings map[string]any, st scenario.Step) {
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
