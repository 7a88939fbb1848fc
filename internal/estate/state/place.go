package state

import (
	"cmp"
	"slices"
)

// Where copies go, and who inherits.

// loads are how many copies each member has, and how many estates that are not its own.
func (r *Registry) loads() (copies, inherited map[string]int) {
	copies, inherited = map[string]int{}, map[string]int{}
	for _, e := range r.Estates {
		for _, h := range e.Holders {
			copies[h.Name]++
		}
		if !e.Main {
			inherited[e.Owner]++
		}
	}
	return copies, inherited
}

// place chooses the holders of an estate: those it has, less those that have gone or have no session, and further ones
// until there are one more than make a record count. They follow its owner on a ring of all members by the hash of their
// names, so that few distinct sets come about: the loss of several machines at once seldom is that of a whole set. Other
// zones come first, and members with more than their even part of copies last.
func (r *Registry) place(members []Member, e *Estate, gone []string) []Holder {
	want := e.Copies + 1
	var ring []Member
	for _, m := range members {
		if m.Addr != "" && m.Name != e.Owner && !slices.Contains(gone, m.Name) {
			ring = append(ring, m)
		}
	}
	at, zone := hash(e.Owner), ""
	if o := member(members, e.Owner); o != nil {
		zone = o.Zone
	}
	copies, _ := r.loads()
	even := (len(r.Estates)*want+len(ring))/max(1, len(ring)) + 1
	kept := map[string]string{} // folders
	for _, h := range e.Holders {
		kept[h.Name] = h.Folder
	}
	rank := func(m Member) int {
		switch {
		case kept[m.Name] == m.Folder:
			return 0
		case copies[m.Name] >= even:
			return 3
		case m.Zone == zone:
			return 2
		}
		return 1
	}
	slices.SortFunc(ring, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash(a.Name)-at, hash(b.Name)-at), cmp.Compare(a.Name, b.Name))
	})
	var set []Holder
	for _, m := range ring[:min(want, len(ring))] {
		set = append(set, Holder{m.Name, m.Addr, m.Folder})
	}
	// In one order, so that the same set is known for the same.
	slices.SortFunc(set, func(a, b Holder) int { return cmp.Compare(a.Name, b.Name) })
	return set
}

// heir is the member with the fewest estates that are not its own, one that can hold copies and is not the lost owner; the
// next on the ring among equals. Nil for none.
func (r *Registry) heir(members []Member, e *Estate) *Member {
	_, inherited := r.loads()
	at := hash(e.Owner)
	var best *Member
	for i, m := range members {
		if m.Addr == "" || m.Name == e.Owner {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(inherited[m.Name], inherited[best.Name]), cmp.Compare(hash(m.Name)-at, hash(best.Name)-at)) < 0 {
			best = &members[i]
		}
	}
	return best
}
