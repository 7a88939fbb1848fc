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

// This file has the operators' calls.

// propose commits a change, after the same checks of the document that a relay makes.
func (k *Keeper) propose(body []byte) (any, error) {
	var proposal api.Proposal
	if err := decode(body, &proposal); err != nil {
		return nil, err
	}
	if proposal.OperationID == "" || max(len(proposal.OperationID), len(proposal.Who)) > maxNameBytes || len(proposal.Why) > 2000 {
		return nil, refuse(http.StatusBadRequest, "op is empty, or op, who or why too long")
	}
	if !k.isLeader() {
		return nil, errNotLeader
	}
	if proposal.RestoreNumber != 0 {
		k.stateMachine.read(func(s *state.State) {
			if g := s.Generation(proposal.RestoreNumber); g != nil && g.Doc != nil {
				proposal.Doc = slices.Clone(g.Doc)
			}
		})
		if proposal.Doc == nil {
			return nil, refuse(http.StatusNotFound, "generation %d is not known, or its document no longer", proposal.RestoreNumber)
		}
	}
	if err := CheckDocument(proposal.Doc); err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	if proposal.DryRun {
		return api.ChangeResponse{}, nil
	}
	result, err := k.applyAsLeader(state.Event{Propose: &state.Propose{OperationID: proposal.OperationID, Base: proposal.Base, Doc: proposal.Doc, Who: proposal.Who, Why: proposal.Why}})
	return api.ChangeResponse{Number: result.Number}, err
}

// Document is the configuration document of a generation.
type Document struct {
	// Settings is the settings object as in a relay's configuration file. Each relay adds its own index and zone.
	Settings json.RawMessage `json:"settings"`
}

// CheckDocument returns an error if no relay could act by a document.
func CheckDocument(doc json.RawMessage) error {
	var d Document
	if err := decode(doc, &d); err != nil {
		return fmt.Errorf("the document: %w", err)
	}
	if _, err := settings.Parse(d.Settings); err != nil {
		return fmt.Errorf("the document: settings: %w", err)
	}
	return nil
}

// generations returns all generations in the state, newest last, without their documents.
func (k *Keeper) generations() []api.Generation {
	out := []api.Generation{}
	k.stateMachine.read(func(s *state.State) {
		all := slices.Clone(s.History)
		if s.Effective != nil {
			all = append(all, s.Effective)
		}
		if s.Prepared != nil {
			all = append(all, s.Prepared)
		}
		for _, g := range append(all, s.Queue...) {
			out = append(out, *apiGeneration(g, false))
		}
	})
	slices.SortFunc(out, func(a, b api.Generation) int { return int(int64(a.Number) - int64(b.Number)) })
	return out
}

// status returns the state as this keeper knows it.
func (k *Keeper) status() api.Status {
	status := api.Status{Keeper: k.config.Name, LeaseMS: time.Duration(k.config.Lease).Milliseconds()}
	if status.IsLeader = k.isVerifiedLeader(); !status.IsLeader {
		status.LeaderContactAgeMS = -1
		if r := k.raft.Load(); r != nil && !r.LastContact().IsZero() {
			status.LeaderContactAgeMS = time.Since(r.LastContact()).Milliseconds()
		}
	}
	status.Leader, status.Empty = k.leaderAddr(), k.logIsEmpty()
	k.stateMachine.read(func(s *state.State) {
		status.Applied, status.Revision, status.Pending = s.Applied, s.Revision, s.Pending()
		status.Effective, status.Prepared = apiGeneration(s.Effective, false), apiGeneration(s.Prepared, false)
		for _, g := range s.Queue {
			status.Queue = append(status.Queue, *apiGeneration(g, false))
		}
		for _, m := range s.Members {
			status.Members = append(status.Members, api.Member{Name: m.Name, Instance: m.Instance, Zone: m.Zone, Version: m.Version, Revision: m.Revision, LeaseLeftMS: -1})
		}
	})
	if status.IsLeader {
		k.mu.Lock()
		defer k.mu.Unlock()
		for i, m := range status.Members {
			status.Members[i].LeaseLeftMS = k.leases.remaining(sessionKey{m.Name, m.Instance}, time.Now()).Milliseconds()
		}
	}
	return status
}

// apiGeneration converts a generation for an answer; nil stays nil.
func apiGeneration(g *state.Generation, withDocument bool) *api.Generation {
	if g == nil {
		return nil
	}
	out := &api.Generation{Number: g.Number, Base: g.Base, Stage: string(g.Stage), Digest: g.Digest, Who: g.Who, Why: g.Why, Reason: g.Reason}
	if withDocument {
		out.Doc = slices.Clone(g.Doc)
	}
	return out
}
