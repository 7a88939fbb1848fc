package relay

import (
	"fmt"
	"slices"

	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
	"larchrouter/internal/replication"
)

// copyBudget is the most that a copy may use of a replica's disk, in bytes. Replicas are assumed to have as much disk
// as this relay. One that has less refuses what does not fit, and is replaced.
func (c *Config) copyBudget() int64 {
	return replication.CopyBudget(int64(c.DiskMB * replicaDiskShare * 1e6))
}

// replicasHaveSpace reports whether a new message fits into the copies beside the pending ones, and reserves its
// space if so.
func (r *Relay) replicasHaveSpace(entry *journal.Entry) bool {
	rep := r.replication
	if rep == nil || rep.config.OnShortage == fleet.ShortageOwnDisk {
		return true
	}
	size := journal.EntryCopyBytes(entry)
	if r.journal.GroupCopyBytes(rep.main)+rep.unrecordedBytes+size > journal.MaxCopyBytes(r.config.copyBudget()) {
		return false
	}
	rep.unrecordedBytes += size
	return true
}

// replicationFigures returns the state of replication for the metrics.
func (r *Relay) replicationFigures() replicationMetrics {
	figures := replicationMetrics{enabled: true}
	for _, stream := range r.replication.streams {
		figures.ownedGroups++
		if stream.shortSince > 0 {
			figures.underReplicated++
		} else {
			figures.copiedRelays = append(figures.copiedRelays, fmt.Sprintf("%s.%d", stream.group.Name, stream.ID))
		}
		figures.pendingRecords += stream.commitWaiters.Len()
	}
	slices.Sort(figures.copiedRelays)
	if r.replication.main == 0 {
		figures.underReplicated++
	}
	if figures.underReplicated > 0 && r.replication.config.OnShortage == fleet.ShortageOwnDisk {
		figures.messagesAtRisk = len(r.pending)
	}
	if replica := r.replication.replica.Load(); replica != nil {
		figures.storedCopies = replica.Len()
	}
	return figures
}
