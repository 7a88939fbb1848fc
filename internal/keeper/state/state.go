// Package state is what keepers agree on: members, generations, and where a change of them stands. It is a pure
// state machine. Each keeper applies the same events in the order of one log and gets the same state; nothing here
// reads a clock, draws a number, or goes through a map in an order of its own.
//
// A change goes in two steps, so that at most two neighbouring generations are ever in use. First it is prepared:
// each member acts on the join of old and new, which is what both allow, and confirms it. When all have, or their
// sessions have ended, it is in force. The next change begins when all have confirmed that. A member that rejects a
// change while it is prepared has it given up: those who act on the join go back to the old generation, which the
// join does not contradict, and the next change waits for them in the same way.
//
// Sessions end by an event. Whoever leads records it once a member's lease has certainly run out by the member's
// own clock; see docs/keepers.md for why that can be known.
package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	estates "larchrouter/internal/replication/state"
)

// Bounds of what is held, so that no sequence of events makes the state grow for ever.
const (
	waitingMost = 32  // changes that wait for their turn
	historyMost = 64  // generations remembered, with their documents
	opsMost     = 512 // operators' calls whose answer is remembered
	membersMost = 16384
	docMost     = 8 << 20 // bytes of a document
	reasonMost  = 500     // bytes of a reason
)

// Stage is where a generation stands.
type Stage string

// The stages. A generation goes Waiting, Prepared, InForce, Past; or from either of the first two to GivenUp.
const (
	Waiting  Stage = "waiting"
	Prepared Stage = "prepared" // members act on the join of it and the one in force
	InForce  Stage = "in force"
	Past     Stage = "past"
	GivenUp  Stage = "given up"
)

// Generation is one numbered document. Numbers grow by one and are never used again.
type Generation struct {
	Number uint64          `json:"number"`
	Base   uint64          `json:"base"` // the one in force as it was prepared
	Stage  Stage           `json:"stage"`
	Doc    json.RawMessage `json:"doc,omitempty"`
	Sum    string          `json:"sum"` // of the document
	Who    string          `json:"who"`
	Why    string          `json:"why"`
	Op     string          `json:"op"`               // the call that asked for it
	Reason string          `json:"reason,omitempty"` // why it was given up
}

// Member is one relay that has a session.
type Member struct {
	Name     string `json:"name"`
	Instance string `json:"instance"` // of the process: a name used twice is told by it
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Turn     uint64 `json:"turn"`           // by which it has confirmed to act; 0 for none yet
	Addr     string `json:"addr,omitempty"` // where it takes copies of estates; empty for nowhere
	Folder   string `json:"folder,omitempty"`
}

// State is what the log has led to. Its fields are exported for snapshots; only Apply changes them.
type State struct {
	Applied uint64 `json:"applied"` // events
	// Turn counts what members were to act by: it grows with each generation that is prepared, comes into force or is
	// given up while prepared. A member takes up turns in their order only, so one that has confirmed a turn will
	// not act by an earlier one that it heard of and has yet to take up.
	Turn    uint64        `json:"turn"`
	Last    uint64        `json:"last"`    // number given last
	Members []Member      `json:"members"` // by name
	Force   *Generation   `json:"force"`   // nil before the first
	Next    *Generation   `json:"next"`    // prepared; nil for none
	Queue   []*Generation `json:"queue"`
	History []*Generation `json:"history"` // the oldest first
	Ops     []Op          `json:"ops"`     // the oldest first
	// Settling says that no change is prepared, and that members may still act by an earlier turn: the join of a
	// generation that is now in force, or of one that was given up.
	Settling bool `json:"settling"`
	// Estates are who owns what relays hold for others, and who has copies.
	Estates estates.Registry `json:"estates"`
}

// Op is an operator's call and its answer, kept so that a call that is made again after its answer was lost does not
// act twice.
type Op struct {
	ID     string `json:"id"`
	Number uint64 `json:"number,omitempty"`
	Error  string `json:"error,omitempty"`
}

// New is the state before any event.
func New() *State { return &State{} }

// Restore is the state that a snapshot holds.
func Restore(snapshot []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(snapshot, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return s, s.check()
}

// Snapshot is the state as bytes. Equal states have equal bytes.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Apply takes in the next event of the log.
func (s *State) Apply(e Event) Result {
	s.Applied++
	before := s.Turn
	var r Result
	switch {
	case e.Join != nil:
		r.Err = s.join(*e.Join)
	case e.Leave != nil:
		r.Err = s.leave(*e.Leave)
	case e.Propose != nil:
		r = s.once(e.Propose.Op, func() (uint64, error) { return s.propose(*e.Propose) })
	case e.Confirm != nil:
		r.Err = s.confirm(*e.Confirm)
	case e.Reject != nil:
		r.Number, r.Err = e.Reject.Number, s.reject(*e.Reject)
	case e.GiveUp != nil:
		r = s.once(e.GiveUp.Op, func() (uint64, error) { return e.GiveUp.Number, s.giveUp(*e.GiveUp) })
	case e.Estate != nil:
		r.Err = s.Estates.Apply(s.holders(), *e.Estate)
		r.Changed = r.Err == nil
	default:
		r.Err = ErrBadEvent
	}
	s.advance()
	r.Changed = r.Changed || s.Turn != before
	return r
}

// once answers a call that was made before as it was answered then.
func (s *State) once(op string, do func() (uint64, error)) Result {
	if op == "" {
		return Result{Err: ErrBadEvent}
	}
	if i := slices.IndexFunc(s.Ops, func(o Op) bool { return o.ID == op }); i >= 0 {
		r := Result{Number: s.Ops[i].Number}
		if s.Ops[i].Error != "" {
			r.Err = errors.New(s.Ops[i].Error)
		}
		return r
	}
	n, err := do()
	o := Op{ID: op, Number: n}
	if err != nil {
		o.Error = err.Error()
	}
	if s.Ops = append(s.Ops, o); len(s.Ops) > opsMost {
		s.Ops = slices.Delete(s.Ops, 0, len(s.Ops)-opsMost)
	}
	return Result{Number: n, Err: err}
}

// holders are the members as estates know them.
func (s *State) holders() []estates.Member {
	all := make([]estates.Member, len(s.Members))
	for i, m := range s.Members {
		all[i] = estates.Member{Name: m.Name, Instance: m.Instance, Zone: m.Zone, Addr: m.Addr, Folder: m.Folder}
	}
	return all
}

// find is where a member is, or where it would be.
func (s *State) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Members, name, func(m Member, name string) int {
		switch {
		case m.Name < name:
			return -1
		case m.Name > name:
			return 1
		}
		return 0
	})
}

// member is the session of a process, or nil.
func (s *State) member(name, instance string) *Member {
	if i, ok := s.find(name); ok && s.Members[i].Instance == instance {
		return &s.Members[i]
	}
	return nil
}

func (s *State) join(j Join) error {
	if j.Name == "" || j.Instance == "" {
		return ErrBadEvent
	}
	m := Member{Name: j.Name, Instance: j.Instance, Zone: j.Zone, Version: j.Version, Addr: j.Addr, Folder: j.Folder}
	i, ok := s.find(j.Name)
	switch {
	case ok && s.Members[i].Instance != j.Instance && (j.Before == "" || s.Members[i].Instance != j.Before):
		return ErrTaken
	case ok:
		// What the one before confirmed binds the next only once it says so itself.
		s.Members[i] = m
	case len(s.Members) >= membersMost:
		return ErrMembers
	default:
		s.Members = slices.Insert(s.Members, i, m)
	}
	return nil
}

func (s *State) leave(l Leave) error {
	i, ok := s.find(l.Name)
	if !ok || s.Members[i].Instance != l.Instance {
		return ErrUnknown
	}
	s.Members = slices.Delete(s.Members, i, i+1)
	return nil
}

// Pending names the members that the next step waits for.
func (s *State) Pending() (names []string) {
	if s.Next == nil && !s.Settling {
		return nil
	}
	for _, m := range s.Members {
		if m.Turn != s.Turn {
			names = append(names, m.Name)
		}
	}
	return names
}

// Generation finds one by its number among those that are remembered.
func (s *State) Generation(number uint64) *Generation {
	for _, g := range append([]*Generation{s.Force, s.Next}, append(slices.Clone(s.Queue), s.History...)...) {
		if g != nil && g.Number == number {
			return g
		}
	}
	return nil
}
