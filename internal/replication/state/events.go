package state

import "fmt"

// An Event changes the registry. Exactly one field is set.
type Event struct {
	Open        *Open       `json:"open,omitempty"`
	Replace     *Replace    `json:"replace,omitempty"`
	SetComplete *GroupEpoch `json:"filled,omitempty"`
	Close       *GroupEpoch `json:"close,omitempty"`
	TakeOver    *TakeOver   `json:"inherit,omitempty"`
}

// Open has a process write the estates of its relay, and gives it a main one if it has none.
type Open struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Copies   int    `json:"copies"`
}

// Replace asks for other holders in place of some that do not take copies, or for those that are missing.
type Replace struct {
	GroupEpoch
	Failed []string `json:"gone,omitempty"`
}

// Word is a writer's on one of its estates: Filled says that the present holders have the whole, Close that an inherited
// one has run out.
type GroupEpoch struct {
	ID       uint64 `json:"id"`
	Epoch    uint64 `json:"epoch"`
	Instance string `json:"instance"`
}

// Inherit names an heir for an estate whose owner is lost. The one that leads asks for it once it knows that.
type TakeOver struct {
	ID    uint64 `json:"id"`
	Epoch uint64 `json:"epoch"`
}

// Refusal is an event that changed nothing.
type Refusal struct {
	Reason string // refused, in words
	Advice string // what an operator can do
}

func (r *Refusal) Error() string { return r.Reason }

// Remedy says what an operator can do.
func (r *Refusal) Remedy() string { return r.Advice }

// Why an event is refused.
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
