package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	replicationstate "larchrouter/internal/replication/state"
)

func acceptedInGroup(id string, group uint64, body int) Record {
	return Record{Op: OpAccepted, Entry: &Entry{ID: id, Due: 5000, Body: make([]byte, body), Group: group}}
}

func groupStateRecord(group, next uint64) Record {
	return Record{Op: OpGroupState, GroupState: &GroupState{Group: group, Name: "r", Copy: replicationstate.Copy{Epoch: 3, Writer: "w", ContentWriter: "w", ContentEpoch: 3, Next: next}}}
}

func reopen(t testing.TB, dir string, j *Journal) *Journal {
	t.Helper()
	if j != nil {
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	}
	j, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// Guards against a restart or a compaction that changes a replication group: its state, its messages, and its removal must
// be preserved.
func TestGroupStatesSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	journal := reopen(t, dir, nil)
	if err := journal.Append(groupStateRecord(7, 1), acceptedInGroup("a", 7, 10), acceptedInGroup("b", 8, 10), acceptedInGroup("c", 7, 10), Record{Op: OpGroupNext, Group: 7, NextRecord: 3}, groupStateRecord(8, 2), Record{Op: OpEnd, ID: "c"}, Record{Op: OpGroupNext, Group: 7, NextRecord: 4},
		Record{Op: OpGroupNext, Group: 7, NextRecord: 2}, Record{Op: OpGroupNext, Group: 99, NextRecord: 2}, Record{Op: OpRetryAfter, ID: "h", At: time.Now().UnixMilli(), WaitMs: 60000}, Record{Op: OpRetryAfter, ID: "old", At: 1, WaitMs: 60000}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		journal = reopen(t, dir, journal)
		state, ok := journal.GroupState(7)
		if !ok || state.Next != 4 || state.Epoch != 3 || state.ContentWriter != "w" || len(journal.GroupStates()) != 2 {
			t.Fatalf("the state of group 7 is %+v, %v", state, ok)
		}
		whole := journal.GroupRecords(7)
		if len(whole) != 2 || whole[0].Entry.ID != "a" || whole[1].ID != "h" {
			t.Fatalf("the records of group 7 are %+v", whole)
		}
	}
	if err := journal.Append(journal.RecordsToForget(7)...); err != nil {
		t.Fatal(err)
	}
	journal = reopen(t, dir, journal)
	if _, ok := journal.GroupState(7); ok || journal.Entry("a") != nil || journal.Entry("b") == nil {
		t.Errorf("after the group was removed: known %v, a %v, b %v", ok, journal.Entry("a"), journal.Entry("b"))
	}
}

// Guards against a copy with neither the old nor the new content: records that do not fit, or an interrupted replacement,
// must leave the old content.
func TestReplaceIsAtomic(t *testing.T) {
	dir := t.TempDir()
	journal := reopen(t, dir, nil)
	if err := journal.Append(groupStateRecord(1, 1), acceptedInGroup("old", 1, 1000)); err != nil {
		t.Fatal(err)
	}
	var tooMany []Record
	for i := range 30 {
		tooMany = append(tooMany, acceptedInGroup(fmt.Sprint("m", i), 1, 60<<10))
	}
	err := journal.Replace(tooMany...)
	var f *Failure
	if !errors.Is(err, ErrFull) || !errors.As(err, &f) || f.Remedy() == "" || journal.Entry("old") == nil {
		t.Fatalf("more records than fit: %v, the old message is there: %v", err, journal.Entry("old") != nil)
	}
	for _, leftover := range []string{"journal.next", "journal.tmp"} {
		if err := os.WriteFile(filepath.Join(dir, leftover), []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	journal = reopen(t, dir, journal)
	if journal.Entry("old") == nil {
		t.Fatal("an incomplete copy replaced the old journal")
	}
	if err := journal.Replace(acceptedInGroup("new", 1, 10), groupStateRecord(1, 9)); err != nil {
		t.Fatal(err)
	}
	if err := journal.Append(Record{Op: OpGroupNext, Group: 1, NextRecord: 10}); err != nil {
		t.Fatal(err)
	}
	journal = reopen(t, dir, journal)
	if state, _ := journal.GroupState(1); journal.Entry("old") != nil || journal.Entry("new") == nil || state.Next != 10 {
		t.Errorf("after the replacement: old %v, new %v, next record %d", journal.Entry("old"), journal.Entry("new"), state.Next)
	}
}

// Guards against a replica's journal that differs from its writer's, whichever records it received and wherever it was
// compacted.
func TestCopyEqualsSource(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		open := func(name string) *Journal {
			d := filepath.Join(dir, fmt.Sprint(run, name))
			if err := os.MkdirAll(d, 0o700); err != nil {
				t.Fatal(err)
			}
			j, err := Open(d, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			return j
		}
		source, copied := open("own"), open("copy")
		defer func() { source.Close(); copied.Close() }()
		for i := range 40 {
			id := fmt.Sprint("m", rapid.IntRange(0, 6).Draw(t, "id"))
			record := rapid.SampledFrom([]Record{acceptedInGroup(id, 1, i), {Op: OpTry, ID: id, At: int64(i), WaitMs: 9}, {Op: OpOutcome, ID: id, Flag: true}, {Op: OpOutcome, ID: id},
				{Op: OpNotice, ID: id, Status: "deferred"}, {Op: OpEnd, ID: id}}).Draw(t, "record")
			duplicate := record
			if record.Entry != nil {
				e := *record.Entry
				duplicate.Entry = &e
			}
			if err := errors.Join(source.Append(record), copied.Append(duplicate)); err != nil {
				t.Fatal(err)
			}
			switch rapid.IntRange(0, 8).Draw(t, "do") {
			case 0:
				if err := copied.Compact(); err != nil {
					t.Fatal(err)
				}
			case 1: // all records, converted to another clock and back
				var recs []Record
				for _, record := range source.GroupRecords(1) {
					recs = append(recs, record.Shifted(-700).Shifted(700))
				}
				if err := copied.Replace(recs...); err != nil {
					t.Fatal(err)
				}
			}
			if a, b := fmt.Sprint(entryTexts(source)), fmt.Sprint(entryTexts(copied)); a != b {
				t.Fatalf("after record %d\n%s\nthe copy has\n%s", i, a, b)
			}
		}
	})
}

func entryTexts(j *Journal) (all []string) {
	for e := range j.All() {
		c := *e
		c.compactedBytes, c.sequence = 0, 0
		all = append(all, fmt.Sprintf("%+v", c))
	}
	return all
}
