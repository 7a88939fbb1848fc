package keeper

import (
	"time"

	"larchrouter/internal/keeper/state"
)

// Who leads, and which sessions there are.

// leader is the HTTP address of the keeper that leads, as far as this one knows.
func (k *Keeper) leader() string {
	r := k.raft.Load()
	if r == nil {
		return ""
	}
	_, id := r.LeaderWithID()
	for _, p := range k.conf.peers() {
		if string(id) == p.Name {
			return p.HTTP
		}
	}
	return ""
}

// leads tells whether this keeper has been elected and knows all that was agreed on before.
func (k *Keeper) leads() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leases.leads()
}

// verified tells whether a majority confirms, from now on, that this keeper leads.
func (k *Keeper) verified() bool { return k.leads() && k.raft.Load().VerifyLeader().Error() == nil }

// has tells whether a process has its session in the state.
func (k *Keeper) has(s session) (has bool) {
	k.machine.read(func(st *state.State) {
		for _, m := range st.Members {
			has = has || m.Name == s.name && m.Instance == s.instance
		}
	})
	return has
}

// renew counts a member's session anew, if it still has one.
func (k *Keeper) renew(s session) error {
	if !k.verified() {
		return errNotLeader
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.leases.renew(s, time.Now()) || !k.has(s) {
		return errNoSession
	}
	return nil
}
