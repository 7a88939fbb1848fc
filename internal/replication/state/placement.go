package state

import (
	"cmp"
	"slices"
)

// Where copies go, and who inherits.

// loads are how many copies each member has, and how many estates that are not its own.
func (r *Registry) countByMember() (copies, takenOver map[string]int) {
	copies, takenOver = map[string]int{}, map[string]int{}
	for _, group := range r.Groups {
		for _, replica := range group.Replicas {
			copies[replica.Name]++
		}
		if !group.Main {
			takenOver[group.Owner]++
		}
	}
	return copies, takenOver
}

// place chooses the holders of an estate: those it has, less those that have gone or have no session, and further ones
// until there are one more than make a record count. They follow its owner on a ring of all members by the hash of their
// names, so that few distinct sets come about: the loss of several machines at once seldom is that of a whole set. Other
// zones come first, and members with more than their even part of copies last.
func (r *Registry) chooseReplicas(members []Member, group *Group, failed []string) []Replica {
	wanted := group.Copies + 1
	var ring []Member
	for _, m := range members {
		if m.Addr != "" && m.Name != group.Owner && !slices.Contains(failed, m.Name) {
			ring = append(ring, m)
		}
	}
	ownerPosition, zone := ringPosition(group.Owner), ""
	if owner := findMember(members, group.Owner); owner != nil {
		zone = owner.Zone
	}
	copies, _ := r.countByMember()
	fairShare := (len(r.Groups)*wanted+len(ring))/max(1, len(ring)) + 1
	currentFolders := map[string]string{} // folders
	for _, replica := range group.Replicas {
		currentFolders[replica.Name] = replica.Folder
	}
	rank := func(m Member) int {
		switch {
		case currentFolders[m.Name] == m.Folder:
			return 0
		case copies[m.Name] >= fairShare:
			return 3
		case m.Zone == zone:
			return 2
		}
		return 1
	}
	slices.SortFunc(ring, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(ringPosition(a.Name)-ownerPosition, ringPosition(b.Name)-ownerPosition), cmp.Compare(a.Name, b.Name))
	})
	var replicas []Replica
	for _, m := range ring[:min(wanted, len(ring))] {
		replicas = append(replicas, Replica{m.Name, m.Addr, m.Folder})
	}
	// In one order, so that the same set is known for the same.
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.Name, b.Name) })
	return replicas
}

// heir is the member with the fewest estates that are not its own, one that can hold copies and is not the lost owner; the
// next on the ring among equals. Nil for none.
func (r *Registry) chooseSuccessor(members []Member, group *Group) *Member {
	_, takenOver := r.countByMember()
	ownerPosition := ringPosition(group.Owner)
	var best *Member
	for i, m := range members {
		if m.Addr == "" || m.Name == group.Owner {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(takenOver[m.Name], takenOver[best.Name]), cmp.Compare(ringPosition(m.Name)-ownerPosition, ringPosition(best.Name)-ownerPosition)) < 0 {
			best = &members[i]
		}
	}
	return best
}
