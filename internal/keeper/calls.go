package keeper

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/keeper/state"
	"larchrouter/internal/settings"
)

// What operators ask.

// propose has a change agreed on, once it has been checked as a relay would.
func (k *Keeper) propose(body []byte) (any, error) {
	var p api.Proposal
	if err := decode(body, &p); err != nil {
		return nil, err
	}
	if p.Op == "" || max(len(p.Op), len(p.Who)) > nameMost || len(p.Why) > 2000 {
		return nil, refuse(http.StatusBadRequest, "op is empty, or op, who or why too long")
	}
	if !k.leads() {
		return nil, errNotLeader
	}
	if p.To != 0 {
		k.machine.read(func(s *state.State) {
			if g := s.Generation(p.To); g != nil && g.Doc != nil {
				p.Doc = slices.Clone(g.Doc)
			}
		})
		if p.Doc == nil {
			return nil, refuse(http.StatusNotFound, "generation %d is not known, or its document no longer", p.To)
		}
	}
	if err := Check(p.Doc); err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	if p.DryRun {
		return api.Made{}, nil
	}
	r, err := k.agreed(state.Event{Propose: &state.Propose{Op: p.Op, Base: p.Base, Doc: p.Doc, Who: p.Who, Why: p.Why}})
	return api.Made{Number: r.Number}, err
}

// Document is what a generation holds.
type Document struct {
	// Settings is the settings object as a relay's configuration has it. A relay puts its own index and zone in.
	Settings json.RawMessage `json:"settings"`
}

// Check tells what makes a document one that no relay could act on.
func Check(doc json.RawMessage) error {
	var d Document
	if err := decode(doc, &d); err != nil {
		return fmt.Errorf("the document: %w", err)
	}
	if _, err := settings.Parse(d.Settings); err != nil {
		return fmt.Errorf("the document: settings: %w", err)
	}
	return nil
}

// generations are all that are remembered, the newest last, without their documents.
func (k *Keeper) generations() []api.Generation {
	out := []api.Generation{}
	k.machine.read(func(s *state.State) {
		all := slices.Clone(s.History)
		if s.Force != nil {
			all = append(all, s.Force)
		}
		if s.Next != nil {
			all = append(all, s.Next)
		}
		for _, g := range append(all, s.Queue...) {
			out = append(out, *outward(g, false))
		}
	})
	slices.SortFunc(out, func(a, b api.Generation) int { return int(int64(a.Number) - int64(b.Number)) })
	return out
}

// status is what this keeper knows.
func (k *Keeper) status() api.Status {
	out := api.Status{Keeper: k.conf.Name, LeaseMS: time.Duration(k.conf.Lease).Milliseconds()}
	if out.Leads = k.verified(); !out.Leads {
		out.AgeMS = -1
		if r := k.raft.Load(); r != nil && !r.LastContact().IsZero() {
			out.AgeMS = time.Since(r.LastContact()).Milliseconds()
		}
	}
	out.Leader, out.Fresh = k.leader(), k.fresh()
	k.machine.read(func(s *state.State) {
		out.Applied, out.Turn, out.Pending = s.Applied, s.Turn, s.Pending()
		out.Force, out.Next = outward(s.Force, false), outward(s.Next, false)
		for _, g := range s.Queue {
			out.Queue = append(out.Queue, *outward(g, false))
		}
		for _, m := range s.Members {
			out.Members = append(out.Members, api.Member{Name: m.Name, Instance: m.Instance, Zone: m.Zone, Version: m.Version, Turn: m.Turn, LeftMS: -1})
		}
	})
	if out.Leads {
		k.mu.Lock()
		defer k.mu.Unlock()
		for i, m := range out.Members {
			out.Members[i].LeftMS = k.leases.left(session{m.Name, m.Instance}, time.Now()).Milliseconds()
		}
	}
	return out
}

// outward is a generation as callers see it; nil for none.
func outward(g *state.Generation, doc bool) *api.Generation {
	if g == nil {
		return nil
	}
	out := &api.Generation{Number: g.Number, Base: g.Base, Stage: string(g.Stage), Sum: g.Sum, Who: g.Who, Why: g.Why, Reason: g.Reason}
	if doc {
		out.Doc = slices.Clone(g.Doc)
	}
	return out
}
