package state

import (
	"encoding/json"
	"errors"

	estates "larchrouter/internal/estate/state"
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
