package keeper

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/keeper/state"
	estates "larchrouter/internal/replication/state"
)

// Estates: what relays ask of them, and who is held to be lost.

// graceFor is how long after the end of a session its owner is held to be away for a moment only: a restart takes that
// long at the most once its lease is over.
const graceFor = 300 * time.Millisecond

// massLeases is for how many leases more nobody inherits while more than half of all owners are away: such a thing is no
// loss of machines, and what they hold would fall to the few that are left.
const massLeases = 3

// owned are copies of the estates of a relay. The lock is held.
func owned(s *state.State, name string) []*estates.Group {
	all := []*estates.Group{}
	for _, e := range s.Estates.OwnedBy(name) {
		c := *e
		all = append(all, &c)
	}
	return all
}

// estates are all of them, or those of one relay. One that does not lead may be behind.
func (k *Keeper) estates(name string) (all []*estates.Group, err error) {
	k.machine.read(func(s *state.State) {
		if name != "" {
			all = owned(s, name)
			return
		}
		all = []*estates.Group{}
		for _, e := range s.Estates.Groups {
			c := *e
			all = append(all, &c)
		}
	})
	return all, nil
}

// held are the estates of which a relay is on record as a holder. Only the keeper that leads knows for certain.
func (k *Keeper) held(holder string) (any, error) {
	if !k.verified() {
		return nil, errNotLeader
	}
	ids := []uint64{}
	k.machine.read(func(s *state.State) {
		for _, e := range s.Estates.Groups {
			if slices.ContainsFunc(e.ReplicaSets(), func(set estates.ReplicaSet) bool {
				return slices.ContainsFunc(set.Replicas, func(h estates.Replica) bool { return h.Name == holder })
			}) {
				ids = append(ids, e.ID)
			}
		}
	})
	return ids, nil
}

// estate has a relay's word on its estates agreed on, and answers with those it owns then.
func (k *Keeper) estate(body []byte) (any, error) {
	var e estates.Event
	if err := decode(body, &e); err != nil {
		return nil, err
	}
	if e.TakeOver != nil {
		return nil, refuse(http.StatusBadRequest, "who inherits is for the keepers to say")
	}
	name := ""
	k.machine.read(func(s *state.State) {
		switch {
		case e.Open != nil:
			name = e.Open.Name
		case e.Replace != nil:
			name = ownerOf(s, e.Replace.ID)
		case e.SetComplete != nil:
			name = ownerOf(s, e.SetComplete.ID)
		case e.Close != nil:
			name = ownerOf(s, e.Close.ID)
		}
	})
	if _, err := k.agreed(state.Event{Estate: &e}); err != nil {
		return nil, err
	}
	if name == "" {
		return []*estates.Group{}, nil
	}
	return k.estates(name)
}

func ownerOf(s *state.State, id uint64) string {
	if e := s.Estates.Find(id); e != nil {
		return e.Owner
	}
	return ""
}

// away counts since when owners have no session, as the keeper that leads sees it. It is pure; its owner's lock guards it.
type away struct {
	since map[string]time.Time // by owner
	mass  time.Time            // since when more than half of them have none; zero while it is not so
}

// look takes in which owners there are and which of them have a session, and names those held to be lost.
func (a *away) look(owners map[string]bool, lease time.Duration, now time.Time) (lost []string) {
	for name := range a.since {
		if here, ok := owners[name]; !ok || here {
			delete(a.since, name)
		}
	}
	for name, here := range owners {
		if _, known := a.since[name]; !here && !known {
			a.since[name] = now
		}
	}
	mass := len(owners) > 2 && 2*len(a.since) > len(owners)
	if !mass {
		a.mass = time.Time{}
	} else if a.mass.IsZero() {
		a.mass = now
	}
	for name, at := range a.since {
		if now.Sub(at) >= graceFor && (!mass || now.Sub(a.mass) >= massLeases*lease) {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// nameHeirs has an heir named for the estates of those that are lost. Who leads anew counts from its election on.
func (k *Keeper) nameHeirs(a *away, now time.Time) {
	if !k.leads() {
		clear(a.since)
		return
	}
	owners, of := map[string]bool{}, map[string][]estates.TakeOver{}
	k.machine.read(func(s *state.State) {
		for _, e := range s.Estates.Groups {
			owners[e.Owner] = false
			of[e.Owner] = append(of[e.Owner], estates.TakeOver{ID: e.ID, Epoch: e.Epoch})
		}
		for _, m := range s.Members {
			if _, ok := owners[m.Name]; ok {
				owners[m.Name] = true
			}
		}
	})
	for _, name := range a.look(owners, time.Duration(k.conf.Lease), now) {
		for _, n := range of[name] {
			_, err := k.apply(state.Event{Estate: &estates.Event{TakeOver: &n}})
			slog.Info("owner is lost", "relay", name, "estate", n.ID, "err", err)
			if err != nil {
				return // the next look goes on, if this keeper still leads
			}
		}
	}
}
