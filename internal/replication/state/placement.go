package state

import (
	"cmp"
	"slices"
)

// The choice of replicas and successors.

// countByMember returns, by member name, the number of copies stored and the number of groups taken over from other relays.
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

// chooseReplicas returns the replicas of a group: the current ones, except those that failed or have no session, and further
// members until there is one more than a commit requires. Members are taken in the order in which they follow the owner on
// a ring of all members by the hash of their names. This yields few distinct sets, so the loss of several machines at once
// seldom is the loss of a whole set. Members of other zones are preferred to those of the owner's zone, and members that
// have more than a fair share of the copies come last.
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
	currentFolders := map[string]string{} // by replica name
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
	// Sorted, so that equal sets compare as equal.
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.Name, b.Name) })
	return replicas
}

// chooseSuccessor returns the member that takes a group over: of those that can store copies and are not the lost owner, the
// one that has taken over the fewest groups, and among equals the next on the ring. It returns nil if there is none.
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
