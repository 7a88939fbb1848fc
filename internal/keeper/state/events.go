package state

import (
	"encoding/json"

	replicationstate "larchrouter/internal/replication/state"
)

// Event is one entry of the replicated log. Exactly one field is set.
type Event struct {
	Join    *Join                   `json:"join,omitempty"`
	Leave   *Leave                  `json:"leave,omitempty"`
	Propose *Propose                `json:"propose,omitempty"`
	Confirm *Confirm                `json:"confirm,omitempty"`
	Reject  *Reject                 `json:"reject,omitempty"`
	GiveUp  *GiveUp                 `json:"give_up,omitempty"`
	Group   *replicationstate.Event `json:"estate,omitempty"`
}

// Join begins a member's session. It replaces a session that the same instance already has. A session that another
// instance of that name has must have ended first, unless that instance is the Predecessor.
type Join struct {
	Name        string `json:"name"`
	Instance    string `json:"instance"`
	Zone        string `json:"zone"`
	Version     string `json:"version"`
	Predecessor string `json:"before,omitempty"` // instance that this one replaces, as the next process of an upgrade; empty for none
	Addr        string `json:"addr,omitempty"`   // address at which it accepts copies of replication groups; empty if it accepts none
	Folder      string `json:"folder,omitempty"` // folder in which it stores these copies
}

// Leave ends a member's session, because the member asked for it or because its lease has certainly expired.
type Leave struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
}

// Propose asks for a new generation that builds on the newest one, Base.
type Propose struct {
	OperationID string          `json:"op"`   // unique for each operation; a repeated call has the same one
	Base        uint64          `json:"base"` // generation that it changes; refused unless that is the newest in effect, prepared or queued
	Doc         json.RawMessage `json:"doc"`
	Who         string          `json:"who"`
	Why         string          `json:"why"`
}

// Confirm reports the revision that a member acts by.
type Confirm struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Revision uint64 `json:"turn"`
}

// Reject reports that a member cannot act by the prepared generation.
type Reject struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Number   uint64 `json:"number"`
	Reason   string `json:"reason"`
}

// GiveUp ends a change that is not in effect yet.
type GiveUp struct {
	OperationID string `json:"op"`
	Number      uint64 `json:"number"`
	Who         string `json:"who"`
	Why         string `json:"why"`
}

// Reasons for which an event is refused. A refused event is in the log nevertheless, but leaves the members, the
// generations and the replication groups unchanged.
var (
	ErrUnknownMember   = &Refusal{Reason: "no such member, or another process of that name", Advice: "nothing: the relay begins another session"}
	ErrNameInUse       = &Refusal{Reason: "another process has the session of that name", Advice: "see whether two relays have the same name; after a restart it ends by itself with the lease"}
	ErrStaleBase       = &Refusal{Reason: "another generation is in force than the one that was to be changed", Advice: "look at what is in force by now, and make the change to that"}
	ErrQueueFull       = &Refusal{Reason: "too many changes wait already", Advice: "give up those that are not wanted any more, or see which relays the first one waits for"}
	ErrTooManyMembers  = &Refusal{Reason: "too many members", Advice: "see which relays are there that should not be"}
	ErrInvalidDocument = &Refusal{Reason: "the document is empty, too long or no JSON", Advice: "correct the file"}
	ErrWrongStage      = &Refusal{Reason: "the generation is not where that could be done", Advice: "look at where it stands with larchctl status"}
	ErrInvalidEvent    = &Refusal{Reason: "the event is none", Advice: "see whether keepers and callers are of neighbouring versions"}
)

// Refusal is the reason why an event changed nothing, with advice to the operator.
type Refusal = replicationstate.Refusal

// Result is the outcome of an event.
type Result struct {
	Number  uint64 // number of the generation that the event created or concerns; 0 for none
	Changed bool   // members have to be notified: the revision or a replication group has changed
	Err     error  // reason why the event was refused; nil if it was applied
}
