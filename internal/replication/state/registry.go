// Package state contains the decisions of replication as deterministic state machines: which relay owns a replication group and
// which replicas store its copies (Registry, applied from the keepers' log), which records a replica accepts from which writer
// (Copy), and from when on a record is committed (Writer). Nothing here reads a clock, opens a file or depends on the
// iteration order of a map. docs/estates.md has the design.
package state

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
)

// Limits of what the keepers store about replication groups.
const (
	maxCopies      = 4     // copies that a group may require to commit a record
	maxEarlierSets = 8     // earlier replica sets that a group may have beside the current one
	maxGroups      = 32768 // twice the maximum number of members
)

// Member is a relay that has a session with the keepers, with what replication needs to know about it.
type Member struct {
	Name, Instance, Zone string
	Addr                 string // where it accepts copies; empty for a relay that stores none
	Folder               string // name of the folder that it stores them in: a relay that lost its disk has another one
}

// Replica is a relay that stores a copy of a group.
type Replica struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Folder string `json:"folder"` // name of the folder with the copy: without that folder it has lost the copy
}

// Group is a replication group, the record stream of a relay, as the keepers store it.
type Group struct {
	ID     uint64 `json:"id"`
	Name   string `json:"name"`  // of the relay that accepted the messages in it
	Epoch  uint64 `json:"epoch"` // increases with each change of the writer or the replicas
	Owner  string `json:"owner"`
	Writer string `json:"writer"` // instance name of the owner's process
	// Main says that the owner accepts new messages into the group. A group that was taken over only delivers what is pending.
	Main     bool      `json:"main"`
	Copies   int       `json:"copies"` // number of replicas that must have a record for it to be committed
	Replicas []Replica `json:"holders"`
	// EarlierSets are earlier replica sets, newest first. Each may have records that were committed to it, and is listed until
	// the current set has a complete copy.
	EarlierSets []ReplicaSet `json:"before,omitempty"`
}

// ReplicaSet is a set of replicas, of which Copies must have a record for it to be committed.
type ReplicaSet struct {
	Copies   int       `json:"copies"`
	Replicas []Replica `json:"holders"`
}

// PromisesNeeded returns how many replicas of the set must promise themselves to a new writer. After that, too few are left for
// an older writer to commit a record, and at least one of those that promised has each committed record. It is 0 if the set
// is too small to commit any record.
func (s ReplicaSet) PromisesNeeded() int { return max(0, len(s.Replicas)-s.Copies+1) }

// ReplicaSets returns the current and earlier replica sets, that is all that may have committed records.
func (g *Group) ReplicaSets() []ReplicaSet {
	return append([]ReplicaSet{{g.Copies, g.Replicas}}, g.EarlierSets...)
}

// Registry contains all replication groups, sorted by id. Its fields are exported for snapshots; only Apply changes them.
type Registry struct {
	LastID uint64   `json:"last"` // id that was assigned last; ids are not reused
	Groups []*Group `json:"estates"`
}

// Apply applies the next event of the log. members are the relays that have a session, sorted by name. It
// returns a *Refusal if the event is refused.
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

// Find returns the group with an id, or nil if there is none.
func (r *Registry) Find(id uint64) *Group {
	i, ok := slices.BinarySearchFunc(r.Groups, id, func(group *Group, id uint64) int { return cmp.Compare(group.ID, id) })
	if !ok {
		return nil
	}
	return r.Groups[i]
}

// OwnedBy returns the groups that a relay owns, sorted by id.
func (r *Registry) OwnedBy(name string) (groups []*Group) {
	for _, group := range r.Groups {
		if group.Owner == name {
			groups = append(groups, group)
		}
	}
	return groups
}

// Fingerprint returns a hash of a list of groups, to detect changes. It changes with each epoch, replica set and writer.
func Fingerprint(groups []*Group) string {
	digest := fnv.New64a()
	for _, group := range groups {
		fmt.Fprint(digest, group.ID, group.Epoch, group.Writer, len(group.EarlierSets), group.Replicas)
	}
	return fmt.Sprintf("%x", digest.Sum64())
}

// currentGroup returns the group that a writer refers to, or ErrStaleEpoch if it is no longer the writer in that epoch.
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

// beginEpoch starts a group's next epoch, with a new replica set that excludes the failed members. The previous set is
// recorded in EarlierSets until the new one has a complete copy.
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

// ringPosition returns the position of a name on the hash ring.
func ringPosition(name string) uint64 {
	digest := fnv.New64a()
	digest.Write([]byte(name))
	// A second round of hashing, as names that differ only in their last byte would be neighbours on the ring otherwise.
	first := binary.LittleEndian.AppendUint64(nil, digest.Sum64())
	digest.Write(first)
	return digest.Sum64()
}
