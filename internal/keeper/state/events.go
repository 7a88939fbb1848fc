package state

import (
	"encoding/json"

	estates "larchrouter/internal/replication/state"
)

// An Event is one entry of the log. Exactly one field is set.
type Event struct {
	Join    *Join          `json:"join,omitempty"`
	Leave   *Leave         `json:"leave,omitempty"`
	Propose *Propose       `json:"propose,omitempty"`
	Confirm *Confirm       `json:"confirm,omitempty"`
	Reject  *Reject        `json:"reject,omitempty"`
	GiveUp  *GiveUp        `json:"give_up,omitempty"`
	Estate  *estates.Event `json:"estate,omitempty"`
}

// Join begins a member's session. It replaces the session that the same instance had; one of another instance has
// to have ended.
type Join struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Before   string `json:"before,omitempty"` // the instance that it takes over from, as the next process in an upgrade
	Addr     string `json:"addr,omitempty"`
	Folder   string `json:"folder,omitempty"`
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
	ErrUnknown  = &Refusal{Reason: "no such member, or another process of that name", Advice: "nothing: the relay begins another session"}
	ErrTaken    = &Refusal{Reason: "another process has the session of that name", Advice: "see whether two relays have the same name; after a restart it ends by itself with the lease"}
	ErrBase     = &Refusal{Reason: "another generation is in force than the one that was to be changed", Advice: "look at what is in force by now, and make the change to that"}
	ErrFull     = &Refusal{Reason: "too many changes wait already", Advice: "give up those that are not wanted any more, or see which relays the first one waits for"}
	ErrMembers  = &Refusal{Reason: "too many members", Advice: "see which relays are there that should not be"}
	ErrDoc      = &Refusal{Reason: "the document is empty, too long or no JSON", Advice: "correct the file"}
	ErrStage    = &Refusal{Reason: "the generation is not where that could be done", Advice: "look at where it stands with larchctl status"}
	ErrBadEvent = &Refusal{Reason: "the event is none", Advice: "see whether keepers and callers are of neighbouring versions"}
)

// Refusal is why an event changed nothing, with what an operator can do.
type Refusal = estates.Refusal

// Result is what an event led to.
type Result struct {
	Number  uint64 // of the generation that it made or concerns
	Changed bool   // members should hear of another turn
	Err     error  // why it was refused
}
