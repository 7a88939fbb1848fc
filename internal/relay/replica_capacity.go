package relay

import (
	"fmt"
	"slices"

	"larchrouter/internal/estate"
	"larchrouter/internal/fleet"
	"larchrouter/internal/journal"
)

// copyBudget is what a copy may take of a holder's disk, in bytes. Holders are taken to have as much disk as this relay: one that
// has less refuses what does not fit, and is replaced.
func (c *Config) copyBudget() int64 {
	return estate.CopyBudget(int64(c.DiskMB * replicaDiskShare * 1e6))
}

// holdersHaveRoom tells whether a new message fits into the copies of what is held, and counts it if so.
func (r *Relay) replicasHaveSpace(e *journal.Entry) bool {
	c := r.replication
	if c == nil || c.conf.Short == fleet.OwnDisk {
		return true
	}
	size := journal.CopySize(e)
	if r.journal.CopyHeld(c.main)+c.unrecordedBytes+size > journal.CopyMost(r.conf.copyBudget()) {
		return false
	}
	c.unrecordedBytes += size
	return true
}

// standing is how copies stand, for the figures.
func (r *Relay) replicationFigures() copiesFigures {
	figures := copiesFigures{on: true}
	for _, s := range r.replication.streams {
		figures.owned++
		if s.shortSince > 0 {
			figures.short++
		} else {
			figures.of = append(figures.of, fmt.Sprintf("%s.%d", s.group.Name, s.ID))
		}
		figures.waiting += s.gates.Len()
	}
	slices.Sort(figures.of)
	if r.replication.main == 0 {
		figures.short++
	}
	if figures.short > 0 && r.replication.conf.Short == fleet.OwnDisk {
		figures.atRisk = len(r.pending)
	}
	if h := r.replication.replica.Load(); h != nil {
		figures.copies = h.Len()
	}
	return figures
}
