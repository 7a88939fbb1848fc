package keeper

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/keeper/state"
	replicationstate "larchrouter/internal/replication/state"
)

// This file has the relays' calls about replication groups, and detects owners that are lost.

// ownerGrace is the time after the end of its session for which an owner is not regarded as lost: a restart takes at most
// that long once the lease has expired.
const ownerGrace = 300 * time.Millisecond

// massLossLeases is the number of leases for which no successor is assigned while more than half of all owners have no
// session. That many machines are not lost at once, and the few remaining relays would have to take over all groups.
const massLossLeases = 3

// ownedGroups returns copies of the replication groups that a relay owns. The caller holds the lock of the state machine.
func ownedGroups(s *state.State, name string) []*replicationstate.Group {
	groups := []*replicationstate.Group{}
	for _, group := range s.Groups.OwnedBy(name) {
		copied := *group
		groups = append(groups, &copied)
	}
	return groups
}

// groups returns all replication groups, or those that one relay owns. A keeper that is not the leader may be behind.
func (k *Keeper) groups(name string) (groups []*replicationstate.Group, err error) {
	k.stateMachine.read(func(s *state.State) {
		if name != "" {
			groups = ownedGroups(s, name)
			return
		}
		groups = []*replicationstate.Group{}
		for _, group := range s.Groups.Groups {
			copied := *group
			groups = append(groups, &copied)
		}
	})
	return groups, nil
}

// replicaGroupIDs returns the identities of the replication groups of which a relay is on record as a replica. Only the
// leader knows that for certain.
func (k *Keeper) replicaGroupIDs(relay string) (any, error) {
	if !k.isVerifiedLeader() {
		return nil, errNotLeader
	}
	ids := []uint64{}
	k.stateMachine.read(func(s *state.State) {
		for _, group := range s.Groups.Groups {
			if slices.ContainsFunc(group.ReplicaSets(), func(set replicationstate.ReplicaSet) bool {
				return slices.ContainsFunc(set.Replicas, func(replica replicationstate.Replica) bool { return replica.Name == relay })
			}) {
				ids = append(ids, group.ID)
			}
		}
	})
	return ids, nil
}

// applyGroupEvent commits a relay's change to its replication groups, and answers with those that it owns then.
func (k *Keeper) applyGroupEvent(body []byte) (any, error) {
	var event replicationstate.Event
	if err := decode(body, &event); err != nil {
		return nil, err
	}
	if event.TakeOver != nil {
		return nil, refuse(http.StatusBadRequest, "who inherits is for the keepers to say")
	}
	owner := ""
	k.stateMachine.read(func(s *state.State) {
		switch {
		case event.Open != nil:
			owner = event.Open.Name
		case event.Replace != nil:
			owner = groupOwner(s, event.Replace.ID)
		case event.SetComplete != nil:
			owner = groupOwner(s, event.SetComplete.ID)
		case event.Close != nil:
			owner = groupOwner(s, event.Close.ID)
		}
	})
	if _, err := k.applyAsLeader(state.Event{Group: &event}); err != nil {
		return nil, err
	}
	if owner == "" {
		return []*replicationstate.Group{}, nil
	}
	return k.groups(owner)
}

// groupOwner returns the owner of a replication group, or "" if there is no such group.
func groupOwner(s *state.State, id uint64) string {
	if group := s.Groups.Find(id); group != nil {
		return group.Owner
	}
	return ""
}

// absentOwners records since when owners have had no session, as the leader sees it. It reads no clock. It is not safe for
// concurrent use.
type absentOwners struct {
	since         map[string]time.Time // by owner; only owners without a session
	massLossSince time.Time            // since when more than half of the owners have no session; zero while that is not so
}

// lostOwners updates the record and returns the owners that are lost, sorted. owners has all owners, with true for those
// that have a session.
func (a *absentOwners) lostOwners(owners map[string]bool, lease time.Duration, now time.Time) (lost []string) {
	for name := range a.since {
		if present, ok := owners[name]; !ok || present {
			delete(a.since, name)
		}
	}
	for name, present := range owners {
		if _, known := a.since[name]; !present && !known {
			a.since[name] = now
		}
	}
	massLoss := len(owners) > 2 && 2*len(a.since) > len(owners)
	if !massLoss {
		a.massLossSince = time.Time{}
	} else if a.massLossSince.IsZero() {
		a.massLossSince = now
	}
	for name, since := range a.since {
		if now.Sub(since) >= ownerGrace && (!massLoss || now.Sub(a.massLossSince) >= massLossLeases*lease) {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// assignSuccessors commits a new owner for each replication group of a lost owner. A new leader counts the absence of
// owners from its election on.
func (k *Keeper) assignSuccessors(absent *absentOwners, now time.Time) {
	if !k.isLeader() {
		clear(absent.since)
		return
	}
	owners, handovers := map[string]bool{}, map[string][]replicationstate.TakeOver{}
	k.stateMachine.read(func(s *state.State) {
		for _, group := range s.Groups.Groups {
			owners[group.Owner] = false
			handovers[group.Owner] = append(handovers[group.Owner], replicationstate.TakeOver{ID: group.ID, Epoch: group.Epoch})
		}
		for _, m := range s.Members {
			if _, ok := owners[m.Name]; ok {
				owners[m.Name] = true
			}
		}
	})
	for _, name := range absent.lostOwners(owners, time.Duration(k.config.Lease), now) {
		for _, handover := range handovers[name] {
			_, err := k.apply(state.Event{Group: &replicationstate.Event{TakeOver: &handover}})
			slog.Info("owner of a replication group is lost; assigning a successor", "relay", name, "estate", handover.ID, "err", err)
			if err != nil {
				return // the next check goes on with the rest, if this keeper is still the leader
			}
		}
	}
}
