package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// How generations follow on each other.

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
	for i, e := range s.Estates.Groups {
		if e == nil || e.ID > s.Estates.LastID || i > 0 && s.Estates.Groups[i-1].ID >= e.ID {
			return errors.New("snapshot: an estate is missing or out of order")
		}
	}
	if s.last() > s.Last || s.Next != nil && s.Force != nil && s.Next.Number <= s.Force.Number {
		return errors.New("snapshot: numbers run backwards")
	}
	return nil
}
