package journal

import (
	"iter"
	"maps"
	"slices"
)

// What a journal keeps of estates, by their owner or a holder.

// mark notes where an estate stands.
func (j *Journal) mark(m Mark) {
	_, known := j.marks[m.Estate]
	switch {
	case m.Over && known:
		delete(j.marks, m.Estate)
		j.live -= markMost
	case m.Over:
	default:
		if !known {
			j.live += markMost
		}
		j.marks[m.Estate] = m
	}
}

// Marks are the estates that something is kept of.
func (j *Journal) Marks() map[uint64]Mark { return maps.Clone(j.marks) }

// Mark is what is kept of an estate.
func (j *Journal) Mark(id uint64) (Mark, bool) {
	m, ok := j.marks[id]
	return m, ok
}

// Waits are what hosts told, where that may not be over.
func (j *Journal) Waits() iter.Seq2[string, Record] { return maps.All(j.waits) }

// Whole is all that is kept of an estate, as records that begin a copy of it. What is known of endpoints goes along.
func (j *Journal) Whole(id uint64) (all []Record) {
	for e := range j.All() {
		if e.Estate == id {
			c := *e
			all = append(all, Record{Op: OpTaken, Entry: &c})
		}
	}
	for _, of := range []map[string]Record{j.byHand, j.waits} {
		for _, name := range slices.Sorted(maps.Keys(of)) {
			all = append(all, of[name])
		}
	}
	return all
}

// Replace puts records in the place of all that there is, whole or not at all.
func (j *Journal) Replace(recs ...Record) error {
	next := empty(j.path, j.budget, j.reserve)
	for _, r := range recs {
		next.apply(r, int64(len(frame(nil, r))))
	}
	if next.live+j.size > j.budget {
		if err := j.Compact(); err != nil {
			return err
		}
	}
	if next.live+j.size > j.budget {
		return ErrFull
	}
	next.size = j.size // the old file stands until the new one takes its place
	if err := next.Compact(); err != nil {
		return err
	}
	if j.f != nil {
		j.f.Close()
	}
	*j = *next
	return nil
}

// Forget ends all messages of an estate without a word: they are another relay's. It returns the records of that.
func (j *Journal) Forget(id uint64) (recs []Record) {
	for e := range j.All() {
		if e.Estate == id {
			recs = append(recs, Record{Op: OpEnd, ID: e.ID})
		}
	}
	return append(recs, Record{Op: OpMark, Mark: &Mark{Estate: id, Over: true}})
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
	for _, at := range []*int64{&c.Due, &c.RanAt, &c.OutAt} {
		if *at != 0 {
			*at += by
		}
	}
	return &c
}
