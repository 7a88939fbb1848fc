package state

import "fmt"

// Event is a change of the registry. Exactly one field is set.
type Event struct {
	Open        *Open       `json:"open,omitempty"`
	Replace     *Replace    `json:"replace,omitempty"`
	SetComplete *GroupEpoch `json:"filled,omitempty"`
	Close       *GroupEpoch `json:"close,omitempty"`
	TakeOver    *TakeOver   `json:"inherit,omitempty"`
}

// Open makes a process the writer of its relay's groups, and creates a main group if the relay has none.
type Open struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Copies   int    `json:"copies"`
}

// Replace asks for other replicas in place of those that failed to accept copies, or for missing ones.
type Replace struct {
	GroupEpoch
	Failed []string `json:"gone,omitempty"`
}

// GroupEpoch identifies a group, an epoch and the process that writes it. As Event.SetComplete it says that the current replicas
// have a complete copy, as Event.Close that a group that was taken over has no pending messages left.
type GroupEpoch struct {
	ID       uint64 `json:"id"`
	Epoch    uint64 `json:"epoch"`
	Instance string `json:"instance"`
}

// TakeOver assigns a successor to a group whose owner is lost. The leading keeper proposes it once it knows of the loss.
type TakeOver struct {
	ID    uint64 `json:"id"`
	Epoch uint64 `json:"epoch"`
}

// Refusal is the error of an event that was refused.
type Refusal struct {
	Reason string // why it was refused
	Advice string // what an operator can do
}

func (r *Refusal) Error() string { return r.Reason }

// Remedy returns what an operator can do about the error.
func (r *Refusal) Remedy() string { return r.Advice }

// The reasons for which an event is refused.
var (
	ErrStaleEpoch    = &Refusal{"the estate has another epoch or writer by now", "nothing: the relay hears of the present one by itself"}
	ErrUnknownMember = &Refusal{"no such member, or another process of that name", "see whether two relays have the same name or folder"}
	ErrNoReplica     = &Refusal{"no further relay can hold copies", "start more relays with listen in their fleet object, or lower copies"}
	ErrTooManySets   = &Refusal{"too many sets of holders are on record until one has the whole", "see why holders do not take copies: disks, links between relays"}
	ErrTooManyGroups = &Refusal{"too many estates", "see which inherited estates do not run out, with GET /v1/estates at a keeper"}
	ErrOwnerPresent  = &Refusal{"the owner has a session", "nothing: it goes on with its estate"}
	ErrBadCopies     = &Refusal{fmt.Sprintf("copies must be 1 to %d", maxCopies), "correct copies in the relay's fleet object"}
	ErrUnknownEvent  = &Refusal{"the event is none", "see whether keepers and relays are of neighbouring versions"}
)
