package keeper

import (
	"time"

	"larchrouter/internal/keeper/state"
)

// This file answers who is the leader and which members have sessions.

// leaderAddr returns the HTTP address of the leader as far as this keeper knows, or "".
func (k *Keeper) leaderAddr() string {
	r := k.raft.Load()
	if r == nil {
		return ""
	}
	_, id := r.LeaderWithID()
	for _, p := range k.config.allPeers() {
		if string(id) == p.Name {
			return p.HTTP
		}
	}
	return ""
}

// isLeader reports whether this keeper has been elected and has applied all entries committed before.
func (k *Keeper) isLeader() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leases.isLeader()
}

// isVerifiedLeader reports whether this keeper is the leader and a quorum confirms that after this call began.
func (k *Keeper) isVerifiedLeader() bool {
	return k.isLeader() && k.raft.Load().VerifyLeader().Error() == nil
}

// hasSession reports whether a process has a session in the state.
func (k *Keeper) hasSession(key sessionKey) (found bool) {
	k.stateMachine.read(func(current *state.State) {
		for _, m := range current.Members {
			found = found || m.Name == key.name && m.Instance == key.instance
		}
	})
	return found
}

// renewSession renews a member's session if it still has one.
func (k *Keeper) renewSession(key sessionKey) error {
	if !k.isVerifiedLeader() {
		return errNotLeader
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.leases.renew(key, time.Now()) || !k.hasSession(key) {
		return errNoSession
	}
	return nil
}
