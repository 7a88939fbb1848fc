// Package state is the decisions of estates as pure state machines: which relay owns one and who holds its copies
// (Registry, in the keepers' log), what a holder takes from whom (Copy), and from when on a record counts (Writer). Nothing
// here reads a clock, opens a file or goes through a map in an order of its own. docs/estates.md has the design.
package state

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
)

// Bounds of what the keepers hold of estates.
const (
	maxCopies      = 4
	maxEarlierSets = 8     // sets that an estate may have on record beside the one that is written to
	maxGroups      = 32768 // twice the members
)

// Member is a relay that has a session, as far as estates need to know it.
type Member struct {
	Name, Instance, Zone string
	Addr                 string // where it takes copies; empty for one that holds none
	Folder               string // names the folder that it keeps them in: one that lost its disk has another
}

// Holder is a relay that has a copy.
type Replica struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Folder string `json:"folder"` // in which it keeps it: without that it has forgotten what it had
}

// Estate is one as the keepers have it.
type Group struct {
	ID     uint64 `json:"id"`
	Name   string `json:"name"`  // of the relay that took on what is in it
	Epoch  uint64 `json:"epoch"` // grows with each change of writer or holders
	Owner  string `json:"owner"`
	Writer string `json:"writer"` // the owner's process
	// Main says that its owner takes on new messages in it; one that was inherited only runs out.
	Main     bool      `json:"main"`
	Copies   int       `json:"copies"` // holders that make a record count
	Replicas []Replica `json:"holders"`
	// Before are earlier sets, of which each may have what counted then: until the present one has the whole.
	EarlierSets []ReplicaSet `json:"before,omitempty"`
}

// Set is holders, of which so many made a record count.
type ReplicaSet struct {
	Copies   int       `json:"copies"`
	Replicas []Replica `json:"holders"`
}

// Need is how many of a set have to promise themselves to a writer: then no older one finds as many as it takes, and one of
// them has whatever counted. None are needed where nothing can have counted.
func (s ReplicaSet) PromisesNeeded() int { return max(0, len(s.Replicas)-s.Copies+1) }

// Sets are all sets of holders that may have what counts.
func (g *Group) ReplicaSets() []ReplicaSet {
	return append([]ReplicaSet{{g.Copies, g.Replicas}}, g.EarlierSets...)
}

// Registry is all estates. Its fields are exported for snapshots; only Apply changes them.
type Registry struct {
	LastID uint64   `json:"last"` // id given last; none is used twice
	Groups []*Group `json:"estates"`
}

// Apply takes in the next event of the log. Members are those with a session, by name.
func (r *Registry) Apply(members []Member, event Event) error {
	switch {
	case event.Open != nil:
		return r.open(members, *event.Open)
	case event.Replace != nil:
		return r.replaceReplicas(members, *event.Replace)
	case event.SetComplete != nil:
		group, err := r.currentGroup(*event.SetComplete)
		if err == nil {
			group.EarlierSets = nil
		}
		return err
	case event.Close != nil:
		group, err := r.currentGroup(*event.Close)
		if err != nil {
			return err
		}
		if group.Main {
			return ErrStaleEpoch
		}
		r.Groups = slices.DeleteFunc(r.Groups, func(other *Group) bool { return other == group })
		return nil
	case event.TakeOver != nil:
		return r.takeOver(members, *event.TakeOver)
	}
	return ErrUnknownEvent
}

// Find is an estate by its number; nil for none.
func (r *Registry) Find(id uint64) *Group {
	i, ok := slices.BinarySearchFunc(r.Groups, id, func(group *Group, id uint64) int { return cmp.Compare(group.ID, id) })
	if !ok {
		return nil
	}
	return r.Groups[i]
}

// Owned are the estates of a relay, by number.
func (r *Registry) OwnedBy(name string) (groups []*Group) {
	for _, group := range r.Groups {
		if group.Owner == name {
			groups = append(groups, group)
		}
	}
	return groups
}

// Mark tells two lists of estates apart: it changes with each epoch, set and owner.
func Fingerprint(groups []*Group) string {
	digest := fnv.New64a()
	for _, group := range groups {
		fmt.Fprint(digest, group.ID, group.Epoch, group.Writer, len(group.EarlierSets), group.Replicas)
	}
	return fmt.Sprintf("%x", digest.Sum64())
}

// written is the estate that a writer speaks of, if it still is its writer.
func (r *Registry) currentGroup(current GroupEpoch) (*Group, error) {
	group := r.Find(current.ID)
	if group == nil || group.Epoch != current.Epoch || group.Writer != current.Instance {
		return nil, ErrStaleEpoch
	}
	return group, nil
}

func findMember(members []Member, name string) *Member {
	for i := range members {
		if members[i].Name == name {
			return &members[i]
		}
	}
	return nil
}

func (r *Registry) open(members []Member, request Open) error {
	owner := findMember(members, request.Name)
	switch {
	case owner == nil || owner.Instance != request.Instance:
		return ErrUnknownMember
	case request.Copies < 1 || request.Copies > maxCopies:
		return ErrBadCopies
	}
	main := false
	for _, group := range r.OwnedBy(request.Name) {
		main = main || group.Main
		if group.Writer == request.Instance {
			continue
		}
		group.Writer = request.Instance
		r.beginEpoch(members, group, request.Copies, nil)
	}
	if main {
		return nil
	}
	if len(r.Groups) >= maxGroups {
		return ErrTooManyGroups
	}
	r.LastID++
	group := &Group{ID: r.LastID, Name: request.Name, Owner: request.Name, Writer: request.Instance, Main: true}
	r.Groups = append(r.Groups, group)
	r.beginEpoch(members, group, request.Copies, nil)
	return nil
}

func (r *Registry) replaceReplicas(members []Member, request Replace) error {
	group, err := r.currentGroup(request.GroupEpoch)
	if err != nil {
		return err
	}
	if len(group.EarlierSets) >= maxEarlierSets {
		return ErrTooManySets
	}
	if replicas := r.chooseReplicas(members, group, request.Failed); len(replicas) < len(group.Replicas) || slices.Equal(replicas, group.Replicas) {
		return ErrNoReplica
	}
	r.beginEpoch(members, group, group.Copies, request.Failed)
	return nil
}

func (r *Registry) takeOver(members []Member, request TakeOver) error {
	group := r.Find(request.ID)
	if group == nil || group.Epoch != request.Epoch {
		return ErrStaleEpoch
	}
	if findMember(members, group.Owner) != nil {
		return ErrOwnerPresent
	}
	successor := r.chooseSuccessor(members, group)
	if successor == nil {
		return ErrNoReplica
	}
	group.Owner, group.Writer, group.Main = successor.Name, successor.Instance, false
	r.beginEpoch(members, group, group.Copies, nil)
	return nil
}

// next begins another epoch of an estate, with a set of holders without those that have gone. The set before stays on
// record until this one has the whole.
func (r *Registry) beginEpoch(members []Member, group *Group, copies int, failed []string) {
	group.Epoch++
	previous := ReplicaSet{group.Copies, group.Replicas}
	group.Copies = copies
	group.Replicas = r.chooseReplicas(members, group, failed)
	isPrevious := func(s ReplicaSet) bool {
		return s.Copies == previous.Copies && slices.Equal(s.Replicas, previous.Replicas)
	}
	if len(previous.Replicas) > 0 && !isPrevious(ReplicaSet{group.Copies, group.Replicas}) && !slices.ContainsFunc(group.EarlierSets, isPrevious) {
		group.EarlierSets = append([]ReplicaSet{previous}, group.EarlierSets...)
	}
}

// hash places a name on the ring.
func ringPosition(name string) uint64 {
	digest := fnv.New64a()
	digest.Write([]byte(name))
	// One more round: names that differ in their last byte only lie side by side otherwise.
	first := binary.LittleEndian.AppendUint64(nil, digest.Sum64())
	digest.Write(first)
	return digest.Sum64()
}
