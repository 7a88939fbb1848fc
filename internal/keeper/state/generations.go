package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// This file implements the life cycle of generations.

func (s *State) propose(p Propose) (uint64, error) {
	switch {
	case len(p.Doc) == 0 || len(p.Doc) > maxDocumentBytes || !json.Valid(p.Doc):
		return 0, ErrInvalidDocument
	case p.Base != s.newestNumber():
		return 0, ErrStaleBase
	case len(s.Queue) >= maxQueued:
		return 0, ErrQueueFull
	}
	s.LastNumber++
	sum := sha256.Sum256(p.Doc)
	s.Queue = append(s.Queue, &Generation{Number: s.LastNumber, Stage: Waiting, Doc: slices.Clone(p.Doc), Digest: hex.EncodeToString(sum[:]),
		Who: p.Who, Why: p.Why, OperationID: p.OperationID})
	return s.LastNumber, nil
}

// newestNumber returns the number of the newest generation that is in effect, prepared or queued. The next change
// builds on it. It is 0 if there is none.
func (s *State) newestNumber() uint64 {
	switch {
	case len(s.Queue) > 0:
		return s.Queue[len(s.Queue)-1].Number
	case s.Prepared != nil:
		return s.Prepared.Number
	case s.Effective != nil:
		return s.Effective.Number
	}
	return 0
}

func (s *State) confirm(c Confirm) error {
	m := s.member(c.Name, c.Instance)
	if m == nil {
		return ErrUnknownMember
	}
	if c.Revision != s.Revision {
		return ErrWrongStage // a late confirmation of an earlier revision; the member will confirm the present one
	}
	m.Revision = c.Revision
	return nil
}

func (s *State) reject(r Reject) error {
	if s.member(r.Name, r.Instance) == nil {
		return ErrUnknownMember
	}
	if s.Prepared == nil || s.Prepared.Number != r.Number {
		return ErrWrongStage
	}
	s.abandon(s.Prepared, fmt.Sprintf("%s rejects it: %s", r.Name, truncateReason(r.Reason)))
	return nil
}

func (s *State) giveUp(g GiveUp) error {
	if s.Prepared != nil && s.Prepared.Number == g.Number {
		s.abandon(s.Prepared, fmt.Sprintf("%s gave it up: %s", g.Who, truncateReason(g.Why)))
		return nil
	}
	for _, q := range s.Queue {
		if q.Number == g.Number {
			s.abandon(q, fmt.Sprintf("%s gave it up: %s", g.Who, truncateReason(g.Why)))
			return nil
		}
	}
	return ErrWrongStage
}

// abandon gives up a change that is prepared or queued, and all queued changes that build on it.
func (s *State) abandon(g *Generation, reason string) {
	if g == s.Prepared {
		s.Prepared, s.Settling = nil, true
		s.Revision++
		s.archive(g, GivenUp, reason)
	}
	for i := 0; i < len(s.Queue); {
		q := s.Queue[i]
		if q != g && q.Number < g.Number {
			i++
			continue
		}
		queuedReason := reason
		if q != g {
			queuedReason = fmt.Sprintf("it builds on generation %d, which was given up", g.Number)
		}
		s.Queue = slices.Delete(s.Queue, i, i+1)
		s.archive(q, GivenUp, queuedReason)
	}
}

// archive appends a generation to the history. The documents of generations that never came into effect are not stored.
func (s *State) archive(g *Generation, stage Stage, reason string) {
	g.Stage, g.Reason = stage, reason
	if stage == GivenUp {
		g.Doc = nil
	}
	if s.History = append(s.History, g); len(s.History) > maxHistory {
		s.History = slices.Delete(s.History, 0, len(s.History)-maxHistory)
	}
}

// advance takes the next steps for as long as no step waits for a member's confirmation.
func (s *State) advance() {
	for {
		unconfirmed := slices.ContainsFunc(s.Members, func(m Member) bool { return m.Revision != s.Revision })
		switch {
		case s.Prepared != nil && !unconfirmed:
			if s.Effective != nil {
				s.archive(s.Effective, Superseded, "")
			}
			s.Effective, s.Prepared, s.Settling = s.Prepared, nil, true
			s.Effective.Stage = InEffect
			s.Revision++
		case s.Prepared == nil && s.Settling && !unconfirmed:
			s.Settling = false
		case s.Prepared == nil && !s.Settling && len(s.Queue) > 0:
			s.Prepared = s.Queue[0]
			s.Queue = slices.Delete(s.Queue, 0, 1)
			s.Prepared.Stage = Prepared
			if s.Effective != nil {
				s.Prepared.Base = s.Effective.Number
			}
			s.Revision++
		default:
			return
		}
	}
}

// Recover increases the revision and the last number by these amounts. They exceed what can have been assigned since
// the folder that the recovery starts from was last written.
const (
	recoverySkipRevisions = 1 << 20
	recoverySkipNumbers   = 1 << 10
)

// Recover prepares the state of one folder to be the keepers' state from now on, although other keepers may have had
// later entries. Numbers and revisions jump ahead of all that members may have received, and changes that are prepared
// or queued are given up. It is not an event: it may only be called while no keeper runs.
func (s *State) Recover() {
	const reason = "the keepers were recovered from one folder"
	if s.Prepared != nil {
		s.abandon(s.Prepared, reason)
	}
	if len(s.Queue) > 0 {
		s.abandon(s.Queue[0], reason)
	}
	s.Revision, s.LastNumber = s.Revision+recoverySkipRevisions, s.LastNumber+recoverySkipNumbers
	s.Settling = true // members may act by a generation that is lost
	if s.Effective != nil {
		previous := *s.Effective
		s.archive(&previous, Superseded, reason)
		s.Effective.Number, s.Effective.Base = s.LastNumber, previous.Number
	}
}

// truncateReason limits a reason that a client wrote to maxReasonBytes.
func truncateReason(text string) string { return text[:min(len(text), maxReasonBytes)] }

// validate returns an error if no log can lead to this state, as after a damaged snapshot.
func (s *State) validate() error {
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
	if s.Effective != nil && s.Effective.Stage != InEffect || s.Prepared != nil && s.Prepared.Stage != Prepared {
		return errors.New("snapshot: the stage of a generation does not match its place")
	}
	for i, group := range s.Groups.Groups {
		if group == nil || group.ID > s.Groups.LastID || i > 0 && s.Groups.Groups[i-1].ID >= group.ID {
			return errors.New("snapshot: a replication group is missing or out of order")
		}
	}
	if s.newestNumber() > s.LastNumber || s.Prepared != nil && s.Effective != nil && s.Prepared.Number <= s.Effective.Number {
		return errors.New("snapshot: generation numbers decrease")
	}
	return nil
}
