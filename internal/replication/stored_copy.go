package replication

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/replication/state"
)

// Copies of replication groups that a replica stores.

// storedCopy is the copy of one group.
type storedCopy struct {
	mu      sync.Mutex
	journal *journal.Journal
	state   state.Copy
	changed chan struct{} // closed and replaced with each accepted batch
	closed  bool
	// sweepsUnlisted counts the sweeps in a row in which the keepers did not list this relay as a replica of the group.
	sweepsUnlisted int
}

// openCopy returns a group's copy, opening or creating its files. The caller holds the lock, or has the only reference to s.
func (s *ReplicaServer) openCopy(id uint64) (*storedCopy, error) {
	if c := s.copies[id]; c != nil {
		return c, nil
	}
	if len(s.copies) >= maxStoredCopies {
		return nil, &RefusedError{"this relay", http.StatusInsufficientStorage, "it has as many copies as its disk is for", "start more relays, or give them more disk_mb"}
	}
	dir := filepath.Join(s.dir, strconv.FormatUint(id, 10))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, &DiskError{dir, err}
	}
	j, err := journal.OpenCopy(dir, s.maxCopyBytes)
	if err != nil {
		return nil, &DiskError{dir, err}
	}
	c := &storedCopy{journal: j, changed: make(chan struct{})}
	if mark, ok := j.GroupState(id); ok {
		c.state = mark.Copy
	}
	if j.Damaged() { // committed records may be lost: the copy is reported as absent, not as complete
		slog.Error("a stored copy is damaged and treated as absent", "estate", id)
		c.state.ContentWriter, c.state.ContentEpoch, c.state.Next = "", 0, 0
	}
	s.copies[id] = c
	return c, nil
}

// copy returns the copy of a group, and opens or creates it if needed. names are those of a call, the writer first.
func (s *ReplicaServer) copy(id uint64, names ...string) (*storedCopy, error) {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return nil, &RefusedError{"this relay", http.StatusBadRequest, "a name is too long", ""}
		}
	}
	if id == 0 || len(names) == 0 || names[0] == "" {
		return nil, &RefusedError{"this relay", http.StatusBadRequest, "estate or writer is missing", ""}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errReplicaStops
	}
	return s.openCopy(id)
}

// acceptBatch stores the records of a batch. A batch that arrives before the one that precedes it waits up to reorderWait.
func (s *ReplicaServer) acceptBatch(ctx context.Context, batch Batch) (any, error) {
	c, err := s.copy(batch.Group, batch.Writer)
	if err != nil {
		return nil, err
	}
	for _, r := range batch.Records {
		if r.Op == journal.OpGroupState || r.Op == journal.OpGroupNext || r.Op == journal.OpAccepted && (r.Entry == nil || r.Entry.Group != batch.Group) {
			return nil, &RefusedError{"this relay", http.StatusBadRequest, "a record is none of an estate", ""}
		}
	}
	for deadline := time.Now().Add(reorderWait); ; {
		next, changed, err := c.accept(batch)
		var missing *state.MissingRecordsError
		if !errors.As(err, &missing) || !missing.Whole || batch.Whole || time.Now().After(deadline) {
			return BatchResponse{next, s.currentStamp()}, err
		}
		select {
		case <-changed: // the missing records may have arrived
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// accept stores the records of a batch. It returns the number of the record that the copy needs next, and a channel that is
// closed when the copy changes.
func (c *storedCopy) accept(batch Batch) (next uint64, changed chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, errReplicaStops
	}
	updated, skip := c.state, uint64(0)
	if batch.Whole {
		err = updated.Reset(batch.Epoch, batch.Writer, batch.First)
	} else {
		skip, err = updated.Append(batch.Epoch, batch.Writer, batch.First, uint64(len(batch.Records)))
	}
	if err != nil {
		return c.state.Next, c.changed, err
	}
	mark := journal.Record{Op: journal.OpGroupState, GroupState: &journal.GroupState{Group: batch.Group, Copy: updated}}
	switch {
	case batch.Whole:
		err = c.journal.Replace(append(batch.Records, mark)...)
	case updated == c.state:
	case updated.Epoch == c.state.Epoch && updated.ContentEpoch == c.state.ContentEpoch:
		err = c.journal.Append(append(batch.Records[skip:], journal.Record{Op: journal.OpGroupNext, Group: batch.Group, NextRecord: updated.Next})...)
	default:
		err = c.journal.Append(append(batch.Records[skip:], mark)...)
	}
	if err != nil {
		return c.state.Next, c.changed, err
	}
	c.state = updated
	close(c.changed)
	c.changed = make(chan struct{})
	return updated.Next, c.changed, nil
}

// promise makes this replica accept records of a writer, and none of earlier writers.
func (s *ReplicaServer) promise(_ context.Context, request PromiseRequest) (any, error) {
	c, err := s.copy(request.Group, request.Writer, request.Predecessor)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	updated := c.state
	if err := updated.Promise(request.Epoch, request.Writer, request.Predecessor); err != nil {
		return nil, err
	}
	if updated != c.state {
		if err := c.journal.Append(journal.Record{Op: journal.OpGroupState, GroupState: &journal.GroupState{Group: request.Group, Copy: updated}}); err != nil {
			return nil, err
		}
		c.state = updated
	}
	answer := PromiseResponse{Copy: updated, Stamp: s.currentStamp()}
	if request.WantCopy && updated.ContentWriter != "" {
		answer.Records = c.journal.GroupRecords(request.Group)
	}
	return answer, nil
}
