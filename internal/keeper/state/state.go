// Package state is the deterministic state machine that the keepers replicate: members, configuration generations, the
// progress of a change, and replication groups. Each keeper applies the same events in the order of one log and reaches
// the same state, so nothing here reads a clock, draws a random number, or depends on the iteration order of a map.
//
// A change has two steps, so that at most two neighbouring generations are in use at any time. First it is prepared:
// each member acts by the join of the old and the new generation, which is what both allow, and confirms it. When all
// members have confirmed, or their sessions have ended, the new generation is in effect. The next change begins when
// all members have confirmed that as well. If a member rejects a prepared change, the change is given up: members that
// act by the join return to the old generation, which the join does not contradict, and the next change waits for their
// confirmation in the same way.
//
// Sessions end by an event. The leader records it once a member's lease has certainly expired by the member's own
// clock; docs/keepers.md explains why the leader can know that.
package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	replicationstate "larchrouter/internal/replication/state"
)

// Limits of the state, so that no sequence of events makes it grow without bound.
const (
	maxQueued        = 32  // changes that wait in the queue
	maxHistory       = 64  // superseded and given-up generations in the history
	maxOperations    = 512 // operations whose result is remembered, so that a repeated call gets the same answer
	maxMembers       = 16384
	maxDocumentBytes = 8 << 20 // size of a document
	maxReasonBytes   = 500     // size of a reason
)

// Stage is the stage of a generation's life cycle.
type Stage string

// The stages. A generation passes through Waiting, Prepared, InEffect and Superseded, or goes from one of the first two
// to GivenUp.
const (
	Waiting    Stage = "waiting"
	Prepared   Stage = "prepared" // members act by the join of it and the generation in effect
	InEffect   Stage = "in force"
	Superseded Stage = "past"
	GivenUp    Stage = "given up"
)

// Generation is one numbered version of the configuration document. Numbers increase by one, except in a recovery, and
// are never reused.
type Generation struct {
	Number      uint64          `json:"number"`
	Base        uint64          `json:"base"` // number of the generation that was in effect when this one was prepared
	Stage       Stage           `json:"stage"`
	Doc         json.RawMessage `json:"doc,omitempty"`
	Digest      string          `json:"sum"` // SHA-256 of the document, hexadecimal
	Who         string          `json:"who"`
	Why         string          `json:"why"`
	OperationID string          `json:"op"`               // operation that proposed it
	Reason      string          `json:"reason,omitempty"` // why it was given up, or superseded by a recovery
}

// Member is one relay that has a session.
type Member struct {
	Name     string `json:"name"`
	Instance string `json:"instance"` // identifies the process; two processes with the same name differ in it
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Revision uint64 `json:"turn"`             // revision that the member has confirmed to act by; 0 for none yet
	Addr     string `json:"addr,omitempty"`   // address at which it accepts copies of replication groups; empty if it accepts none
	Folder   string `json:"folder,omitempty"` // folder in which it stores these copies
}

// State is the replicated state. Its fields are exported for snapshots; only Apply and Recover change them.
type State struct {
	Applied uint64 `json:"applied"` // number of events applied
	// Revision counts the changes of what members have to act by: it increases when a generation is prepared, comes into
	// effect, or is given up while prepared. A member applies revisions in increasing order only, so a member that has
	// confirmed a revision will not act by an earlier one that it has received and not yet applied.
	Revision   uint64        `json:"turn"`
	LastNumber uint64        `json:"last"`    // generation number assigned last
	Members    []Member      `json:"members"` // sorted by name
	Effective  *Generation   `json:"force"`   // generation in effect; nil before the first
	Prepared   *Generation   `json:"next"`    // prepared generation; nil for none
	Queue      []*Generation `json:"queue"`
	History    []*Generation `json:"history"` // oldest first
	Operations []Operation   `json:"ops"`     // oldest first
	// Settling is set while no change is prepared, but members may still act by an earlier revision: the join with a
	// generation that is now in effect, or with one that was given up.
	Settling bool `json:"settling"`
	// Groups records the owner and the replicas of each replication group.
	Groups replicationstate.Registry `json:"estates"`
}

// Operation is an operator's call and its answer. It is stored so that a call that is repeated because its answer was
// lost does not act twice.
type Operation struct {
	ID     string `json:"id"`
	Number uint64 `json:"number,omitempty"`
	Error  string `json:"error,omitempty"`
}

// New returns the state before any event.
func New() *State { return &State{} }

// Restore returns the state that a snapshot holds, with an error if the snapshot cannot be read or is inconsistent.
func Restore(snapshot []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(snapshot, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return s, s.validate()
}

// Snapshot returns the state in serialized form. Equal states have equal bytes.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Apply applies the next event of the log.
func (s *State) Apply(e Event) Result {
	s.Applied++
	previousRevision := s.Revision
	var r Result
	switch {
	case e.Join != nil:
		r.Err = s.join(*e.Join)
	case e.Leave != nil:
		r.Err = s.leave(*e.Leave)
	case e.Propose != nil:
		r = s.applyOnce(e.Propose.OperationID, func() (uint64, error) { return s.propose(*e.Propose) })
	case e.Confirm != nil:
		r.Err = s.confirm(*e.Confirm)
	case e.Reject != nil:
		r.Number, r.Err = e.Reject.Number, s.reject(*e.Reject)
	case e.GiveUp != nil:
		r = s.applyOnce(e.GiveUp.OperationID, func() (uint64, error) { return e.GiveUp.Number, s.giveUp(*e.GiveUp) })
	case e.Group != nil:
		r.Err = s.Groups.Apply(s.groupMembers(), *e.Group)
		r.Changed = r.Err == nil
	default:
		r.Err = ErrInvalidEvent
	}
	s.advance()
	r.Changed = r.Changed || s.Revision != previousRevision
	return r
}

// applyOnce calls apply unless the operation has been applied before; then it returns the result of that time.
func (s *State) applyOnce(operationID string, apply func() (uint64, error)) Result {
	if operationID == "" {
		return Result{Err: ErrInvalidEvent}
	}
	if i := slices.IndexFunc(s.Operations, func(operation Operation) bool { return operation.ID == operationID }); i >= 0 {
		r := Result{Number: s.Operations[i].Number}
		if s.Operations[i].Error != "" {
			r.Err = errors.New(s.Operations[i].Error)
		}
		return r
	}
	number, err := apply()
	operation := Operation{ID: operationID, Number: number}
	if err != nil {
		operation.Error = err.Error()
	}
	if s.Operations = append(s.Operations, operation); len(s.Operations) > maxOperations {
		s.Operations = slices.Delete(s.Operations, 0, len(s.Operations)-maxOperations)
	}
	return Result{Number: number, Err: err}
}

// groupMembers returns the members as the registry of replication groups needs them.
func (s *State) groupMembers() []replicationstate.Member {
	members := make([]replicationstate.Member, len(s.Members))
	for i, m := range s.Members {
		members[i] = replicationstate.Member{Name: m.Name, Instance: m.Instance, Zone: m.Zone, Addr: m.Addr, Folder: m.Folder}
	}
	return members
}

// findMember returns the index of a member and true, or the index at which to insert it and false.
func (s *State) findMember(name string) (int, bool) {
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

// member returns the session of a process, or nil if it has none.
func (s *State) member(name, instance string) *Member {
	if i, ok := s.findMember(name); ok && s.Members[i].Instance == instance {
		return &s.Members[i]
	}
	return nil
}

func (s *State) join(j Join) error {
	if j.Name == "" || j.Instance == "" {
		return ErrInvalidEvent
	}
	member := Member{Name: j.Name, Instance: j.Instance, Zone: j.Zone, Version: j.Version, Addr: j.Addr, Folder: j.Folder}
	i, ok := s.findMember(j.Name)
	switch {
	case ok && s.Members[i].Instance != j.Instance && (j.Predecessor == "" || s.Members[i].Instance != j.Predecessor):
		return ErrNameInUse
	case ok:
		// A confirmation by the predecessor does not count for its successor, which confirms for itself.
		s.Members[i] = member
	case len(s.Members) >= maxMembers:
		return ErrTooManyMembers
	default:
		s.Members = slices.Insert(s.Members, i, member)
	}
	return nil
}

func (s *State) leave(l Leave) error {
	i, ok := s.findMember(l.Name)
	if !ok || s.Members[i].Instance != l.Instance {
		return ErrUnknownMember
	}
	s.Members = slices.Delete(s.Members, i, i+1)
	return nil
}

// Pending returns the names of the members that the next step waits for.
func (s *State) Pending() (names []string) {
	if s.Prepared == nil && !s.Settling {
		return nil
	}
	for _, m := range s.Members {
		if m.Revision != s.Revision {
			names = append(names, m.Name)
		}
	}
	return names
}

// Generation returns the generation of a number, or nil if there is none or it is no longer in the history.
func (s *State) Generation(number uint64) *Generation {
	for _, g := range append([]*Generation{s.Effective, s.Prepared}, append(slices.Clone(s.Queue), s.History...)...) {
		if g != nil && g.Number == number {
			return g
		}
	}
	return nil
}
