package replication

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

// Copies that are of no more use.

// drop forgets a copy of an estate that has run out.
func (s *ReplicaServer) drop(_ context.Context, request PromiseRequest) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[request.Group]
	if c == nil {
		return BatchResponse{Stamp: s.stamp()}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.state.Promise(request.Epoch, request.Writer, request.Predecessor); err != nil {
		return nil, err
	}
	if err := s.remove(request.Group, c); err != nil {
		return nil, err
	}
	return BatchResponse{Stamp: s.stamp()}, nil
}

// Sweep drops copies of estates that are not among those that this relay is on record for, now and when it looked last:
// the keepers may know of one before its writer's first call, and not the reverse.
func (s *ReplicaServer) Sweep(listed []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, c := range s.copies {
		c.mu.Lock()
		if slices.Contains(listed, id) {
			c.sweepsUnlisted = 0
		} else if c.sweepsUnlisted++; c.sweepsUnlisted > 1 {
			if err := s.remove(id, c); err != nil {
				slog.Error("a copy of no use stays", "estate", id, "err", err)
			}
		}
		c.mu.Unlock()
	}
}

// remove ends a copy, and takes it off the disk. Both locks are held.
func (s *ReplicaServer) remove(id uint64, c *storedCopy) error {
	c.closed = true
	c.journal.Close()
	delete(s.copies, id)
	if err := os.RemoveAll(filepath.Join(s.dir, strconv.FormatUint(id, 10))); err != nil {
		return &DiskError{s.dir, err}
	}
	return nil
}
