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
func (c *Config) copyBudget() int64 { return estate.CopyBudget(int64(c.DiskMB * copiesPart * 1e6)) }

// holdersHaveRoom tells whether a new message fits into the copies of what is held, and counts it if so.
func (r *Relay) holdersHaveRoom(e *journal.Entry) bool {
	c := r.copies
	if c == nil || c.conf.Short == fleet.OwnDisk {
		return true
	}
	size := journal.EntryCopyBytes(e)
	if r.journal.GroupCopyBytes(c.main)+c.fresh+size > journal.MaxCopyBytes(r.conf.copyBudget()) {
		return false
	}
	c.fresh += size
	return true
}

// standing is how copies stand, for the figures.
func (r *Relay) standing() copiesFigures {
	f := copiesFigures{on: true}
	for _, s := range r.copies.streams {
		f.owned++
		if s.short > 0 {
			f.short++
		} else {
			f.of = append(f.of, fmt.Sprintf("%s.%d", s.estate.Name, s.ID))
		}
		f.waiting += s.gates.Len()
	}
	slices.Sort(f.of)
	if r.copies.main == 0 {
		f.short++
	}
	if f.short > 0 && r.copies.conf.Short == fleet.OwnDisk {
		f.atRisk = len(r.held)
	}
	if h := r.copies.holder.Load(); h != nil {
		f.copies = h.Len()
	}
	return f
}
