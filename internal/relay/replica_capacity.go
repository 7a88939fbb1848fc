package relay

import (
	"fmt"
	"slices"

	"larchrouter/internal/estate"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
)

// copyBudget is the most that a copy may use of a replica's disk, in bytes. Replicas are assumed to have as much disk
// as this relay. One that has less refuses what does not fit, and is replaced.
func (c *Config) copyBudget() int64 {
	return estate.CopyBudget(int64(c.DiskMB * replicaDiskShare * 1e6))
}

// replicasHaveSpace reports whether a new message fits into the copies beside the pending ones, and reserves its
// space if so.
func (r *Relay) replicasHaveSpace(entry *journal.Entry) bool {
	rep := r.replication
	if rep == nil || rep.config.Short == fleet.OwnDisk {
		return true
	}
	size := journal.CopySize(entry)
	if r.journal.CopyHeld(rep.main)+rep.unrecordedBytes+size > journal.CopyMost(r.conf.copyBudget()) {
		return false
	}
	rep.unrecordedBytes += size
	return true
}

// replicationFigures returns the state of replication for the metrics.
func (r *Relay) replicationFigures() copiesFigures {
	figures := copiesFigures{on: true}
	for _, stream := range r.replication.streams {
		figures.owned++
		if stream.shortSince > 0 {
			figures.short++
		} else {
			figures.of = append(figures.of, fmt.Sprintf("%s.%d", stream.group.Name, stream.ID))
		}
		figures.waiting += stream.gates.Len()
	}
	slices.Sort(figures.of)
	if r.replication.main == 0 {
		figures.short++
	}
	if figures.short > 0 && r.replication.config.Short == fleet.OwnDisk {
		figures.atRisk = len(r.pending)
	}
	if replica := r.replication.replica.Load(); replica != nil {
		figures.copies = replica.Len()
	}
	return figures
}
