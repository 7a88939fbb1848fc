// Package api is what keepers, relays and operators say to each other: HTTP/1.1 with JSON bodies. It is apart from the
// keepers themselves, so that a relay links none of what they are built on.
package api

import (
	"encoding/json"
	"net/url"

	estates "larchrouter/internal/replication/state"
)

// The paths. All but those with GET go to the keeper that leads; another answers 421 with where that is.
const (
	SessionPath     = "/v1/session"     // POST Session: begin or renew one, and wait for news; Standing
	ConfirmPath     = "/v1/confirm"     // POST Word: the member acts by a turn; 204
	RejectPath      = "/v1/reject"      // POST Word: it cannot act on a generation; 204
	LeavePath       = "/v1/leave"       // POST Word: it ends its session; 204
	GenerationsPath = "/v1/generations" // GET: the newest last; /N one with its document; POST Proposal: a change; Made
	GiveUpPath      = "/v1/giveup"      // POST Withdrawal: end a change that is not in force; Made
	StatusPath      = "/v1/status"      // GET: Status of the keeper that is asked
	RejoinPath      = "/v1/rejoin"      // POST Keeper: one whose folder is empty has no vote until it knows all again; 204
	PromotePath     = "/v1/promote"     // POST Keeper: it does; 204
	EstatesPath     = "/v1/estates"     // GET: all, []estates.Estate; POST estates.Event: a relay's word on its own; those it owns
)

// HeldPath is the path that tells, by GET, of which estates a relay is on record as a holder: []uint64.
func HeldPath(holder string) string { return EstatesPath + "?holder=" + url.QueryEscape(holder) }

// Session is a member's call.
type Session struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`          // of the process
	Before   string `json:"before,omitempty"`  // the instance that it takes over from
	Zone     string `json:"zone,omitempty"`    //
	Version  string `json:"version,omitempty"` // of the program
	Turn     uint64 `json:"turn"`              // the newest that it has heard of; the answer waits for another
	WaitMS   int64  `json:"wait_ms"`           // at most so long
	// Have are the generations whose documents it has: they are not sent again.
	Have []uint64 `json:"have,omitempty"`
	// Addr is where the relay takes copies of estates; Estates marks the list of those that it owns, as it knows it: the
	// answer comes when that is another. Both are empty for a relay that copies nothing.
	Addr    string `json:"addr,omitempty"`
	Folder  string `json:"folder,omitempty"` // that it keeps them in
	Estates string `json:"estates,omitempty"`
}

// Standing is what a member is to act by, and for how long.
type Standing struct {
	LeaseMS int64       `json:"lease_ms"` // counted from before the call was made
	Turn    uint64      `json:"turn"`
	Force   *Generation `json:"force,omitempty"`
	Next    *Generation `json:"next,omitempty"` // prepared; act by what both allow
	// Confirmed is the turn by which the keepers hold the member to act; 0 for none in this session.
	Confirmed uint64 `json:"confirmed,omitempty"`
	// Owned are the estates that the member owns, if it told of such.
	Owned []*estates.Group `json:"owned,omitempty"`
}

// Generation is one numbered document.
type Generation struct {
	Number uint64          `json:"number"`
	Base   uint64          `json:"base,omitempty"`
	Stage  string          `json:"stage,omitempty"`
	Sum    string          `json:"sum"` // SHA-256 of the document, hexadecimal
	Doc    json.RawMessage `json:"doc,omitempty"`
	Who    string          `json:"who,omitempty"`
	Why    string          `json:"why,omitempty"`
	Reason string          `json:"reason,omitempty"` // why it was given up
}

// Word is a member's on a turn or a generation.
type Word struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Turn     uint64 `json:"turn,omitempty"`
	Number   uint64 `json:"number,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Proposal asks for a change of the newest generation that is in force or on its way.
type Proposal struct {
	Op     string          `json:"op"`   // unique; the same call made again bears the same
	Base   uint64          `json:"base"` // that generation, as the operator knows it
	Doc    json.RawMessage `json:"doc,omitempty"`
	To     uint64          `json:"to,omitempty"` // in place of a document: that of an earlier generation
	Who    string          `json:"who"`
	Why    string          `json:"why"`
	DryRun bool            `json:"dry_run,omitempty"` // only check it
}

// Withdrawal ends a change that is not in force yet.
type Withdrawal struct {
	Op     string `json:"op"`
	Number uint64 `json:"number"`
	Who    string `json:"who"`
	Why    string `json:"why"`
}

// Made is the number of the generation that a call made or concerns.
type Made struct {
	Number uint64 `json:"number"`
}

// Member is a relay that has a session.
type Member struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Zone     string `json:"zone,omitempty"`
	Version  string `json:"version,omitempty"`
	Turn     uint64 `json:"turn"` // by which it has confirmed to act
	// LeftMS is how much of its session there is at least, as the keeper that leads counts it; -1 at others.
	LeftMS int64 `json:"left_ms"`
}

// Keeper is one that was lost and comes back.
type Keeper struct {
	Name    string `json:"name"`
	Applied uint64 `json:"applied,omitempty"` // entries of the log that it knows
}

// Status is what one keeper knows. One that does not lead may be behind.
type Status struct {
	Keeper  string       `json:"keeper"`
	Leader  string       `json:"leader"` // its HTTP address; empty if none is known
	Leads   bool         `json:"leads"`  // a majority has confirmed it since the question came
	AgeMS   int64        `json:"age_ms"` // since it last heard from the one that leads; 0 there, -1 for never
	Applied uint64       `json:"applied"`
	Fresh   bool         `json:"fresh,omitempty"` // it has never heard of anything that was agreed on
	Turn    uint64       `json:"turn"`
	Force   *Generation  `json:"force,omitempty"`
	Next    *Generation  `json:"next,omitempty"`
	Queue   []Generation `json:"queue,omitempty"`
	Pending []string     `json:"pending,omitempty"` // members that the next step waits for
	Members []Member     `json:"members,omitempty"`
	LeaseMS int64        `json:"lease_ms"`
}

// Problem is the body of every answer but 2xx.
type Problem struct {
	Error  string `json:"error"`
	Remedy string `json:"remedy,omitempty"` // what an operator can do
	Leader string `json:"leader,omitempty"` // with 421: the HTTP address of the keeper that leads
}
