// Package estate carries what a relay holds to further relays, and back to an heir: the holder's side (Holder), the
// writer's (Stream), and how who begins to write finds what has counted (Find). What is decided is in package state;
// docs/estates.md has the design. Without copies in its configuration a relay uses none of this.
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

// The paths at a relay's fleet address. Bodies are JSON.
const (
	CopyPath    = "/v1/copies"         // POST Batch: records for a copy, or the whole; Taken
	PromisePath = "/v1/copies/promise" // POST Promise: take records of this writer only; Promised
	DropPath    = "/v1/copies/drop"    // POST Promise: the estate has run out; Taken
)

// Bounds of what goes between relays.
const (
	maxBatchBytes = 256 << 10 // bytes of records in a batch; one record may be larger
	maxBodyBytes  = 8 << 20   // bytes of a call or an answer: a whole copy
	callTimeout   = time.Second
	maxNameBytes  = 200
)

// CopyBudget is what one copy may take of a holder's disk for copies, in bytes.
func CopyBudget(diskBytes int64) int64 { return diskBytes / maxStoredCopies }

// Batch is records of an estate, from number First on. Whole says that they are all that there is of it, and that the next
// record has the number First. Stamps are by the holder's clock.
type Batch struct {
	Group   uint64           `json:"estate"`
	Epoch   uint64           `json:"epoch"`
	Writer  string           `json:"writer"`
	First   uint64           `json:"first"`
	Whole   bool             `json:"whole,omitempty"`
	Records []journal.Record `json:"records"`
}

// Taken is a holder's answer. Clock is its time in Unix milliseconds.
type BatchResponse struct {
	Next uint64 `json:"next"` // it has all records before this one
	Stamp
}

// Stamp is in every answer: the holder's time in Unix milliseconds, and the folder that it keeps copies in.
type Stamp struct {
	Clock  int64  `json:"clock"`
	Folder string `json:"folder"`
}

func (s Stamp) stamp() Stamp { return s }

// Promise asks a holder to take records of a writer, and of none before it any more.
type PromiseRequest struct {
	Group       uint64 `json:"estate"`
	Epoch       uint64 `json:"epoch"`
	Writer      string `json:"writer"`
	Predecessor string `json:"before,omitempty"` // the writer that it takes over from in the same epoch
	WantCopy    bool   `json:"want,omitempty"`   // the copy itself, if there is one
}

// Promised is a holder's word, and what it has. Stamps are by its clock.
type PromiseResponse struct {
	state.Copy
	Records []journal.Record `json:"records,omitempty"`
	Stamp
}

// Problem is the body of every answer but 200.
type Problem struct {
	Error          string                     `json:"error"`
	Remedy         string                     `json:"remedy,omitempty"`
	Fenced         *state.FencedError         `json:"sealed,omitempty"`
	MissingRecords *state.MissingRecordsError `json:"behind,omitempty"`
	Stamp
}

// Forgot is the answer of a holder that has lost the folder that it was chosen for: what it has is no word on what counted.
type FolderLostError struct{ Replica string }

func (f *FolderLostError) Error() string {
	return f.Replica + " has lost the folder in which it had copies"
}

// Remedy says what an operator can do.
func (f *FolderLostError) Remedy() string {
	return "nothing if its machine was set up anew: it is chosen again, under its new folder; else see what happened to its disk"
}

// Refused is an answer of a holder that says no for a reason of its own, such as a disk that is full.
type RefusedError struct {
	Replica string
	Status  int
	Reason  string
	Advice  string
}

func (r *RefusedError) Error() string {
	return fmt.Sprintf("%s refuses (%d): %s", r.Replica, r.Status, r.Reason)
}

// Remedy says what an operator can do.
func (r *RefusedError) Remedy() string {
	if r.Advice != "" {
		return r.Advice
	}
	return "see that relay's log; it is replaced as a holder if it goes on"
}

// Silent is that no answer came.
type UnreachableError struct {
	Replica string
	Err     error
}

func (u *UnreachableError) Error() string {
	return fmt.Sprintf("%s does not answer: %v", u.Replica, u.Err)
}
func (u *UnreachableError) Unwrap() error { return u.Err }

// Remedy says what an operator can do.
func (u *UnreachableError) Remedy() string {
	return "see whether that relay runs and its fleet address can be reached; it is replaced as a holder if it goes on"
}

// call makes one call at a holder. Asked and back are by the caller's clock, in Unix milliseconds.
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
			return 0, 0, &RefusedError{replica.Name, resp.StatusCode, "its answer cannot be read: " + err.Error(), ""}
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
