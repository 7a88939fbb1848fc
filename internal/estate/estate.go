// Package estate carries what a relay holds to further relays, and back to an heir: the holder's side (Holder), the
// writer's (Stream), and how who begins to write finds what has counted (Find). What is decided is in package state;
// docs/estates.md has the design. Without copies in its configuration a relay uses none of this.
package estate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"larchrouter/internal/estate/state"
	"larchrouter/internal/journal"
)

// The paths at a relay's fleet address. Bodies are JSON.
const (
	CopyPath    = "/v1/copies"         // POST Batch: records for a copy, or the whole; Taken
	PromisePath = "/v1/copies/promise" // POST Promise: take records of this writer only; Promised
	DropPath    = "/v1/copies/drop"    // POST Promise: the estate has run out; Taken
)

// Bounds of what goes between relays.
const (
	batchMost = 256 << 10 // bytes of records in a batch; one record may be larger
	bodyMost  = 8 << 20   // bytes of a call or an answer: a whole copy
	callIn    = time.Second
	nameMost  = 200
)

// CopyBudget is what one copy may take of a holder's disk for copies, in bytes.
func CopyBudget(disk int64) int64 { return disk / partsOf }

// Batch is records of an estate, from number First on. Whole says that they are all that there is of it, and that the next
// record has the number First. Stamps are by the holder's clock.
type Batch struct {
	Estate  uint64           `json:"estate"`
	Epoch   uint64           `json:"epoch"`
	Writer  string           `json:"writer"`
	First   uint64           `json:"first"`
	Whole   bool             `json:"whole,omitempty"`
	Records []journal.Record `json:"records"`
}

// Taken is a holder's answer. Clock is its time in Unix milliseconds.
type Taken struct {
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
type Promise struct {
	Estate uint64 `json:"estate"`
	Epoch  uint64 `json:"epoch"`
	Writer string `json:"writer"`
	Before string `json:"before,omitempty"` // the writer that it takes over from in the same epoch
	Want   bool   `json:"want,omitempty"`   // the copy itself, if there is one
}

// Promised is a holder's word, and what it has. Stamps are by its clock.
type Promised struct {
	state.Copy
	Records []journal.Record `json:"records,omitempty"`
	Stamp
}

// Problem is the body of every answer but 200.
type Problem struct {
	Error  string        `json:"error"`
	Remedy string        `json:"remedy,omitempty"`
	Sealed *state.Sealed `json:"sealed,omitempty"`
	Behind *state.Behind `json:"behind,omitempty"`
	Stamp
}

// Forgot is the answer of a holder that has lost the folder that it was chosen for: what it has is no word on what counted.
type Forgot struct{ Holder string }

func (f *Forgot) Error() string { return f.Holder + " has lost the folder in which it had copies" }

// Remedy says what an operator can do.
func (f *Forgot) Remedy() string {
	return "nothing if its machine was set up anew: it is chosen again, under its new folder; else see what happened to its disk"
}

// Refused is an answer of a holder that says no for a reason of its own, such as a disk that is full.
type Refused struct {
	Holder string
	Status int
	What   string
	Advice string
}

func (r *Refused) Error() string {
	return fmt.Sprintf("%s refuses (%d): %s", r.Holder, r.Status, r.What)
}

// Remedy says what an operator can do.
func (r *Refused) Remedy() string {
	if r.Advice != "" {
		return r.Advice
	}
	return "see that relay's log; it is replaced as a holder if it goes on"
}

// Silent is that no answer came.
type Silent struct {
	Holder string
	Err    error
}

func (s *Silent) Error() string { return fmt.Sprintf("%s does not answer: %v", s.Holder, s.Err) }
func (s *Silent) Unwrap() error { return s.Err }

// Remedy says what an operator can do.
func (s *Silent) Remedy() string {
	return "see whether that relay runs and its fleet address can be reached; it is replaced as a holder if it goes on"
}

// call makes one call at a holder. Asked and back are by the caller's clock, in Unix milliseconds.
func call(ctx context.Context, client *http.Client, h state.Holder, path string, in any, out interface{ stamp() Stamp }, clock func() int64) (asked, back int64, err error) {
	data, err := json.Marshal(in)
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callIn)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr+path, bytes.NewReader(data))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	asked = clock()
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, &Silent{h.Name, err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost))
	if err != nil {
		return 0, 0, &Silent{h.Name, err}
	}
	back = clock()
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, out); err != nil {
			return 0, 0, &Refused{h.Name, resp.StatusCode, "its answer cannot be read: " + err.Error(), ""}
		}
		if out.stamp().Folder != h.Folder {
			return 0, 0, &Forgot{h.Name}
		}
		return asked, back, nil
	}
	var p Problem
	if json.Unmarshal(body, &p) != nil {
		p.Error = http.StatusText(resp.StatusCode)
	}
	switch {
	case p.Folder != "" && p.Folder != h.Folder:
		return 0, 0, &Forgot{h.Name}
	case p.Sealed != nil:
		return asked, back, p.Sealed
	case p.Behind != nil:
		return asked, back, p.Behind
	}
	return asked, back, &Refused{h.Name, resp.StatusCode, p.Error, p.Remedy}
}
