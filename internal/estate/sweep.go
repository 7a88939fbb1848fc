package estate

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
func (h *Holder) drop(_ context.Context, p Promise) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.copies[p.Estate]
	if c == nil {
		return Taken{Stamp: h.now()}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.now.Promise(p.Epoch, p.Writer, p.Before); err != nil {
		return nil, err
	}
	if err := h.remove(p.Estate, c); err != nil {
		return nil, err
	}
	return Taken{Stamp: h.now()}, nil
}

// Sweep drops copies of estates that are not among those that this relay is on record for, now and when it looked last:
// the keepers may know of one before its writer's first call, and not the reverse.
func (h *Holder) Sweep(held []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, c := range h.copies {
		c.mu.Lock()
		if slices.Contains(held, id) {
			c.unheld = 0
		} else if c.unheld++; c.unheld > 1 {
			if err := h.remove(id, c); err != nil {
				slog.Error("a copy of no use stays", "estate", id, "err", err)
			}
		}
		c.mu.Unlock()
	}
}

// remove ends a copy, and takes it off the disk. Both locks are held.
func (h *Holder) remove(id uint64, c *copied) error {
	c.over = true
	c.j.Close()
	delete(h.copies, id)
	if err := os.RemoveAll(filepath.Join(h.dir, strconv.FormatUint(id, 10))); err != nil {
		return &Disk{h.dir, err}
	}
	return nil
}
