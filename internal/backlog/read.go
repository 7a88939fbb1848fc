package backlog

import (
	"errors"
	"iter"
)

// Next is the oldest that lie here for a destination, in order: at most n, and of so many bytes, but one if there is any.
// They stay.
func (s *Store) Next(dest, n, bytes int) (all []StoredMessage, err error) {
	err = s.withRepair(func() error {
		all, err = s.next(dest, n, bytes)
		return err
	})
	return all, err
}

func (s *Store) next(dest, n, bytes int) (all []StoredMessage, err error) {
	var lost []uint64
	defer func() { err = errors.Join(err, s.removeUnreadable(dest, lost)) }()
	for _, seg := range s.state.Segments(dest) {
		for i := seg.Head; i < seg.Entries; i++ {
			if len(all) >= n {
				return all, nil
			}
			x, err := s.indexes.entry(seg, i)
			if err != nil {
				return nil, err
			}
			if x.removed() {
				continue
			}
			if bytes -= int(x.length); bytes < 0 && len(all) > 0 {
				return all, nil
			}
			h, err := s.readMessage(seg, x)
			if errors.Is(err, errDamagedFrame) {
				s.reportDamage(&DamageError{Segment: dataFileName(seg), Lost: 1, Reason: "a message cannot be read"})
				lost = append(lost, x.sequence)
				continue
			}
			if err != nil {
				return nil, err
			}
			all = append(all, h)
		}
	}
	return all, nil
}

// drop has messages be gone that cannot be read. Were it not written, they would be reported again.
func (s *Store) removeUnreadable(dest int, lost []uint64) error {
	if len(lost) == 0 {
		return nil
	}
	return s.remove(dest, lost)
}

// Find is a destination's message by its id.
func (s *Store) Find(dest int, id string) (h StoredMessage, ok bool, err error) {
	err = s.withRepair(func() error {
		h, ok, err = s.find(dest, id)
		return err
	})
	return h, ok, err
}

func (s *Store) find(dest int, id string) (h StoredMessage, ok bool, err error) {
	if s.state.LenOf(dest) == 0 {
		return h, false, nil
	}
	var lost []uint64
	hash := saltedHash(s.folderSalt, 'i', dest, id)
	var places []uint64
	if err := s.table.find(hash, func(t slot, _ int64) bool {
		if t.count == 0 && t.dest == dest {
			places = append(places, t.sequence)
		}
		return true
	}); err != nil {
		return h, false, err
	}
	for _, place := range places {
		seg := s.state.SegmentOf(dest, place)
		if seg == nil {
			continue
		}
		i, x, have, err := s.indexes.find(seg, place)
		if err != nil {
			return h, false, err
		}
		if !have || i < seg.Head || x.removed() || x.idHash != hash {
			continue
		}
		h, err = s.readMessage(seg, x)
		if errors.Is(err, errDamagedFrame) {
			s.reportDamage(&DamageError{Segment: dataFileName(seg), Lost: 1, Reason: "a message cannot be read"})
			lost = append(lost, place)
			continue
		}
		if err != nil || h.ID == id {
			return h, err == nil, err
		}
	}
	return StoredMessage{}, false, s.removeUnreadable(dest, lost)
}

// Key tells which destination has messages of an ordered class's key here. After a kill or damage it may name one for too long, until
// what lies there has gone up to where the key's newest would be.
func (s *Store) DestOfKey(order string) (dest int, ok bool) {
	hash := saltedHash(s.folderSalt, 'k', 0, order)
	err := s.withRepair(func() error {
		ok = false
		return s.table.find(hash, func(t slot, _ int64) bool {
			if t.count > 1 && s.state.HasSegmentUpTo(t.dest, t.sequence) {
				dest, ok = t.dest, true
			}
			return !ok
		})
	})
	if err != nil {
		s.reportDamage(err)
	}
	return dest, ok
}

// alive tells whether a slot of the table may still lead to something.
func (s *Store) slotNeeded(t slot) bool {
	if t.sequence > s.committedSequence {
		return true // of what is just being put
	}
	if t.count > 0 {
		return t.count > 1 && s.state.HasSegmentUpTo(t.dest, t.sequence)
	}
	return s.state.SegmentOf(t.dest, t.sequence) != nil
}

// mending runs what reads, and once more after what it found damaged has been mended.
func (s *Store) withRepair(f func() error) error {
	for range 4 {
		err := f()
		var b *damagedSegmentError
		switch {
		case errors.As(err, &b):
			if err := s.repairSegment(b.segment); err != nil {
				return err
			}
		case errors.Is(err, errDamagedTable):
			if err := s.rebuildTable(); err != nil {
				return err
			}
		default:
			return err
		}
	}
	return s.folder.fileError("is damaged again and again", "", errDamagedFrame)
}

// Len is how many lie here.
func (s *Store) Len() int { return s.state.Len() }

// LenOf is how many lie here for a destination.
func (s *Store) LenOf(dest int) int { return s.state.LenOf(dest) }

// Dests are those that something lies here for.
func (s *Store) Dests() iter.Seq[int] { return s.state.Dests() }

// Bytes is what the files take of the budget.
func (s *Store) Bytes() int64 { return s.state.UsedBytes() }

// Damage is what was found unreadable since the last call.
func (s *Store) TakeDamageReports() []error {
	all := s.damageReports
	s.damageReports = nil
	return all
}

// damageMost is how many errors wait to be asked for. Ones that tell of lost messages, one for each segment, do so beyond it.
const maxDamageReports = 100

// damaged notes what was found; of the same kind in one segment as one.
func (s *Store) reportDamage(err error) {
	d, ok := err.(*DamageError)
	if ok {
		for _, have := range s.damageReports {
			if h, ok := have.(*DamageError); ok && h.Segment == d.Segment && h.Reason == d.Reason && h.AtTail == d.AtTail {
				h.Lost += d.Lost
				h.InDoubt += d.InDoubt
				return
			}
		}
	}
	if len(s.damageReports) < maxDamageReports || ok && d.Lost+d.InDoubt > 0 {
		s.damageReports = append(s.damageReports, err)
	}
}
