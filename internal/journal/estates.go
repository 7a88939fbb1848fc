package journal

import (
	"iter"
	"maps"
	"slices"
)

// What a journal keeps of estates, by their owner or a holder.

// mark notes where an estate stands.
func (j *Journal) setGroupState(state GroupState) {
	_, known := j.groups[state.Group]
	switch {
	case state.Removed && known:
		delete(j.groups, state.Group)
		j.compactedBytes -= groupStateBytes
	case state.Removed:
	default:
		if !known {
			j.compactedBytes += groupStateBytes
		}
		j.groups[state.Group] = state
	}
}

// Marks are the estates that something is kept of.
func (j *Journal) GroupStates() map[uint64]GroupState { return maps.Clone(j.groups) }

// Mark is what is kept of an estate.
func (j *Journal) GroupState(id uint64) (GroupState, bool) {
	state, ok := j.groups[id]
	return state, ok
}

// Waits are what hosts told, where that may not be over.
func (j *Journal) RetryAfters() iter.Seq2[string, Record] { return maps.All(j.retryAfters) }

// Whole is all that is kept of an estate, as records that begin a copy of it. What is known of endpoints goes along.
func (j *Journal) GroupRecords(group uint64) (records []Record) {
	for e := range j.All() {
		if e.Group == group {
			entry := *e
			records = append(records, Record{Op: OpAccepted, Entry: &entry})
		}
	}
	for _, recordsByHost := range []map[string]Record{j.disabledHosts, j.retryAfters} {
		for _, name := range slices.Sorted(maps.Keys(recordsByHost)) {
			records = append(records, recordsByHost[name])
		}
	}
	return records
}

// Replace puts records in the place of all that there is, whole or not at all.
func (j *Journal) Replace(records ...Record) error {
	replacement := newJournal(j.path, j.budgetBytes, j.reserveBytes)
	for _, r := range records {
		replacement.apply(r, int64(len(appendFrame(nil, r))))
	}
	if replacement.compactedBytes+j.fileBytes > j.budgetBytes {
		if err := j.Compact(); err != nil {
			return err
		}
	}
	if replacement.compactedBytes+j.fileBytes > j.budgetBytes {
		return ErrFull
	}
	replacement.fileBytes = j.fileBytes // the old file stands until the new one takes its place
	if err := replacement.Compact(); err != nil {
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	*j = *replacement
	return nil
}

// Forget ends all messages of an estate without a word: they are another relay's. It returns the records of that.
func (j *Journal) RecordsToForget(group uint64) (records []Record) {
	for e := range j.All() {
		if e.Group == group {
			records = append(records, Record{Op: OpEnd, ID: e.ID})
		}
	}
	return append(records, Record{Op: OpGroupState, GroupState: &GroupState{Group: group, Removed: true}})
}

// Shifted is a record with its stamps by another clock, which shows so many milliseconds more.
func (r Record) Shifted(offsetMs int64) Record {
	shift := func(at *int64) {
		if *at != 0 {
			*at += offsetMs
		}
	}
	shift(&r.At)
	if r.Entry != nil {
		r.Entry = r.Entry.Shifted(offsetMs)
	}
	return r
}

// Shifted is a message with its stamps by another clock.
func (e *Entry) Shifted(offsetMs int64) *Entry {
	shifted := *e
	for _, at := range []*int64{&shifted.Due, &shifted.MayHaveRunAt, &shifted.LastTryAt} {
		if *at != 0 {
			*at += offsetMs
		}
	}
	return &shifted
}
