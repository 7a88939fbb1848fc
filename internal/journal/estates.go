package journal

import (
	"iter"
	"maps"
	"slices"
)

// What a journal keeps of estates, by their owner or a holder.

// mark notes where an estate stands.
func (j *Journal) setGroupState(m GroupState) {
	_, known := j.groups[m.Group]
	switch {
	case m.Removed && known:
		delete(j.groups, m.Group)
		j.compactedBytes -= groupStateBytes
	case m.Removed:
	default:
		if !known {
			j.compactedBytes += groupStateBytes
		}
		j.groups[m.Group] = m
	}
}

// Marks are the estates that something is kept of.
func (j *Journal) GroupStates() map[uint64]GroupState { return maps.Clone(j.groups) }

// Mark is what is kept of an estate.
func (j *Journal) GroupState(id uint64) (GroupState, bool) {
	m, ok := j.groups[id]
	return m, ok
}

// Waits are what hosts told, where that may not be over.
func (j *Journal) RetryAfters() iter.Seq2[string, Record] { return maps.All(j.retryAfters) }

// Whole is all that is kept of an estate, as records that begin a copy of it. What is known of endpoints goes along.
func (j *Journal) GroupRecords(id uint64) (all []Record) {
	for e := range j.All() {
		if e.Group == id {
			c := *e
			all = append(all, Record{Op: OpAccepted, Entry: &c})
		}
	}
	for _, of := range []map[string]Record{j.disabledHosts, j.retryAfters} {
		for _, name := range slices.Sorted(maps.Keys(of)) {
			all = append(all, of[name])
		}
	}
	return all
}

// Replace puts records in the place of all that there is, whole or not at all.
func (j *Journal) Replace(recs ...Record) error {
	next := newJournal(j.path, j.budgetBytes, j.reserveBytes)
	for _, r := range recs {
		next.apply(r, int64(len(appendFrame(nil, r))))
	}
	if next.compactedBytes+j.fileBytes > j.budgetBytes {
		if err := j.Compact(); err != nil {
			return err
		}
	}
	if next.compactedBytes+j.fileBytes > j.budgetBytes {
		return ErrFull
	}
	next.fileBytes = j.fileBytes // the old file stands until the new one takes its place
	if err := next.Compact(); err != nil {
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	*j = *next
	return nil
}

// Forget ends all messages of an estate without a word: they are another relay's. It returns the records of that.
func (j *Journal) RecordsToForget(id uint64) (recs []Record) {
	for e := range j.All() {
		if e.Group == id {
			recs = append(recs, Record{Op: OpEnd, ID: e.ID})
		}
	}
	return append(recs, Record{Op: OpGroupState, GroupState: &GroupState{Group: id, Removed: true}})
}

// Shifted is a record with its stamps by another clock, which shows so many milliseconds more.
func (r Record) Shifted(by int64) Record {
	move := func(at *int64) {
		if *at != 0 {
			*at += by
		}
	}
	move(&r.At)
	if r.Entry != nil {
		r.Entry = r.Entry.Shifted(by)
	}
	return r
}

// Shifted is a message with its stamps by another clock.
func (e *Entry) Shifted(by int64) *Entry {
	c := *e
	for _, at := range []*int64{&c.Due, &c.MayHaveRunAt, &c.LastTryAt} {
		if *at != 0 {
			*at += by
		}
	}
	return &c
}
