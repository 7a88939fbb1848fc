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

// describe is a fault in words.
func describe(f scenario.Fault) string {
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

// fault puts a fault on, and takes it off when its time is up.
func (w *world) fault(ctx context.Context, i int, f scenario.Fault) {
	name := fmt.Sprintf("fault[%d]", i)
	text := describe(f)
	from, err := w.resolve(ctx, f.From)
	if err != nil {
		w.cannot(name, err)
		return
	}
	began := w.clock.Now()
	w.mu.Lock()
	w.on[name] = len(w.spans)
	w.spans = append(w.spans, Span{From: float64(began) / 1e6, Text: text})
	w.mu.Unlock()
	begin := history.Event{Kind: history.Fault, How: "begin", Text: text}
	if f.To != "" {
		begin.State = history.Lossy
	}
	w.record(begin)
	if f.To != "" {
		to, err := w.resolve(ctx, f.To)
		if err != nil {
			w.cannot(name, err)
			return
		}
		w.onLinks(name, f, from, to, true)
		w.rest(ctx, f.For)
		w.onLinks(name, f, from, to, false)
	} else if err := w.onParties(ctx, f, from); err != nil && ctx.Err() == nil {
		w.cannot(text, err)
	}
	w.mu.Lock()
	w.spans[w.on[name]].To = float64(w.clock.Now()) / 1e6
	delete(w.on, name)
	w.mu.Unlock()
	w.record(history.Event{Kind: history.Fault, How: "end", Text: text})
}

func (w *world) rest(ctx context.Context, length scenario.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(length)):
	}
}

// onLinks puts a fault on all links between two groups, or takes it off. A link has the way of whoever opens its
// connections and the way back; from names the sender, whichever of the two that is.
func (w *world) onLinks(name string, f scenario.Fault, from, to []scenario.Party, on bool) {
	var fault *link.Faults
	if on {
		fault = &link.Faults{Cut: f.Kind == "cut", Refused: f.Kind == "refuse", Reset: f.Kind == "reset", ResetAt: f.Bytes, HalfOpen: f.Kind == "halfopen"}
		switch f.Kind {
		case "delay":
			fault.Delay, fault.Spread = time.Duration(f.By), time.Duration(f.Spread)
		case "slow":
			fault.Rate = f.Rate
		case "drop":
			fault.Loss = f.Part
		case "silence":
			fault.SilentBefore = time.Now()
		case "lateclose":
			fault.LateClose = time.Duration(f.By)
		}
	}
	in := func(parties []scenario.Party) func(string) bool {
		names := map[string]bool{}
		for _, p := range parties {
			names[p.Name] = true
		}
		return func(name string) bool { return names[name] }
	}
	var g errgroup.Group
	g.SetLimit(64)
	put := func(l *link.Link, there, back bool) {
		var ways [2]*link.Faults
		if there {
			ways[0] = fault
		}
		if back {
			ways[1] = fault
		}
		g.Go(func() error { l.Put(name, ways[0], ways[1]); return nil })
	}
	for _, l := range w.net.Links(in(from), in(to)) {
		put(l, true, f.Both)
	}
	for _, l := range w.net.Links(in(to), in(from)) {
		put(l, f.Both, true)
	}
	g.Wait()
}

// onParties has something be wrong with parties themselves, for as long as the fault lasts.
func (w *world) onParties(ctx context.Context, f scenario.Fault, parties []scenario.Party) error {
	if parties[0].Name == "discovery" {
		w.onDiscovery(ctx, f)
		return nil
	}
	var g errgroup.Group
	for _, r := range w.relays {
		if !named(parties, r.name) {
			continue
		}
		g.Go(func() error {
			switch f.Kind {
			case "pause":
				return r.pause(ctx, time.Duration(f.For))
			case "kill":
				return r.kill(ctx, time.Duration(f.For))
			case "term":
				return r.term(ctx, time.Duration(f.For))
			case "upgrade":
				return r.upgrade(ctx)
			case "lose":
				return r.lose(ctx, time.Duration(f.For))
			case "rollback":
				return r.rollback(ctx, time.Duration(f.At), time.Duration(f.By), time.Duration(f.For))
			}
			return nil
		})
	}
	for _, k := range w.keepers {
		if !named(parties, k.name) {
			continue
		}
		g.Go(func() error {
			if f.Kind == "pause" {
				return k.pause(ctx, time.Duration(f.For))
			}
			return k.out(ctx, f.Kind == "kill", time.Duration(f.For))
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
	case "outage":
		for d := range dests {
			w.partners.SetDown(d, true)
			defer w.partners.SetDown(d, false)
		}
	case "shut":
		for d := range dests {
			w.partners.RefuseFor(d, time.Duration(f.For))
		}
	case "limit":
		for d := range dests {
			w.partners.ScaleLimit(d, f.Part)
			defer w.partners.ScaleLimit(d, 1/f.Part)
		}
	case "errors", "slow", "garble":
		put := func(fails, slow, garbles float64) func(*platform.EndpointFaults) {
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
			w.partners.ChangeFaults(p.Name, put(f.Part, f.Part, f.Part))
			defer w.partners.ChangeFaults(p.Name, put(0, 1, 0))
		}
	}
	w.rest(ctx, f.For)
	return nil
}

func named(parties []scenario.Party, name string) bool {
	for _, p := range parties {
		if p.Name == name {
			return true
		}
	}
	return false
}
