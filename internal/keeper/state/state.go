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
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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
	Turn     uint64 `json:"turn"` // by which it has confirmed to act; 0 for none yet
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

// An Event is one entry of the log. Exactly one field is set.
type Event struct {
	Join    *Join    `json:"join,omitempty"`
	Leave   *Leave   `json:"leave,omitempty"`
	Propose *Propose `json:"propose,omitempty"`
	Confirm *Confirm `json:"confirm,omitempty"`
	Reject  *Reject  `json:"reject,omitempty"`
	GiveUp  *GiveUp  `json:"give_up,omitempty"`
}

// Join begins a member's session. It replaces the session that the same instance had; one of another instance has
// to have ended.
type Join struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Before   string `json:"before,omitempty"` // the instance that it takes over from, as the next process in an upgrade
}

// Leave ends a member's session: it said so, or its lease has certainly run out.
type Leave struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
}

// Propose asks for a change of the generation in force.
type Propose struct {
	Op   string          `json:"op"`   // unique; the same call made again bears the same
	Base uint64          `json:"base"` // the generation that it changes; another one in force refuses it
	Doc  json.RawMessage `json:"doc"`
	Who  string          `json:"who"`
	Why  string          `json:"why"`
}

// Confirm says by which turn a member acts.
type Confirm struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Turn     uint64 `json:"turn"`
}

// Reject says that a member cannot act on a prepared generation.
type Reject struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Number   uint64 `json:"number"`
	Reason   string `json:"reason"`
}

// GiveUp ends a change that is not in force yet.
type GiveUp struct {
	Op     string `json:"op"`
	Number uint64 `json:"number"`
	Who    string `json:"who"`
	Why    string `json:"why"`
}

// What an event is refused with. The log has it all the same; the state is as before.
var (
	ErrUnknown  = errors.New("no such member, or another process of that name")
	ErrTaken    = errors.New("another process has the session of that name")
	ErrBase     = errors.New("another generation is in force than the one that was to be changed")
	ErrFull     = errors.New("too many changes wait already")
	ErrMembers  = errors.New("too many members")
	ErrDoc      = errors.New("the document is empty, too long or no JSON")
	ErrStage    = errors.New("the generation is not where that could be done")
	ErrBadEvent = errors.New("the event is none")
)

// Result is what an event led to.
type Result struct {
	Number  uint64 // of the generation that it made or concerns
	Changed bool   // members should hear of another turn
	Err     error  // why it was refused
}

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
	default:
		r.Err = ErrBadEvent
	}
	s.advance()
	r.Changed = s.Turn != before
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
	m := Member{Name: j.Name, Instance: j.Instance, Zone: j.Zone, Version: j.Version}
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

func (s *State) propose(p Propose) (uint64, error) {
	switch {
	case len(p.Doc) == 0 || len(p.Doc) > docMost || !json.Valid(p.Doc):
		return 0, ErrDoc
	case p.Base != s.last():
		return 0, ErrBase
	case len(s.Queue) >= waitingMost:
		return 0, ErrFull
	}
	s.Last++
	sum := sha256.Sum256(p.Doc)
	s.Queue = append(s.Queue, &Generation{Number: s.Last, Stage: Waiting, Doc: slices.Clone(p.Doc), Sum: hex.EncodeToString(sum[:]),
		Who: p.Who, Why: p.Why, Op: p.Op})
	return s.Last, nil
}

// last is the newest generation that is in force or on its way: the one that the next change builds on.
func (s *State) last() uint64 {
	switch {
	case len(s.Queue) > 0:
		return s.Queue[len(s.Queue)-1].Number
	case s.Next != nil:
		return s.Next.Number
	case s.Force != nil:
		return s.Force.Number
	}
	return 0
}

func (s *State) confirm(c Confirm) error {
	m := s.member(c.Name, c.Instance)
	if m == nil {
		return ErrUnknown
	}
	if c.Turn != s.Turn {
		return ErrStage // it heard of it late: it will confirm what holds now
	}
	m.Turn = c.Turn
	return nil
}

func (s *State) reject(r Reject) error {
	if s.member(r.Name, r.Instance) == nil {
		return ErrUnknown
	}
	if s.Next == nil || s.Next.Number != r.Number {
		return ErrStage
	}
	s.drop(s.Next, fmt.Sprintf("%s rejects it: %s", r.Name, cut(r.Reason)))
	return nil
}

func (s *State) giveUp(g GiveUp) error {
	if s.Next != nil && s.Next.Number == g.Number {
		s.drop(s.Next, fmt.Sprintf("%s gave it up: %s", g.Who, cut(g.Why)))
		return nil
	}
	for _, q := range s.Queue {
		if q.Number == g.Number {
			s.drop(q, fmt.Sprintf("%s gave it up: %s", g.Who, cut(g.Why)))
			return nil
		}
	}
	return ErrStage
}

// drop gives a change up, and those that build on it.
func (s *State) drop(g *Generation, reason string) {
	if g == s.Next {
		s.Next, s.Settling = nil, true
		s.Turn++
		s.past(g, GivenUp, reason)
	}
	for i := 0; i < len(s.Queue); {
		q := s.Queue[i]
		if q != g && q.Number < g.Number {
			i++
			continue
		}
		why := reason
		if q != g {
			why = fmt.Sprintf("it builds on generation %d, which was given up", g.Number)
		}
		s.Queue = slices.Delete(s.Queue, i, i+1)
		s.past(q, GivenUp, why)
	}
}

// past puts a generation into the history. Documents of those that never came into force are not kept.
func (s *State) past(g *Generation, stage Stage, reason string) {
	g.Stage, g.Reason = stage, reason
	if stage == GivenUp {
		g.Doc = nil
	}
	if s.History = append(s.History, g); len(s.History) > historyMost {
		s.History = slices.Delete(s.History, 0, len(s.History)-historyMost)
	}
}

// advance takes what steps are due.
func (s *State) advance() {
	for {
		waits := slices.ContainsFunc(s.Members, func(m Member) bool { return m.Turn != s.Turn })
		switch {
		case s.Next != nil && !waits:
			if s.Force != nil {
				s.past(s.Force, Past, "")
			}
			s.Force, s.Next, s.Settling = s.Next, nil, true
			s.Force.Stage = InForce
			s.Turn++
		case s.Next == nil && s.Settling && !waits:
			s.Settling = false
		case s.Next == nil && !s.Settling && len(s.Queue) > 0:
			s.Next = s.Queue[0]
			s.Queue = slices.Delete(s.Queue, 0, 1)
			s.Next.Stage = Prepared
			if s.Force != nil {
				s.Next.Base = s.Force.Number
			}
			s.Turn++
		default:
			return
		}
	}
}

// The jumps of a recovery: more than what can have been given out since the folder that it starts from was written.
const (
	skipTurns   = 1 << 20
	skipNumbers = 1 << 10
)

// Recover makes the state of one folder the one to go on from, though others had gone further: numbers and turns jump
// ahead of all that members may have heard of, and what was on its way is given up. It is no event: it happens while
// no keeper runs.
func (s *State) Recover() {
	const reason = "the keepers were recovered from one folder"
	if s.Next != nil {
		s.drop(s.Next, reason)
	}
	if len(s.Queue) > 0 {
		s.drop(s.Queue[0], reason)
	}
	s.Turn, s.Last = s.Turn+skipTurns, s.Last+skipNumbers
	s.Settling = true // members may act by what is lost
	if s.Force != nil {
		old := *s.Force
		s.past(&old, Past, reason)
		s.Force.Number, s.Force.Base = s.Last, old.Number
	}
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

// cut bounds a reason that somebody else wrote.
func cut(text string) string { return text[:min(len(text), reasonMost)] }

// check tells what makes a snapshot one that no log leads to.
func (s *State) check() error {
	if slices.Contains(s.Queue, nil) || slices.Contains(s.History, nil) {
		return errors.New("snapshot: a generation is missing")
	}
	if !slices.IsSortedFunc(s.Members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	}) {
		return errors.New("snapshot: members are out of order")
	}
	if s.Force != nil && s.Force.Stage != InForce || s.Next != nil && s.Next.Stage != Prepared {
		return errors.New("snapshot: a generation is not where its stage says")
	}
	if s.last() > s.Last || s.Next != nil && s.Force != nil && s.Next.Number <= s.Force.Number {
		return errors.New("snapshot: numbers run backwards")
	}
	return nil
}
