// Package replication copies the record stream of a relay, its replication group, to further relays (replicas), and lets a
// successor take the group over when its owner is lost. ReplicaServer is the replica's side, Stream the writer's, and
// FindNewestCopy lets a new writer find the committed records. Owner starts and maintains the groups that a relay owns.
// The decisions are in package state; docs/estates.md has the design. A relay without copies in its configuration uses
// none of this.
package replication

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/replication/state"
)

// The HTTP paths at a relay's fleet address. Bodies are JSON.
const (
	CopyPath    = "/v1/copies"         // POST Batch: further records of a copy, or a whole copy; BatchResponse
	PromisePath = "/v1/copies/promise" // POST PromiseRequest: accept records of this writer only; PromiseResponse
	DropPath    = "/v1/copies/drop"    // POST PromiseRequest: delete the copy of a group that was closed; BatchResponse
)

// Limits of the calls between relays.
const (
	maxBatchBytes = 256 << 10 // bytes of records in a batch; one record may be larger
	maxBodyBytes  = 8 << 20   // bytes of a request or response body; a whole copy must fit
	callTimeout   = time.Second
	maxNameBytes  = 200
)

// CopyBudget returns the bytes that one copy may occupy on a replica that has diskBytes of disk for copies.
func CopyBudget(diskBytes int64) int64 { return diskBytes / maxStoredCopies }

// Batch carries records of a group, numbered from First on. If Whole is set, the records are the entire content of the
// group, they replace the stored copy, and First is the number of the record that follows them. Times in the records are
// by the replica's clock.
type Batch struct {
	Group   uint64           `json:"estate"`
	Epoch   uint64           `json:"epoch"`
	Writer  string           `json:"writer"`
	First   uint64           `json:"first"`
	Whole   bool             `json:"whole,omitempty"`
	Records []journal.Record `json:"records"`
}

// BatchResponse is a replica's answer to a Batch.
type BatchResponse struct {
	Next uint64 `json:"next"` // the replica has all records before this number
	Stamp
}

// Stamp is part of every answer: the replica's time in Unix milliseconds, and the name of the folder that it stores copies in.
type Stamp struct {
	Clock  int64  `json:"clock"`
	Folder string `json:"folder"`
}

func (s Stamp) stamp() Stamp { return s }

// PromiseRequest asks a replica to accept records of Writer only, and none of earlier writers any more.
type PromiseRequest struct {
	Group       uint64 `json:"estate"`
	Epoch       uint64 `json:"epoch"`
	Writer      string `json:"writer"`
	Predecessor string `json:"before,omitempty"` // the writer that Writer takes over from in the same epoch
	WantCopy    bool   `json:"want,omitempty"`   // the response is to contain the copy, if there is one
}

// PromiseResponse confirms a promise and describes the copy that the replica has. Times in the records are by its clock.
type PromiseResponse struct {
	state.Copy
	Records []journal.Record `json:"records,omitempty"`
	Stamp
}

// Problem is the body of every answer with a status other than 200.
type Problem struct {
	Error          string                     `json:"error"`
	Remedy         string                     `json:"remedy,omitempty"`
	Fenced         *state.FencedError         `json:"sealed,omitempty"`
	MissingRecords *state.MissingRecordsError `json:"behind,omitempty"`
	Stamp
}

// FolderLostError says that a replica has another folder than the one it was chosen with. Its disk was lost or replaced, so
// what it has now says nothing about which records were committed.
type FolderLostError struct{ Replica string }

func (f *FolderLostError) Error() string {
	return f.Replica + " no longer has the folder in which it stored copies"
}

// Remedy returns what an operator can do about the error.
func (f *FolderLostError) Remedy() string {
	return "nothing if its machine was set up anew: it is chosen again, under its new folder; else see what happened to its disk"
}

// RefusedError says that a replica refused a call for a reason of its own, such as a full disk.
type RefusedError struct {
	Replica string
	Status  int
	Reason  string
	Advice  string
}

func (r *RefusedError) Error() string {
	return fmt.Sprintf("%s refuses (%d): %s", r.Replica, r.Status, r.Reason)
}

// Remedy returns what an operator can do about the error.
func (r *RefusedError) Remedy() string {
	if r.Advice != "" {
		return r.Advice
	}
	return "see that relay's log; it is replaced as a holder if it goes on"
}

// UnreachableError says that a replica did not answer a call.
type UnreachableError struct {
	Replica string
	Err     error
}

func (u *UnreachableError) Error() string {
	return fmt.Sprintf("%s does not answer: %v", u.Replica, u.Err)
}
func (u *UnreachableError) Unwrap() error { return u.Err }

// Remedy returns what an operator can do about the error.
func (u *UnreachableError) Remedy() string {
	return "see whether that relay runs and its fleet address can be reached; it is replaced as a holder if it goes on"
}

// call sends payload to a replica and decodes its answer. The times sentAt and receivedAt are by the caller's clock, in Unix
// milliseconds. The errors are of the types UnreachableError, FolderLostError, RefusedError, state.FencedError and
// state.MissingRecordsError.
func call(ctx context.Context, client *http.Client, replica state.Replica, path string, payload any, answer interface{ stamp() Stamp }, clock func() int64) (sentAt, receivedAt int64, err error) {
	data, err := json.Marshal(payload)
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+replica.Addr+path, bytes.NewReader(data))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	sentAt = clock()
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, &UnreachableError{replica.Name, err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return 0, 0, &UnreachableError{replica.Name, err}
	}
	receivedAt = clock()
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, answer); err != nil {
			return 0, 0, &RefusedError{replica.Name, resp.StatusCode, "its answer cannot be decoded: " + err.Error(), ""}
		}
		if answer.stamp().Folder != replica.Folder {
			return 0, 0, &FolderLostError{replica.Name}
		}
		return sentAt, receivedAt, nil
	}
	var problem Problem
	if json.Unmarshal(body, &problem) != nil {
		problem.Error = http.StatusText(resp.StatusCode)
	}
	switch {
	case problem.Folder != "" && problem.Folder != replica.Folder:
		return 0, 0, &FolderLostError{replica.Name}
	case problem.Fenced != nil:
		return sentAt, receivedAt, problem.Fenced
	case problem.MissingRecords != nil:
		return sentAt, receivedAt, problem.MissingRecords
	}
	return sentAt, receivedAt, &RefusedError{replica.Name, resp.StatusCode, problem.Error, problem.Remedy}
}
