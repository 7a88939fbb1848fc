package journal

import (
	"iter"
	"maps"
	"slices"
)

// Records of replication groups, in the journal of the owner or of a replica.

// setGroupState records the state of a group, or removes it.
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

// GroupStates returns a copy of the states of all groups in the journal.
func (j *Journal) GroupStates() map[uint64]GroupState { return maps.Clone(j.groups) }

// GroupState returns the state of a group; the second result is false if the journal has none.
func (j *Journal) GroupState(id uint64) (GroupState, bool) {
	state, ok := j.groups[id]
	return state, ok
}

// RetryAfters iterates over the waits that hosts asked for and that may not have expired.
func (j *Journal) RetryAfters() iter.Seq2[string, Record] { return maps.All(j.retryAfters) }

// GroupRecords returns the records that begin a copy of a group: its messages, and what is recorded of endpoints.
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

// Replace replaces the content of the journal with records, all of them or none.
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
	replacement.fileBytes = j.fileBytes // the old file exists until the new one replaces it
	if err := replacement.Compact(); err != nil {
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	*j = *replacement
	return nil
}

// RecordsToForget returns the records that end all messages of a group without a notice, as they belong to another relay
// now, and remove the group's state. It writes nothing.
func (j *Journal) RecordsToForget(group uint64) (records []Record) {
	for e := range j.All() {
		if e.Group == group {
			records = append(records, Record{Op: OpEnd, ID: e.ID})
		}
	}
	return append(records, Record{Op: OpGroupState, GroupState: &GroupState{Group: group, Removed: true}})
}

// Shifted returns a copy of a record with its times converted to a clock that is ahead by offsetMs milliseconds.
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

// Shifted returns a copy of an entry with its times converted to a clock that is ahead by offsetMs milliseconds.
func (e *Entry) Shifted(offsetMs int64) *Entry {
	shifted := *e
	for _, at := range []*int64{&shifted.Due, &shifted.MayHaveRunAt, &shifted.LastTryAt} {
		if *at != 0 {
			*at += offsetMs
		}
	}
	return &shifted
}
