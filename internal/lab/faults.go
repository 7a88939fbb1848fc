package lab

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/link"
	"larchrouter/internal/lab/platform"
	"larchrouter/internal/lab/scenario"
)

// describeFault returns the text that names a fault in the history and the result.
func describeFault(f scenario.Fault) string {
	text := f.Kind + " " + f.From
	if f.To != "" {
		text += " to " + f.To
		if f.Both {
			text += " and back"
		}
	}
	if f.Part != 0 {
		text += fmt.Sprintf(" %g", f.Part)
	}
	if f.By != 0 {
		text += " by " + f.By.String()
	}
	if f.For != 0 {
		text += " for " + f.For.String()
	}
	return text
}

// runFault starts a fault, waits until its time is over or ctx ends, and ends it.
func (run *labRun) runFault(ctx context.Context, i int, f scenario.Fault) {
	name := fmt.Sprintf("fault[%d]", i)
	text := describeFault(f)
	from, err := run.resolve(ctx, f.From)
	if err != nil {
		run.reportProblem(name, err)
		return
	}
	began := run.clock.Now()
	run.mu.Lock()
	run.activeFaults[name] = len(run.spans)
	run.spans = append(run.spans, Span{From: float64(began) / 1e6, Text: text})
	run.mu.Unlock()
	begin := history.Event{Kind: history.Fault, Detail: "begin", Text: text}
	if f.To != "" || f.Kind == string(platform.Vanishing) {
		begin.State = history.Lossy
	}
	run.record(begin)
	if f.To != "" {
		to, err := run.resolve(ctx, f.To)
		if err != nil {
			run.reportProblem(name, err)
			return
		}
		run.setLinkFault(name, f, from, to, true)
		run.sleep(ctx, f.For)
		run.setLinkFault(name, f, from, to, false)
	} else if err := run.runPartyFault(ctx, f, from); err != nil && ctx.Err() == nil {
		run.reportProblem(text, err)
	}
	run.mu.Lock()
	run.spans[run.activeFaults[name]].To = float64(run.clock.Now()) / 1e6
	delete(run.activeFaults, name)
	run.mu.Unlock()
	run.record(history.Event{Kind: history.Fault, Detail: "end", Text: text})
}

func (run *labRun) sleep(ctx context.Context, duration scenario.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(duration)):
	}
}

// setLinkFault sets a fault on all links between two groups of parties, or removes it. The fault affects what from sends to to,
// and with Both also the reverse, no matter which of the two opens a link's connections.
func (run *labRun) setLinkFault(name string, f scenario.Fault, from, to []scenario.Party, on bool) {
	var fault *link.Faults
	if on {
		fault = &link.Faults{Cut: f.Kind == "cut", Refused: f.Kind == "refuse", Reset: f.Kind == "reset", ResetAfterBytes: f.Bytes, HalfOpen: f.Kind == "halfopen"}
		switch f.Kind {
		case "delay":
			fault.Delay, fault.Jitter = time.Duration(f.By), time.Duration(f.Spread)
		case "slow":
			fault.BytesPerSecond = f.Rate
		case "drop":
			fault.LossShare = f.Part
		case "silence":
			fault.SilentBefore = time.Now()
		case "lateclose":
			fault.CloseDelay = time.Duration(f.By)
		}
	}
	memberOf := func(parties []scenario.Party) func(string) bool {
		names := map[string]bool{}
		for _, p := range parties {
			names[p.Name] = true
		}
		return func(name string) bool { return names[name] }
	}
	var g errgroup.Group
	g.SetLimit(64)
	put := func(l *link.Link, forward, reverse bool) {
		var faults [2]*link.Faults
		if forward {
			faults[0] = fault
		}
		if reverse {
			faults[1] = fault
		}
		g.Go(func() error { l.SetNamed(name, faults[0], faults[1]); return nil })
	}
	for _, l := range run.network.Links(memberOf(from), memberOf(to)) {
		put(l, true, f.Both)
	}
	for _, l := range run.network.Links(memberOf(to), memberOf(from)) {
		put(l, f.Both, true)
	}
	g.Wait()
}

// runPartyFault applies a fault to parties themselves, rather than to their links, for as long as the fault lasts.
func (run *labRun) runPartyFault(ctx context.Context, f scenario.Fault, parties []scenario.Party) error {
	if parties[0].Name == "discovery" {
		run.runDiscoveryFault(ctx, f)
		return nil
	}
	var g errgroup.Group
	for _, r := range run.relays {
		if !containsParty(parties, r.name) {
			continue
		}
		g.Go(func() error {
			switch f.Kind {
			case "pause":
				return r.pause(ctx, time.Duration(f.For))
			case "kill":
				return r.killAndRestart(ctx, time.Duration(f.For))
			case "term":
				return r.restartGracefully(ctx, time.Duration(f.For))
			case "upgrade":
				return r.upgrade(ctx)
			case "lose":
				return r.loseMachine(ctx, time.Duration(f.For))
			case "rollback":
				return r.rollback(ctx, time.Duration(f.At), time.Duration(f.By), time.Duration(f.For))
			}
			return nil
		})
	}
	for _, k := range run.keepers {
		if !containsParty(parties, k.name) {
			continue
		}
		g.Go(func() error {
			if f.Kind == "pause" {
				return k.pause(ctx, time.Duration(f.For))
			}
			return k.restart(ctx, f.Kind == "kill", time.Duration(f.For))
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	dests := map[int]bool{}
	for _, p := range parties {
		if p.Kind() == "endpoint" {
			dests[p.Dest] = true
		}
	}
	if len(dests) == 0 {
		return nil
	}
	switch f.Kind {
	case "outage", "hang", "vanish":
		kind := platform.OutageKind(f.Kind)
		for d := range dests {
			run.partners.BeginOutage(d, kind)
			defer run.partners.EndOutage(d, kind)
		}
	case "shut":
		for d := range dests {
			run.partners.RefuseFor(d, time.Duration(f.For))
		}
	case "limit":
		for d := range dests {
			run.partners.ScaleLimit(d, f.Part)
			defer run.partners.ScaleLimit(d, 1/f.Part)
		}
	case "errors", "slow", "garble":
		setTrouble := func(fails, slow, garbles float64) func(*platform.EndpointFaults) {
			return func(t *platform.EndpointFaults) {
				switch f.Kind {
				case "errors":
					t.ErrorShare = fails
				case "slow":
					t.SlowFactor = slow
				case "garble":
					t.GarbledShare = garbles
				}
			}
		}
		for _, p := range parties {
			run.partners.ChangeFaults(p.Name, setTrouble(f.Part, f.Part, f.Part))
			defer run.partners.ChangeFaults(p.Name, setTrouble(0, 1, 0))
		}
	}
	run.sleep(ctx, f.For)
	return nil
}

func containsParty(parties []scenario.Party, name string) bool {
	for _, p := range parties {
		if p.Name == name {
			return true
		}
	}
	return false
}
