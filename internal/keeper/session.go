package keeper

import (
	"context"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/keeper/state"
	replicationstate "larchrouter/internal/replication/state"
)

// serveSession begins or renews a member's session, and waits for an update for as long as the call allows.
func (k *Keeper) serveSession(ctx context.Context, body []byte) (any, error) {
	var call api.Session
	if err := decode(body, &call); err != nil {
		return nil, err
	}
	if call.Name == "" || call.Instance == "" || max(len(call.Name), len(call.Instance), len(call.Zone), len(call.Version), len(call.Addr), len(call.Folder), len(call.GroupsFingerprint)) > maxNameBytes || call.WaitMS < 0 || len(call.KnownGenerations) > 8 {
		return nil, refuse(http.StatusBadRequest, "name or instance is empty or too long, or the wait below 0")
	}
	if !k.isLeader() {
		return nil, errNotLeader
	}
	key := sessionKey{call.Name, call.Instance}
	if !k.hasSession(key) {
		// The lease starts before the session is in the state, so that the session does not count as expired when it begins.
		k.mu.Lock()
		renewed := k.leases.renew(key, time.Now())
		k.mu.Unlock()
		if !renewed {
			return nil, errNoSession
		}
		if _, err := k.apply(state.Event{Join: &state.Join{Name: call.Name, Instance: call.Instance, Predecessor: call.Predecessor, Zone: call.Zone, Version: call.Version, Addr: call.Addr, Folder: call.Folder}}); err != nil {
			k.mu.Lock()
			k.leases.remove(key)
			k.mu.Unlock()
			return nil, err
		}
	}
	timer := time.NewTimer(min(time.Duration(call.WaitMS)*time.Millisecond, maxWait, time.Duration(k.config.Lease)/2))
	defer timer.Stop()
	for waiting := true; waiting; {
		changed := k.stateMachine.changeSignal()
		updated := false
		k.stateMachine.read(func(st *state.State) {
			updated = st.Revision != call.Revision || call.GroupsFingerprint != "" && replicationstate.Fingerprint(st.Groups.OwnedBy(call.Name)) != call.GroupsFingerprint
		})
		if updated {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-k.closing:
			return nil, errNotLeader
		}
	}
	if err := k.renewSession(key); err != nil {
		return nil, err
	}
	response := api.SessionResponse{LeaseMS: time.Duration(k.config.Lease).Milliseconds()}
	k.stateMachine.read(func(st *state.State) {
		response.Revision = st.Revision
		withDocument := func(g *state.Generation) *api.Generation {
			return apiGeneration(g, g != nil && !slices.Contains(call.KnownGenerations, g.Number))
		}
		response.Effective, response.Prepared = withDocument(st.Effective), withDocument(st.Prepared)
		for _, m := range st.Members {
			if m.Name == call.Name && m.Instance == call.Instance {
				response.ConfirmedRevision = m.Revision
			}
		}
		if call.GroupsFingerprint != "" {
			response.OwnedGroups = ownedGroups(st, call.Name)
		}
	})
	return response, nil
}
