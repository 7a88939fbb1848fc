package backlog

import (
	"cmp"
	"errors"
	"slices"

	"larchrouter/internal/backlog/state"
)

// dueList holds the first live entries of a segment by due time, so that one scan of the segment's index serves many of them.
type dueList []indexEntry

const (
	dueListLength = 64
	maxDueLists   = 2048 // segments that have a list; with 48 bytes for each message this takes 6 MiB
)

func compareDue(a, b indexEntry) int {
	return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.sequence, b.sequence))
}

// entriesDueAfter returns the next entries of a segment by due time after the given one, or the first ones if it is nil.
func (s *Store) entriesDueAfter(segment *state.Segment, after *indexEntry) (earliest dueList, err error) {
	s.dueScans++
	err = s.indexes.liveEntries(segment, func(_ uint32, entry indexEntry) {
		if after != nil && compareDue(entry, *after) <= 0 || len(earliest) == dueListLength && compareDue(entry, earliest[dueListLength-1]) >= 0 {
			return
		}
		i, _ := slices.BinarySearchFunc(earliest, entry, compareDue)
		if len(earliest) == dueListLength {
			earliest = earliest[:dueListLength-1]
		}
		earliest = slices.Insert(earliest, i, entry)
	})
	return earliest, err
}

// dueListOf returns the due list of a segment and builds it if necessary. Its first entry is the segment's next one due.
func (s *Store) dueListOf(segment *state.Segment) (dueList, error) {
	if list := s.dueLists[segment]; len(list) > 0 {
		return list, nil
	}
	list, err := s.entriesDueAfter(segment, nil)
	if err != nil {
		return nil, err
	}
	if len(s.dueLists) >= maxDueLists {
		clear(s.dueLists)
	}
	s.dueLists[segment] = list
	return list, nil
}

// messageAdded updates the due list of a segment to which a message was added.
func (s *Store) messageAdded(segment *state.Segment, due int64) {
	if list := s.dueLists[segment]; len(list) > 0 && due < list[len(list)-1].due {
		delete(s.dueLists, segment)
	}
}

// messagesRemoved drops removed messages from the due list of their segment. The entries are sorted by sequence.
func (s *Store) messagesRemoved(segment *state.Segment, removed []indexedEntry) {
	list := s.dueLists[segment]
	if list == nil {
		return
	}
	list = slices.DeleteFunc(list, func(entry indexEntry) bool {
		_, found := slices.BinarySearchFunc(removed, entry.sequence, func(f indexedEntry, sequence uint64) int { return cmp.Compare(f.sequence, sequence) })
		return found
	})
	if s.dueLists[segment] = list; len(list) == 0 {
		delete(s.dueLists, segment)
	}
}

// NextDue returns the earliest due time in Unix milliseconds; ok is false if the store is empty or cannot be read, which
// TakeDamageReports then tells.
func (s *Store) NextDue() (due int64, ok bool) {
	err := s.withRepair(func() error {
		for {
			segment := s.state.Earliest()
			if ok = segment != nil; !ok {
				return nil
			}
			list, err := s.dueListOf(segment)
			if err != nil {
				return err
			}
			if len(list) == 0 {
				return &damagedSegmentError{segment}
			}
			if due = list[0].due; due <= segment.EarliestDue {
				return nil
			}
			s.state.SetEarliestDue(segment, due) // the message that set the earlier time was removed
		}
	})
	if err != nil {
		s.reportDamage(err)
		return 0, false
	}
	return due, ok
}

// Due returns the messages that are due at or before a time in Unix milliseconds, earliest first and at most maxMessages.
// They stay in the store.
func (s *Store) Due(before int64, maxMessages int) (all []StoredMessage, err error) {
	err = s.withRepair(func() error {
		all, err = s.dueMessages(before, maxMessages)
		return err
	})
	return all, err
}

// dueCursor is the position of one call of Due in a segment.
type dueCursor struct {
	dueList
	next int
}

func (s *Store) dueMessages(before int64, maxMessages int) (all []StoredMessage, err error) {
	before = min(before, noDueTime-1)
	cursors := map[*state.Segment]*dueCursor{}
	unreadable := map[int][]uint64{}
	defer func() {
		for segment, cursor := range cursors {
			s.state.SetEarliestDue(segment, cursor.dueList[0].due)
			s.dueLists[segment] = slices.Clone(cursor.dueList[:min(len(cursor.dueList), dueListLength)])
		}
		for dest, sequences := range unreadable {
			err = errors.Join(err, s.removeUnreadable(dest, sequences))
		}
	}()
	for len(all) < maxMessages {
		segment := s.state.Earliest()
		if segment == nil || segment.EarliestDue > before {
			return all, nil
		}
		cursor := cursors[segment]
		if cursor == nil {
			list, err := s.dueListOf(segment)
			if err != nil {
				return nil, err
			}
			if len(list) == 0 {
				return nil, &damagedSegmentError{segment}
			}
			cursor = &dueCursor{dueList: list}
			cursors[segment] = cursor
		}
		if cursor.next == len(cursor.dueList) {
			list, err := s.entriesDueAfter(segment, &cursor.dueList[len(cursor.dueList)-1])
			if err != nil {
				return nil, err
			}
			cursor.dueList = append(cursor.dueList, list...)
		}
		if cursor.next == len(cursor.dueList) {
			s.state.SetEarliestDue(segment, noDueTime)
			continue
		}
		entry := cursor.dueList[cursor.next]
		if entry.due > segment.EarliestDue {
			s.state.SetEarliestDue(segment, entry.due)
			continue
		}
		cursor.next++
		message, err := s.readMessage(segment, entry)
		if errors.Is(err, errDamagedFrame) {
			s.reportDamage(&DamageError{Segment: dataFileName(segment), Lost: 1, Reason: "a message cannot be read"})
			unreadable[segment.Dest] = append(unreadable[segment.Dest], entry.sequence)
			continue
		}
		if err != nil {
			return nil, err
		}
		all = append(all, message)
	}
	return all, nil
}
