package replication

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

// Removal of copies that are no longer needed.

// drop removes the copy of a group that was closed.
func (s *ReplicaServer) drop(_ context.Context, request PromiseRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[request.Group]
	if c == nil {
		return BatchResponse{Stamp: s.currentStamp()}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.state.Promise(request.Epoch, request.Writer, request.Predecessor); err != nil {
		return nil, err
	}
	if err := s.remove(request.Group, c); err != nil {
		return nil, err
	}
	return BatchResponse{Stamp: s.currentStamp()}, nil
}

// Sweep removes the copies of groups that are missing in listed, the groups that the keepers list this relay as a replica of,
// in this sweep and in the last one. The keepers list a group before its writer makes its first call, so a list that is newer
// than the copy names it; the first of two lists may be older than the copy.
func (s *ReplicaServer) Sweep(listed []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, c := range s.copies {
		c.mu.Lock()
		if slices.Contains(listed, id) {
			c.sweepsUnlisted = 0
		} else if c.sweepsUnlisted++; c.sweepsUnlisted > 1 {
			if err := s.remove(id, c); err != nil {
				slog.Error("a copy that is no longer needed cannot be removed", "estate", id, "err", err)
			}
		}
		c.mu.Unlock()
	}
}

// remove closes a copy and deletes it from the disk. The caller holds the locks of s and c.
func (s *ReplicaServer) remove(id uint64, c *storedCopy) error {
	c.closed = true
	c.journal.Close()
	delete(s.copies, id)
	if err := os.RemoveAll(filepath.Join(s.dir, strconv.FormatUint(id, 10))); err != nil {
		return &DiskError{s.dir, err}
	}
	return nil
}
