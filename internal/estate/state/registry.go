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
	copiesMost  = 4
	beforeMost  = 8     // sets that an estate may have on record beside the one that is written to
	estatesMost = 32768 // twice the members
)

// Member is a relay that has a session, as far as estates need to know it.
type Member struct {
	Name, Instance, Zone string
	Addr                 string // where it takes copies; empty for one that holds none
	Folder               string // names the folder that it keeps them in: one that lost its disk has another
}

// Holder is a relay that has a copy.
type Holder struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Folder string `json:"folder"` // in which it keeps it: without that it has forgotten what it had
}

// Estate is one as the keepers have it.
type Estate struct {
	ID     uint64 `json:"id"`
	Name   string `json:"name"`  // of the relay that took on what is in it
	Epoch  uint64 `json:"epoch"` // grows with each change of writer or holders
	Owner  string `json:"owner"`
	Writer string `json:"writer"` // the owner's process
	// Main says that its owner takes on new messages in it; one that was inherited only runs out.
	Main    bool     `json:"main"`
	Copies  int      `json:"copies"` // holders that make a record count
	Holders []Holder `json:"holders"`
	// Before are earlier sets, of which each may have what counted then: until the present one has the whole.
	Before []Set `json:"before,omitempty"`
}

// Set is holders, of which so many made a record count.
type Set struct {
	Copies  int      `json:"copies"`
	Holders []Holder `json:"holders"`
}

// Need is how many of a set have to promise themselves to a writer: then no older one finds as many as it takes, and one of
// them has whatever counted. None are needed where nothing can have counted.
func (s Set) Need() int { return max(0, len(s.Holders)-s.Copies+1) }

// Sets are all sets of holders that may have what counts.
func (e *Estate) Sets() []Set { return append([]Set{{e.Copies, e.Holders}}, e.Before...) }

// Registry is all estates. Its fields are exported for snapshots; only Apply changes them.
type Registry struct {
	Last    uint64    `json:"last"` // id given last; none is used twice
	Estates []*Estate `json:"estates"`
}

// Apply takes in the next event of the log. Members are those with a session, by name.
func (r *Registry) Apply(members []Member, e Event) error {
	switch {
	case e.Open != nil:
		return r.open(members, *e.Open)
	case e.Replace != nil:
		return r.replace(members, *e.Replace)
	case e.Filled != nil:
		est, err := r.written(*e.Filled)
		if err == nil {
			est.Before = nil
		}
		return err
	case e.Close != nil:
		est, err := r.written(*e.Close)
		if err != nil {
			return err
		}
		if est.Main {
			return ErrOver
		}
		r.Estates = slices.DeleteFunc(r.Estates, func(o *Estate) bool { return o == est })
		return nil
	case e.Inherit != nil:
		return r.inherit(members, *e.Inherit)
	}
	return ErrEvent
}

// Find is an estate by its number; nil for none.
func (r *Registry) Find(id uint64) *Estate {
	i, ok := slices.BinarySearchFunc(r.Estates, id, func(e *Estate, id uint64) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return r.Estates[i]
}

// Owned are the estates of a relay, by number.
func (r *Registry) Owned(name string) (all []*Estate) {
	for _, e := range r.Estates {
		if e.Owner == name {
			all = append(all, e)
		}
	}
	return all
}

// Mark tells two lists of estates apart: it changes with each epoch, set and owner.
func Mark(all []*Estate) string {
	h := fnv.New64a()
	for _, e := range all {
		fmt.Fprint(h, e.ID, e.Epoch, e.Writer, len(e.Before), e.Holders)
	}
	return fmt.Sprintf("%x", h.Sum64())
}

// written is the estate that a writer speaks of, if it still is its writer.
func (r *Registry) written(w Word) (*Estate, error) {
	e := r.Find(w.ID)
	if e == nil || e.Epoch != w.Epoch || e.Writer != w.Instance {
		return nil, ErrOver
	}
	return e, nil
}

func member(members []Member, name string) *Member {
	for i := range members {
		if members[i].Name == name {
			return &members[i]
		}
	}
	return nil
}

func (r *Registry) open(members []Member, o Open) error {
	m := member(members, o.Name)
	switch {
	case m == nil || m.Instance != o.Instance:
		return ErrMember
	case o.Copies < 1 || o.Copies > copiesMost:
		return ErrCopies
	}
	main := false
	for _, e := range r.Owned(o.Name) {
		main = main || e.Main
		if e.Writer == o.Instance {
			continue
		}
		e.Writer = o.Instance
		r.next(members, e, o.Copies, nil)
	}
	if main {
		return nil
	}
	if len(r.Estates) >= estatesMost {
		return ErrMost
	}
	r.Last++
	e := &Estate{ID: r.Last, Name: o.Name, Owner: o.Name, Writer: o.Instance, Main: true}
	r.Estates = append(r.Estates, e)
	r.next(members, e, o.Copies, nil)
	return nil
}

func (r *Registry) replace(members []Member, p Replace) error {
	e, err := r.written(p.Word)
	if err != nil {
		return err
	}
	if len(e.Before) >= beforeMost {
		return ErrSets
	}
	if next := r.place(members, e, p.Gone); len(next) < len(e.Holders) || slices.Equal(next, e.Holders) {
		return ErrShort
	}
	r.next(members, e, e.Copies, p.Gone)
	return nil
}

func (r *Registry) inherit(members []Member, n Inherit) error {
	e := r.Find(n.ID)
	if e == nil || e.Epoch != n.Epoch {
		return ErrOver
	}
	if member(members, e.Owner) != nil {
		return ErrPresent
	}
	heir := r.heir(members, e)
	if heir == nil {
		return ErrShort
	}
	e.Owner, e.Writer, e.Main = heir.Name, heir.Instance, false
	r.next(members, e, e.Copies, nil)
	return nil
}

// next begins another epoch of an estate, with a set of holders without those that have gone. The set before stays on
// record until this one has the whole.
func (r *Registry) next(members []Member, e *Estate, copies int, gone []string) {
	e.Epoch++
	old := Set{e.Copies, e.Holders}
	e.Copies = copies
	e.Holders = r.place(members, e, gone)
	same := func(s Set) bool { return s.Copies == old.Copies && slices.Equal(s.Holders, old.Holders) }
	if len(old.Holders) > 0 && !same(Set{e.Copies, e.Holders}) && !slices.ContainsFunc(e.Before, same) {
		e.Before = append([]Set{old}, e.Before...)
	}
}

// hash places a name on the ring.
func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	// One more round: names that differ in their last byte only lie side by side otherwise.
	v := binary.LittleEndian.AppendUint64(nil, h.Sum64())
	h.Write(v)
	return h.Sum64()
}
