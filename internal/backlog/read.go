package backlog

import (
	"errors"
	"iter"
)

// Next returns the oldest messages of a destination in order: at most maxMessages, and at most maxBytes of frames except
// for the first message. They stay in the store.
func (s *Store) Next(dest, maxMessages, maxBytes int) (all []StoredMessage, err error) {
	err = s.withRepair(func() error {
		all, err = s.next(dest, maxMessages, maxBytes)
		return err
	})
	return all, err
}

func (s *Store) next(dest, maxMessages, bytesLeft int) (all []StoredMessage, err error) {
	var unreadable []uint64
	defer func() { err = errors.Join(err, s.removeUnreadable(dest, unreadable)) }()
	for _, segment := range s.state.Segments(dest) {
		for i := segment.Head; i < segment.Entries; i++ {
			if len(all) >= maxMessages {
				return all, nil
			}
			entry, err := s.indexes.entry(segment, i)
			if err != nil {
				return nil, err
			}
			if entry.removed() {
				continue
			}
			if bytesLeft -= int(entry.len); bytesLeft < 0 && len(all) > 0 {
				return all, nil
			}
			message, err := s.readMessage(segment, entry)
			if errors.Is(err, errDamagedFrame) {
				s.reportDamage(&DamageError{Segment: dataFileName(segment), Lost: 1, Reason: "a message cannot be read"})
				unreadable = append(unreadable, entry.sequence)
				continue
			}
			if err != nil {
				return nil, err
			}
			all = append(all, message)
		}
	}
	return all, nil
}

// removeUnreadable removes messages that cannot be read; otherwise they would be reported again.
func (s *Store) removeUnreadable(dest int, sequences []uint64) error {
	if len(sequences) == 0 {
		return nil
	}
	return s.remove(dest, sequences)
}

// Find returns the message of a destination with an id; ok is false if there is none.
func (s *Store) Find(dest int, id string) (message StoredMessage, ok bool, err error) {
	err = s.withRepair(func() error {
		message, ok, err = s.find(dest, id)
		return err
	})
	return message, ok, err
}

func (s *Store) find(dest int, id string) (message StoredMessage, ok bool, err error) {
	if s.state.LenOf(dest) == 0 {
		return message, false, nil
	}
	var unreadable []uint64
	hash := saltedHash(s.folderSalt, 'i', dest, id)
	var sequences []uint64
	if err := s.table.find(hash, func(t slot, _ int64) bool {
		if t.count == 0 && t.dest == dest {
			sequences = append(sequences, t.sequence)
		}
		return true
	}); err != nil {
		return message, false, err
	}
	for _, sequence := range sequences {
		segment := s.state.SegmentOf(dest, sequence)
		if segment == nil {
			continue
		}
		i, entry, found, err := s.indexes.find(segment, sequence)
		if err != nil {
			return message, false, err
		}
		if !found || i < segment.Head || entry.removed() || entry.idHash != hash {
			continue
		}
		message, err = s.readMessage(segment, entry)
		if errors.Is(err, errDamagedFrame) {
			s.reportDamage(&DamageError{Segment: dataFileName(segment), Lost: 1, Reason: "a message cannot be read"})
			unreadable = append(unreadable, sequence)
			continue
		}
		if err != nil || message.ID == id {
			return message, err == nil, err
		}
	}
	return StoredMessage{}, false, s.removeUnreadable(dest, unreadable)
}

// DestOfKey returns the destination that has stored messages with an ordering key. After a kill or damage it may name one
// that has none left, until the messages up to the sequence of the key's newest one were removed.
func (s *Store) DestOfKey(orderKey string) (dest int, ok bool) {
	hash := saltedHash(s.folderSalt, 'k', 0, orderKey)
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

// slotNeeded reports whether a slot of the table may still refer to a stored message.
func (s *Store) slotNeeded(t slot) bool {
	if t.sequence > s.committedSequence {
		return true // belongs to a Put in progress
	}
	if t.count > 0 {
		return t.count > 1 && s.state.HasSegmentUpTo(t.dest, t.sequence)
	}
	return s.state.SegmentOf(t.dest, t.sequence) != nil
}

// withRepair runs an operation, and again after each repair of the damage that it met; at most four times in all.
func (s *Store) withRepair(operation func() error) error {
	for range 4 {
		err := operation()
		var damaged *damagedSegmentError
		switch {
		case errors.As(err, &damaged):
			if err := s.repairSegment(damaged.segment); err != nil {
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
	return s.folder.fileError("is still damaged after repairs", "", errDamagedFrame)
}

// Len returns the number of stored messages.
func (s *Store) Len() int { return s.state.Len() }

// LenOf returns the number of stored messages of a destination.
func (s *Store) LenOf(dest int) int { return s.state.LenOf(dest) }

// Dests iterates over the destinations that have stored messages.
func (s *Store) Dests() iter.Seq[int] { return s.state.Dests() }

// Bytes returns how much of the disk budget the files use.
func (s *Store) Bytes() int64 { return s.state.UsedBytes() }

// TakeDamageReports returns the errors found since its last call.
func (s *Store) TakeDamageReports() []error {
	all := s.damageReports
	s.damageReports = nil
	return all
}

// maxDamageReports limits the errors that wait for TakeDamageReports. Reports of lost messages or messages in doubt, of
// which there is one for each segment and reason, are added beyond it.
const maxDamageReports = 100

// reportDamage records an error; a DamageError for the same segment and reason is merged with the earlier one.
func (s *Store) reportDamage(err error) {
	damage, ok := err.(*DamageError)
	if ok {
		for _, report := range s.damageReports {
			if earlier, ok := report.(*DamageError); ok && earlier.Segment == damage.Segment && earlier.Reason == damage.Reason && earlier.AtTail == damage.AtTail {
				earlier.Lost += damage.Lost
				earlier.InDoubt += damage.InDoubt
				return
			}
		}
	}
	if len(s.damageReports) < maxDamageReports || ok && damage.Lost+damage.InDoubt > 0 {
		s.damageReports = append(s.damageReports, err)
	}
}
