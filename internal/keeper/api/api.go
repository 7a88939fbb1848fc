// Package api defines the protocol between keepers, relays and operators, HTTP/1.1 with JSON bodies, and a client for it.
// It is separate from package keeper, so that a relay does not link the keepers' dependencies.
package api

import (
	"encoding/json"
	"net/url"

	replicationstate "larchrouter/internal/replication/state"
)

// The paths. All calls except GET go to the leader; any other keeper answers 421 with the leader's address, or 503 if it
// knows none.
const (
	SessionPath     = "/v1/session"     // POST Session: begin or renew a session, and wait for an update; answers SessionResponse
	ConfirmPath     = "/v1/confirm"     // POST MemberReport: the member acts by a revision; 204
	RejectPath      = "/v1/reject"      // POST MemberReport: the member cannot act by a generation; 204
	LeavePath       = "/v1/leave"       // POST MemberReport: the member ends its session; 204
	GenerationsPath = "/v1/generations" // GET: all generations, newest last; GET /N: generation N with its document; POST Proposal: make a change; answers ChangeResponse
	GiveUpPath      = "/v1/giveup"      // POST GiveUp: end a change that is not in effect; answers ChangeResponse
	StatusPath      = "/v1/status"      // GET: Status of the keeper that is called
	RejoinPath      = "/v1/rejoin"      // POST RejoiningKeeper: a keeper with an empty folder, which loses its vote until it has caught up; 204
	PromotePath     = "/v1/promote"     // POST RejoiningKeeper: the keeper has caught up and gets its vote back; 204
	GroupsPath      = "/v1/estates"     // GET: all replication groups; POST an event of package state of the replication groups: a relay's change to its own groups; answers those that it owns then
)

// ReplicaGroupsPath returns the path that answers, to GET, with the identities ([]uint64) of the replication groups of
// which a relay is on record as a replica. Unlike other GET calls, only the leader answers it.
func ReplicaGroupsPath(relay string) string { return GroupsPath + "?holder=" + url.QueryEscape(relay) }

// Session is a member's call to begin or renew its session.
type Session struct {
	Name        string `json:"name"`
	Instance    string `json:"instance"`          // identifies the process
	Predecessor string `json:"before,omitempty"`  // instance that this one replaces, in an upgrade
	Zone        string `json:"zone,omitempty"`    // zone of the relay
	Version     string `json:"version,omitempty"` // version of the program
	Revision    uint64 `json:"turn"`              // newest revision that the member has received; the answer waits for another one
	WaitMS      int64  `json:"wait_ms"`           // how long the answer may wait, in milliseconds
	// KnownGenerations are the numbers of generations whose documents the member has; they are not sent again.
	KnownGenerations []uint64 `json:"have,omitempty"`
	// Addr is the address at which the relay accepts copies of replication groups. GroupsFingerprint identifies the list of the
	// groups that it owns, as it knows that list: the answer comes as soon as the list differs. Both are empty for a relay
	// that takes no part in replication.
	Addr              string `json:"addr,omitempty"`
	Folder            string `json:"folder,omitempty"` // folder in which the relay stores the copies
	GroupsFingerprint string `json:"estates,omitempty"`
}

// SessionResponse tells a member what to act by, and for how long.
type SessionResponse struct {
	LeaseMS   int64       `json:"lease_ms"` // lease in milliseconds, counted from before the member made the call
	Revision  uint64      `json:"turn"`
	Effective *Generation `json:"force,omitempty"`
	Prepared  *Generation `json:"next,omitempty"` // prepared generation: act by what both allow
	// ConfirmedRevision is the revision that the member has confirmed, as recorded by the keepers; 0 for none in this session.
	ConfirmedRevision uint64 `json:"confirmed,omitempty"`
	// OwnedGroups are the replication groups that the member owns, if its call had a GroupsFingerprint.
	OwnedGroups []*replicationstate.Group `json:"owned,omitempty"`
}

// Generation is one numbered version of the configuration document.
type Generation struct {
	Number uint64          `json:"number"`
	Base   uint64          `json:"base,omitempty"`
	Stage  string          `json:"stage,omitempty"`
	Digest string          `json:"sum"` // SHA-256 of the document, hexadecimal
	Doc    json.RawMessage `json:"doc,omitempty"`
	Who    string          `json:"who,omitempty"`
	Why    string          `json:"why,omitempty"`
	Reason string          `json:"reason,omitempty"` // why it was given up, or superseded by a recovery
}

// MemberReport is a member's report on a revision or a generation, or of the end of its session.
type MemberReport struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Revision uint64 `json:"turn,omitempty"`
	Number   uint64 `json:"number,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Proposal asks for a change of the newest generation that is in effect, prepared or queued.
type Proposal struct {
	OperationID   string          `json:"op"`   // unique for each operation; a repeated call has the same one
	Base          uint64          `json:"base"` // number of that generation, as the operator knows it
	Doc           json.RawMessage `json:"doc,omitempty"`
	RestoreNumber uint64          `json:"to,omitempty"` // use the document of this earlier generation, in place of Doc
	Who           string          `json:"who"`
	Why           string          `json:"why"`
	DryRun        bool            `json:"dry_run,omitempty"` // only check the document, and change nothing
}

// GiveUp ends a change that is not in effect yet.
type GiveUp struct {
	OperationID string `json:"op"`
	Number      uint64 `json:"number"`
	Who         string `json:"who"`
	Why         string `json:"why"`
}

// ChangeResponse has the number of the generation that a call created or concerns; 0 for a dry run.
type ChangeResponse struct {
	Number uint64 `json:"number"`
}

// Member is a relay that has a session.
type Member struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
	Zone     string `json:"zone,omitempty"`
	Version  string `json:"version,omitempty"`
	Revision uint64 `json:"turn"` // revision that it has confirmed to act by
	// LeaseLeftMS is the time in milliseconds for which the session lasts at least, as the leader counts it; -1 from a
	// keeper that is not the leader.
	LeaseLeftMS int64 `json:"left_ms"`
}

// RejoiningKeeper is a keeper that has lost its log and comes back.
type RejoiningKeeper struct {
	Name    string `json:"name"`
	Applied uint64 `json:"applied,omitempty"` // index of the last log entry that it has applied
}

// Status is the state as one keeper knows it. A keeper that is not the leader may be behind.
type Status struct {
	Keeper             string       `json:"keeper"`
	Leader             string       `json:"leader"` // HTTP address of the leader; empty if none is known
	IsLeader           bool         `json:"leads"`  // this keeper is the leader, confirmed by a quorum since the call arrived
	LeaderContactAgeMS int64        `json:"age_ms"` // milliseconds since the last message from the leader; 0 at the leader, -1 for never
	Applied            uint64       `json:"applied"`
	Empty              bool         `json:"fresh,omitempty"` // the keeper has no log entry but the list of keepers
	Revision           uint64       `json:"turn"`
	Effective          *Generation  `json:"force,omitempty"`
	Prepared           *Generation  `json:"next,omitempty"`
	Queue              []Generation `json:"queue,omitempty"`
	Pending            []string     `json:"pending,omitempty"` // names of the members that the next step waits for
	Members            []Member     `json:"members,omitempty"`
	LeaseMS            int64        `json:"lease_ms"`
}

// Problem is the body of every answer with a status other than 2xx.
type Problem struct {
	Error  string `json:"error"`
	Remedy string `json:"remedy,omitempty"` // advice to the operator
	Leader string `json:"leader,omitempty"` // HTTP address of the leader, with status 421
}
