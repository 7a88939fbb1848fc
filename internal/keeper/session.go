package keeper

import (
	"context"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/keeper/state"
	estates "larchrouter/internal/replication/state"
)

// session begins or renews a member's, and waits for news.
func (k *Keeper) session(ctx context.Context, body []byte) (any, error) {
	var c api.Session
	if err := decode(body, &c); err != nil {
		return nil, err
	}
	if c.Name == "" || c.Instance == "" || max(len(c.Name), len(c.Instance), len(c.Zone), len(c.Version), len(c.Addr), len(c.Folder), len(c.Estates)) > nameMost || c.WaitMS < 0 || len(c.Have) > 8 {
		return nil, refuse(http.StatusBadRequest, "name or instance is empty or too long, or the wait below 0")
	}
	if !k.leads() {
		return nil, errNotLeader
	}
	s := session{c.Name, c.Instance}
	if !k.has(s) {
		// Counted before it is in the state: it must not be held to have run out as it begins.
		k.mu.Lock()
		counted := k.leases.renew(s, time.Now())
		k.mu.Unlock()
		if !counted {
			return nil, errNoSession
		}
		if _, err := k.apply(state.Event{Join: &state.Join{Name: c.Name, Instance: c.Instance, Before: c.Before, Zone: c.Zone, Version: c.Version, Addr: c.Addr, Folder: c.Folder}}); err != nil {
			k.mu.Lock()
			k.leases.ended(s)
			k.mu.Unlock()
			return nil, err
		}
	}
	end := time.NewTimer(min(time.Duration(c.WaitMS)*time.Millisecond, waitMost, time.Duration(k.conf.Lease)/2))
	defer end.Stop()
	for waits := true; waits; {
		turned := k.machine.turned()
		news := false
		k.machine.read(func(st *state.State) {
			news = st.Turn != c.Turn || c.Estates != "" && estates.Fingerprint(st.Estates.OwnedBy(c.Name)) != c.Estates
		})
		if news {
			break
		}
		select {
		case <-turned:
		case <-end.C:
			waits = false
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-k.quit:
			return nil, errNotLeader
		}
	}
	if err := k.renew(s); err != nil {
		return nil, err
	}
	out := api.Standing{LeaseMS: time.Duration(k.conf.Lease).Milliseconds()}
	k.machine.read(func(st *state.State) {
		out.Turn = st.Turn
		with := func(g *state.Generation) *api.Generation {
			return outward(g, g != nil && !slices.Contains(c.Have, g.Number))
		}
		out.Force, out.Next = with(st.Force), with(st.Next)
		for _, m := range st.Members {
			if m.Name == c.Name && m.Instance == c.Instance {
				out.Confirmed = m.Turn
			}
		}
		if c.Estates != "" {
			out.Owned = owned(st, c.Name)
		}
	})
	return out, nil
}
